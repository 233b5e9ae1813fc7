//! Tests of parts of prompts that crash each engine which begins to answer them.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use jaylock_rpc::v1::end::Outcome;
use jaylock_rpc::v1::{Ask, PromptPart};
use jaylock_tests::cases;

use crate::fixture::Fixture;
use crate::fleet::{ask, engine_report};

/// Part of all prompts of the route.
const SHARED_PART: u64 = 1;
/// Part that crashes engines.
const FATAL_PART: u64 = 2;
/// Time between two requests with the fatal part, and between two sound requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Time from a grant to the first token, or to the crash.
const PREFILL_TIME: Duration = Duration::from_millis(200);
/// Time from a grant to the end of a sound request.
const RUN_TIME: Duration = Duration::from_secs(1);
/// Time from a crash to the announcement of the engine's next start.
const RESTART_TIME: Duration = Duration::from_secs(3);
/// Time after the fifth crash in which all instances may still send requests with the part.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Crashes after which no more than `MAX_LATER_RUNS` may follow.
const MAX_CRASHES: usize = 5;
/// Requests with the part that may reach engines later than `CONTACT_TIME` after the last allowed crash.
const MAX_LATER_RUNS: usize = 3;
/// Step of the virtual clock.
const STEP: Duration = Duration::from_millis(10);

/// A pool of engines under sound requests and such with fatal parts, in virtual time.
struct Pool {
    fixture: Fixture,
    engines: Vec<String>,
    runs: Vec<PoolRun>,
    /// Engines that start again, with the time of their announcement.
    restarts: Vec<(Instant, String)>,
    /// Parts that crash engines.
    fatal_parts: Vec<u64>,
    crashes: Vec<Instant>,
    /// When requests with a fatal part were granted.
    fatal_grants: Vec<Instant>,
    sound_sent: usize,
    sound_granted: usize,
    next_own_part: u64,
    next_engine: usize,
    started: Instant,
}

struct PoolRun {
    ticket: u64,
    engine: String,
    is_fatal: bool,
    has_begun: bool,
    granted_at: Instant,
}

impl Pool {
    fn new(engines: usize, fatal_parts: &[u64]) -> Self {
        let fixture = Fixture::new();
        let mut pool = Self {
            started: fixture.now,
            fixture,
            engines: Vec::new(),
            runs: Vec::new(),
            restarts: Vec::new(),
            fatal_parts: fatal_parts.to_vec(),
            crashes: Vec::new(),
            fatal_grants: Vec::new(),
            sound_sent: 0,
            sound_granted: 0,
            next_own_part: 1000,
            next_engine: 0,
        };
        for _ in 0..engines {
            pool.start_engine();
        }
        pool
    }

    /// Starts an engine under a new name.
    fn start_engine(&mut self) {
        self.next_engine += 1;
        let id = format!("e{}", self.next_engine);
        self.fixture.report(engine_report(&id, 16));
        self.engines.push(id);
    }

    /// Runs the pool; `sends_fatal` tells whether requests with fatal parts come at that time.
    fn run(&mut self, time: Duration, sends_fatal: impl Fn(Duration) -> bool) {
        let end = self.fixture.now + time;
        let mut next_requests = self.fixture.now;
        while self.fixture.now < end {
            let now = self.fixture.now;
            self.restart_engines();
            if now >= next_requests {
                next_requests += REQUEST_INTERVAL;
                self.report_engines();
                self.request(&[SHARED_PART]);
                self.sound_sent += 1;
                if sends_fatal(now - self.started) {
                    for part in self.fatal_parts.clone() {
                        self.request(&[SHARED_PART, part]);
                    }
                }
            }
            self.decide();
            self.advance_runs();
            self.fixture.now += STEP;
        }
    }

    /// Sends a request with these parts and one of its own.
    fn request(&mut self, parts: &[u64]) {
        self.next_own_part += 1;
        let own = [self.next_own_part];
        let parts = parts.iter().chain(&own);
        let parts = parts.map(|hash| PromptPart {
            hash: *hash,
            tokens: 100,
        });
        let parts: Vec<_> = parts.collect();
        let request = Ask {
            prompt_tokens: 100 * u32::try_from(parts.len()).expect("a few parts"),
            limit: 100,
            objective_ms: 1000,
            // The parts beyond the shared and the own one tell the test which requests are fatal.
            request: if parts.len() > 2 { "fatal" } else { "sound" }.into(),
            parts,
            ..ask("bench")
        };
        self.fixture.ask([request]);
    }

    fn decide(&mut self) {
        let now = self.fixture.now;
        let names = self.fixture.sent_requests();
        let (grants, _) = self.fixture.decide_all();
        for grant in grants {
            let is_fatal = names[usize::try_from(grant.ticket).expect("a ticket") - 1] == "fatal";
            if is_fatal {
                self.fatal_grants.push(now);
            } else {
                self.sound_granted += 1;
            }
            self.runs.push(PoolRun {
                ticket: grant.ticket,
                engine: grant.backend,
                is_fatal,
                has_begun: false,
                granted_at: now,
            });
        }
    }

    /// Lets runs begin, crash their engines or end.
    fn advance_runs(&mut self) {
        let now = self.fixture.now;
        for run in &mut self.runs {
            if !run.is_fatal && !run.has_begun && now >= run.granted_at + PREFILL_TIME {
                run.has_begun = true;
                self.fixture.report_progress(run.ticket, 202);
            }
        }
        let is_fatal = |run: &PoolRun| run.is_fatal && now >= run.granted_at + PREFILL_TIME;
        while let Some(index) = self.runs.iter().position(is_fatal) {
            let engine = self.runs[index].engine.clone();
            self.crash(&engine);
        }
        let is_complete = |run: &mut PoolRun| now >= run.granted_at + RUN_TIME;
        for run in self.runs.extract_if(.., is_complete).collect::<Vec<_>>() {
            self.fixture.end(run.ticket);
        }
    }

    /// Ends an engine with all its runs; it starts again later.
    fn crash(&mut self, engine: &str) {
        let now = self.fixture.now;
        self.crashes.push(now);
        for run in self
            .runs
            .extract_if(.., |run| run.engine == engine)
            .collect::<Vec<_>>()
        {
            self.fixture.end_as(run.ticket, Outcome::Crashed);
        }
        self.engines.retain(|id| id != engine);
        self.restarts.push((now + RESTART_TIME, engine.to_owned()));
    }

    fn restart_engines(&mut self) {
        let now = self.fixture.now;
        let due = self.restarts.extract_if(.., |(at, _)| *at <= now).count();
        for _ in 0..due {
            self.start_engine();
        }
    }

    fn report_engines(&mut self) {
        for id in self.engines.clone() {
            self.fixture.report(engine_report(&id, 16));
        }
    }

    /// Number of grants to requests with fatal parts that came too late after the fifth crash.
    fn late_fatal_grants(&self) -> usize {
        let Some(fifth) = self.crashes.get(MAX_CRASHES - 1) else {
            return 0;
        };
        let late = self.fatal_grants.iter();
        late.filter(|granted| **granted > *fifth + CONTACT_TIME)
            .count()
    }
}

cases! {
    part_of_prompts_that_crashes_engines_is_sent_to_one_engine_after_the_other => {
        let mut pool = Pool::new(12, &[FATAL_PART]);
        pool.run(Duration::from_mins(1), |time| time > Duration::from_secs(5));
        assert_that!(pool.late_fatal_grants(), le(MAX_LATER_RUNS));
    };
}
