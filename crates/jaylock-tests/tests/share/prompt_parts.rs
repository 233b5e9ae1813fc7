//! Tests of parts of prompts that crash each engine which begins to answer them.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use jaylock_rpc::v1::end::Outcome;
use jaylock_rpc::v1::{Ask, Configuration, Crash, End, Hello, PromptPart, Running};
use jaylock_tests::{cases, seeded_config};
use proptest::{prop_assert, proptest};

use crate::fixture::Fixture;
use crate::fleet::{ask, detached_router, end, engine_report, grant_locally};

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
    /// Parts of sound requests, beside one of their own.
    sound_parts: Vec<u64>,
    /// Parts that crash engines.
    fatal_parts: Vec<u64>,
    /// Crashes, with the fatal parts that caused them.
    crashes: Vec<(Instant, Option<u64>)>,
    /// Crashes of engines with requests that had not begun there, as a router remembers them.
    noticed: Vec<Crash>,
    /// When requests with fatal parts were granted.
    fatal_grants: Vec<(Instant, u64)>,
    sound_sent: usize,
    sound_granted: usize,
    next_own_part: u64,
    next_engine: usize,
    started: Instant,
    /// Time between two requests with the same fatal part, and between two sound ones.
    interval: Duration,
    step: Duration,
}

struct PoolRun {
    ticket: u64,
    engine: String,
    fatal_part: Option<u64>,
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
            sound_parts: vec![SHARED_PART],
            fatal_parts: fatal_parts.to_vec(),
            crashes: Vec::new(),
            noticed: Vec::new(),
            fatal_grants: Vec::new(),
            sound_sent: 0,
            sound_granted: 0,
            next_own_part: 1000,
            next_engine: 0,
            interval: REQUEST_INTERVAL,
            step: STEP,
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
                next_requests += self.interval;
                self.report_engines();
                self.request(&self.sound_parts.clone(), "sound");
                self.sound_sent += 1;
                if sends_fatal(now - self.started) {
                    for part in self.fatal_parts.clone() {
                        self.request(&[SHARED_PART, part], &part.to_string());
                    }
                }
            }
            self.decide();
            self.advance_runs();
            self.fixture.now += self.step;
        }
    }

    /// Sends a request with these parts and one of its own.
    fn request(&mut self, parts: &[u64], name: &str) {
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
            request: name.into(),
            digest: self.next_own_part,
            parts,
            ..ask("bench")
        };
        self.fixture.ask([request]);
    }

    fn decide(&mut self) {
        let now = self.fixture.now;
        let (grants, _) = self.fixture.decide_all();
        for grant in grants {
            let fatal_part = self.fixture.request_id(grant.ticket).parse().ok();
            match fatal_part {
                Some(part) => self.fatal_grants.push((now, part)),
                None => self.sound_granted += 1,
            }
            self.runs.push(PoolRun {
                ticket: grant.ticket,
                engine: grant.backend,
                fatal_part,
                has_begun: false,
                granted_at: now,
            });
        }
    }

    /// Lets runs begin, crash their engines or end.
    fn advance_runs(&mut self) {
        let now = self.fixture.now;
        for run in &mut self.runs {
            if run.fatal_part.is_none() && !run.has_begun && now >= run.granted_at + PREFILL_TIME {
                run.has_begun = true;
                self.fixture.report_progress(run.ticket, 202);
            }
        }
        let is_fatal =
            |run: &PoolRun| run.fatal_part.is_some() && now >= run.granted_at + PREFILL_TIME;
        while let Some(index) = self.runs.iter().position(is_fatal) {
            let PoolRun {
                engine, fatal_part, ..
            } = &self.runs[index];
            let (engine, part) = (engine.clone(), *fatal_part);
            self.crash(&engine, part);
        }
        let is_complete = |run: &mut PoolRun| now >= run.granted_at + RUN_TIME;
        for run in self.runs.extract_if(.., is_complete).collect::<Vec<_>>() {
            self.fixture.end(run.ticket);
        }
    }

    /// Ends an engine with all its runs; it starts again later.
    fn crash(&mut self, engine: &str, part: Option<u64>) {
        let now = self.fixture.now;
        self.crashes.push((now, part));
        for run in self
            .runs
            .extract_if(.., |run| run.engine == engine)
            .collect::<Vec<_>>()
        {
            if let Some(part) = run.fatal_part {
                self.noticed.push(Crash {
                    backend: engine.to_owned(),
                    causes: vec![SHARED_PART, part],
                    age_ms: 0,
                });
            }
            self.fixture.end_as(run.ticket, Outcome::Crashed);
        }
        self.engines.retain(|id| id != engine);
        self.restarts.push((now + RESTART_TIME, engine.to_owned()));
    }

    /// Starts a new scheduler, to which the router reports its runs and the crashes that it noticed.
    fn replace_scheduler(&mut self) {
        let now = self.fixture.now;
        let runs = self.runs.iter().map(|run| Running {
            ticket: run.ticket,
            backend: run.engine.clone(),
            organisation: "bench".into(),
            tokens: if run.has_begun { 202 } else { 0 },
            causes: vec![SHARED_PART],
            ..Running::default()
        });
        let hello = Hello {
            router: "r1".into(),
            running: runs.collect(),
            crashes: self.noticed.clone(),
            ..Hello::default()
        };
        self.fixture.replace_scheduler(&hello);
        self.report_engines();
        self.fixture.now = now + STEP;
    }

    /// Lets the router forget the crashes that it noticed.
    fn forget_crashes(&mut self) {
        self.noticed.clear();
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

    /// Number of grants to requests with a fatal part that came too late after its fifth crash.
    fn late_grants(&self, part: u64) -> usize {
        let crashes = self.crashes.iter();
        let mut crashes = crashes.filter(|(_, cause)| *cause == Some(part));
        let Some((fifth, _)) = crashes.nth(MAX_CRASHES - 1) else {
            return 0;
        };
        let grants = self
            .fatal_grants
            .iter()
            .filter(|(_, granted)| *granted == part);
        grants.filter(|(at, _)| *at > *fifth + CONTACT_TIME).count()
    }
}

cases! {
    part_of_prompts_that_crashes_engines_is_sent_to_one_engine_after_the_other => {
        let mut pool = Pool::new(12, &[FATAL_PART]);
        pool.run(Duration::from_mins(1), |time| time > Duration::from_secs(5));
        assert_that!(pool.late_grants(FATAL_PART), le(MAX_LATER_RUNS));
    };
    sound_prompts_are_refused_beside_a_part_that_crashes_engines => {
        let mut pool = Pool::new(12, &[FATAL_PART]);
        pool.run(Duration::from_mins(1), |time| time > Duration::from_secs(5));
        assert_that!(pool.sound_granted * 100, ge(pool.sound_sent * 95));
    };
    engines_crash_on_from_the_start_when_no_prompt_was_answered_before => {
        let mut pool = Pool::new(3, &[FATAL_PART]);
        pool.run(Duration::from_mins(1), |_| true);
        assert_that!(pool.late_grants(FATAL_PART), le(MAX_LATER_RUNS));
        assert_that!(pool.sound_granted * 2, ge(pool.sound_sent));
    };
    second_part_that_crashes_engines_hides_behind_the_first => {
        let mut pool = Pool::new(12, &[FATAL_PART, FATAL_PART + 1]);
        pool.run(Duration::from_mins(1), |time| time > Duration::from_secs(5));
        assert_that!(pool.late_grants(FATAL_PART), le(MAX_LATER_RUNS));
        assert_that!(pool.late_grants(FATAL_PART + 1), le(MAX_LATER_RUNS));
        assert_that!(pool.sound_granted * 100, ge(pool.sound_sent * 95));
    };
    part_that_was_answered_before_crashes_engines_for_ever => {
        let mut pool = Pool::new(12, &[]);
        pool.sound_parts = vec![SHARED_PART, FATAL_PART];
        pool.run(Duration::from_secs(5), |_| false);
        pool.sound_parts = vec![SHARED_PART];
        pool.fatal_parts = vec![FATAL_PART];
        pool.run(Duration::from_mins(1), |_| true);
        assert_that!(pool.late_grants(FATAL_PART), le(MAX_LATER_RUNS));
        assert_that!(pool.sound_granted * 100, ge(pool.sound_sent * 95));
    };
    trials_after_quarantines_crash_an_engine_a_minute => {
        let mut pool = Pool::new(12, &[FATAL_PART]);
        (pool.interval, pool.step) = (Duration::from_secs(1), Duration::from_millis(50));
        pool.run(Duration::from_mins(20), |time| time > Duration::from_secs(5));
        assert_that!(pool.late_grants(FATAL_PART), le(MAX_LATER_RUNS));
    };
    sound_prompts_are_refused_after_engines_ended_together => {
        let mut pool = Pool::new(12, &[]);
        for _ in 0..4 {
            pool.run(Duration::from_secs(5), |_| false);
            let engines = pool.engines[..6].to_vec();
            for engine in engines {
                pool.crash(&engine, None);
            }
        }
        pool.run(Duration::from_secs(5), |_| false);
        assert_that!(pool.sound_granted * 100, ge(pool.sound_sent * 95));
    };
    new_scheduler_counts_the_crashes_of_a_part_from_the_beginning => {
        let mut pool = Pool::new(12, &[FATAL_PART]);
        pool.run(Duration::from_secs(5), |_| false);
        while pool.crashes.len() < 2 {
            pool.run(STEP, |_| true);
        }
        pool.replace_scheduler();
        pool.run(Duration::from_mins(1), |_| true);
        assert_that!(pool.late_grants(FATAL_PART), le(MAX_LATER_RUNS));
        assert_that!(pool.sound_granted * 100, ge(pool.sound_sent * 90));
    };
    new_scheduler_grants_slots_to_prompts_in_quarantine => {
        let mut pool = Pool::new(12, &[FATAL_PART]);
        pool.run(Duration::from_secs(10), |time| time > Duration::from_secs(5));
        let crashes = pool.crashes.len();
        let recorded = pool.fixture.allocator.unrecorded_causes(pool.fixture.now);
        assert_that!(recorded, len(eq(1)));
        pool.forget_crashes();
        pool.replace_scheduler();
        let configuration = Configuration { crash_causes: recorded, ..Configuration::default() };
        pool.fixture.allocator.configure(&configuration, pool.fixture.now);
        pool.run(Duration::from_secs(30), |_| true);
        assert_that!(pool.crashes.len(), eq(crashes));
    };
    engines_crash_on_or_sound_prompts_are_refused_in_any_pool => {
        proptest!(seeded_config(24), |(
            engines in 1_usize..16,
            fatal_parts in 1_u64..4,
            interval_ms in 20_u64..2000,
            first_s in 0_u64..10,
        )| {
            let parts: Vec<u64> = (FATAL_PART..FATAL_PART + fatal_parts).collect();
            let mut pool = Pool::new(engines, &parts);
            pool.interval = Duration::from_millis(interval_ms);
            pool.run(Duration::from_secs(40), |time| time >= Duration::from_secs(first_s));
            for part in parts {
                prop_assert!(pool.late_grants(part) <= MAX_LATER_RUNS);
            }
            prop_assert!(pool.sound_granted * 2 >= pool.sound_sent, "{} of {}", pool.sound_granted, pool.sound_sent);
        });
    };
    one_crash_under_two_prompts_blocks_their_part_without_a_scheduler => {
        let now = Instant::now();
        let mut router = detached_router(&["e1", "e2"], now);
        let now = now + Duration::from_secs(1);
        let shared = PromptPart { hash: SHARED_PART, tokens: 100 };
        let request = |ticket| Ask { ticket, parts: vec![shared, shared], ..ask("bench") };
        for ticket in 1..=2 {
            assert_that!(grant_locally(&mut router, request(ticket), now), eq(true));
        }
        for ticket in 1..=2 {
            router.release_slot(End { outcome: Outcome::Crashed.into(), ..end(ticket, 0) }, now);
        }
        assert_that!(grant_locally(&mut router, request(3), now), eq(true));
    };
}
