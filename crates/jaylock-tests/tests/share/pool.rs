//! A pool in virtual time whose backend servers crash under some requests.

use std::time::{Duration, Instant};

use jaylock_rpc::v1::end::Outcome;
use jaylock_rpc::v1::{Ask, Crash, End, Hello, PromptPart, Running};

use proptest::prop_assert;
use proptest::test_runner::TestCaseError;

use crate::fixture::Fixture;
use crate::fleet::{ask, end, engine_report};

/// Part of all prompts of the route.
pub const SHARED_PART: u64 = 1;
/// Part that crashes engines, or a request that does when it is sent again.
pub const FATAL_PART: u64 = 2;
/// First of the sound parts beyond those by which prompts are placed.
const FURTHER_PART: u64 = 1 << 40;
/// Time between two requests with the same fatal cause, and between two sound requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Time from a grant to the first token, or to the crash.
const PREFILL_TIME: Duration = Duration::from_millis(200);
/// Time from a grant to the end of a sound request.
const RUN_TIME: Duration = Duration::from_secs(1);
/// Time from a crash to the announcement of the engine's next start.
const RESTART_TIME: Duration = Duration::from_secs(3);
/// Time after the last allowed crash in which all instances may still send requests with its cause.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Requests with a fatal cause that may reach engines later than `CONTACT_TIME` after the last allowed crash.
pub const MAX_LATER_RUNS: usize = 3;
/// Step of the virtual clock.
pub const STEP: Duration = Duration::from_millis(10);

/// What crashes the backend servers of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Workload {
    /// Prompts that differ and share a part.
    Prompts,
    /// The same call of a plain service, sent again.
    Calls,
}

impl Workload {
    /// Crashes after which no more than `MAX_LATER_RUNS` may follow.
    fn max_crashes(self) -> usize {
        match self {
            Self::Prompts => 5,
            Self::Calls => 3,
        }
    }

    /// What a request shares with others.
    fn causes(self, fatal: Option<u64>) -> Vec<u64> {
        let shared = (self == Self::Prompts).then_some(SHARED_PART);
        shared.into_iter().chain(fatal).collect()
    }
}

/// A pool of backend servers under sound requests and such with fatal causes, in virtual time.
pub struct Pool {
    workload: Workload,
    pub fixture: Fixture,
    pub engines: Vec<String>,
    runs: Vec<PoolRun>,
    /// Engines that start again, with the time of their announcement.
    restarts: Vec<(Instant, String)>,
    /// Parts of sound requests, beside one of their own.
    pub sound_parts: Vec<u64>,
    /// Parts that crash engines.
    pub fatal_parts: Vec<u64>,
    /// Crashes, with the fatal parts that caused them.
    pub crashes: Vec<(Instant, Option<u64>)>,
    /// Crashes of engines with requests that had not begun there, as a router remembers them.
    noticed: Vec<Crash>,
    /// When requests with fatal parts were granted.
    fatal_grants: Vec<(Instant, u64)>,
    pub sound_sent: usize,
    pub sound_granted: usize,
    next_own_part: u64,
    next_engine: usize,
    started: Instant,
    /// Time between two requests with the same fatal part, and between two sound ones.
    pub interval: Duration,
    pub step: Duration,
    /// Time after which the callers of requests with fatal parts leave; unset if they wait.
    pub patience: Option<Duration>,
    /// Time after which routers find that a backend server crashed after its caller had left; unset if none does.
    pub check_delay: Option<Duration>,
    /// Sound parts that all prompts share beyond those by which they are placed.
    pub further_parts: u64,
    /// Whether sound requests come too.
    pub sends_sound: bool,
    /// Findings that are on their way, with their tickets.
    findings: Vec<(Instant, u64)>,
}

struct PoolRun {
    ticket: u64,
    engine: String,
    fatal_part: Option<u64>,
    has_begun: bool,
    has_left: bool,
    granted_at: Instant,
}

impl Pool {
    pub fn new(engines: usize, fatal_parts: &[u64]) -> Self {
        Self::with_workload(Workload::Prompts, engines, fatal_parts)
    }

    /// A pool whose fatal causes are whole requests.
    pub fn of_calls(backends: usize, fatal_requests: &[u64]) -> Self {
        Self::with_workload(Workload::Calls, backends, fatal_requests)
    }

    fn with_workload(workload: Workload, engines: usize, fatal_parts: &[u64]) -> Self {
        let fixture = Fixture::new();
        let mut pool = Self {
            workload,
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
            patience: None,
            check_delay: None,
            further_parts: 0,
            sends_sound: true,
            findings: Vec::new(),
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
    pub fn run(&mut self, time: Duration, sends_fatal: impl Fn(Duration) -> bool) {
        let end = self.fixture.now + time;
        let mut next_requests = self.fixture.now;
        while self.fixture.now < end {
            let now = self.fixture.now;
            self.restart_engines();
            if now >= next_requests {
                next_requests += self.interval;
                self.report_engines();
                if self.sends_sound {
                    self.request(&self.sound_parts.clone(), None);
                    self.sound_sent += 1;
                }
                if sends_fatal(now - self.started) {
                    for part in self.fatal_parts.clone() {
                        self.request(&[SHARED_PART], Some(part));
                    }
                }
            }
            self.decide();
            self.give_up_runs();
            self.advance_runs();
            self.report_findings();
            self.fixture.now += self.step;
        }
    }

    /// Sends a request with these parts, one of its own and the fatal cause, if any.
    fn request(&mut self, parts: &[u64], fatal: Option<u64>) {
        self.next_own_part += 1;
        let own = self.next_own_part;
        let request = Ask {
            objective_ms: 1000,
            request: fatal.map_or_else(|| "sound".into(), |fatal| fatal.to_string()),
            digest: own,
            ..ask("bench")
        };
        let request = match self.workload {
            Workload::Prompts if self.further_parts > 0 => {
                let further = FURTHER_PART..FURTHER_PART + self.further_parts;
                let request = prompt(request, parts.iter().copied());
                Ask {
                    further_causes: further.chain(fatal).collect(),
                    ..request
                }
            }
            Workload::Prompts => prompt(request, parts.iter().copied().chain(fatal).chain([own])),
            Workload::Calls => Ask {
                digest: fatal.unwrap_or(own),
                ..request
            },
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
                has_left: false,
                granted_at: now,
            });
        }
    }

    /// Ends the runs whose callers have left; their backend servers go on.
    fn give_up_runs(&mut self) {
        let now = self.fixture.now;
        let Some(patience) = self.patience else {
            return;
        };
        let is_due = |run: &&mut PoolRun| {
            run.fatal_part.is_some() && !run.has_left && now >= run.granted_at + patience
        };
        for run in self.runs.iter_mut().filter(is_due) {
            run.has_left = true;
            self.fixture.end_as(run.ticket, Outcome::Cancelled);
        }
    }

    /// Tells the scheduler of the crashes that routers have found by now.
    fn report_findings(&mut self) {
        let now = self.fixture.now;
        for (_, ticket) in self.findings.extract_if(.., |(at, _)| *at <= now) {
            self.fixture.end_as(ticket, Outcome::Crashed);
        }
    }

    /// Lets runs begin, crash their engines or end.
    fn advance_runs(&mut self) {
        let now = self.fixture.now;
        let streams = self.workload == Workload::Prompts;
        for run in self.runs.iter_mut().filter(|_| streams) {
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

    /// Sends a sound request with these parts whose caller leaves after a time.
    pub fn give_up_sound(&mut self, parts: &[u64], patience: Duration) {
        self.request(parts, None);
        let (grants, _) = self.fixture.decide_all();
        self.fixture.now += patience;
        for grant in grants {
            self.fixture.end_as(grant.ticket, Outcome::Cancelled);
        }
    }

    /// Ends an engine with all its runs; it starts again later.
    pub fn crash(&mut self, engine: &str, part: Option<u64>) {
        let now = self.fixture.now;
        self.crashes.push((now, part));
        for run in self
            .runs
            .extract_if(.., |run| run.engine == engine)
            .collect::<Vec<_>>()
        {
            if run.has_left {
                let finding = self.check_delay.map(|delay| (now + delay, run.ticket));
                self.findings.extend(finding);
                continue;
            }
            if let Some(part) = run.fatal_part {
                self.noticed.push(Crash {
                    backend: engine.to_owned(),
                    causes: self.workload.causes(Some(part)),
                    age_ms: 0,
                });
            }
            self.fixture.end_with(End {
                outcome: Outcome::Crashed.into(),
                ..end(run.ticket, if run.has_begun { 20 } else { 0 })
            });
        }
        self.engines.retain(|id| id != engine);
        self.restarts.push((now + RESTART_TIME, engine.to_owned()));
    }

    /// Starts a new scheduler, to which the router reports its runs and the crashes that it noticed.
    pub fn replace_scheduler(&mut self) {
        let now = self.fixture.now;
        let runs = self.runs.iter().map(|run| Running {
            ticket: run.ticket,
            backend: run.engine.clone(),
            organisation: "bench".into(),
            tokens: if run.has_begun { 202 } else { 0 },
            causes: self.workload.causes(run.fatal_part),
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
    pub fn forget_crashes(&mut self) {
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

    /// Runs the pool with its fatal causes from `first` on, and checks the bounds of late runs and refused sound requests.
    pub fn check_bounds(
        mut self,
        time: Duration,
        first: Duration,
    ) -> std::result::Result<(), TestCaseError> {
        self.run(time, |elapsed| elapsed >= first);
        for part in &self.fatal_parts {
            prop_assert!(self.late_grants(*part) <= MAX_LATER_RUNS);
        }
        let (granted, sent) = (self.sound_granted, self.sound_sent);
        prop_assert!(granted * 2 >= sent, "{granted} of {sent}");
        Ok(())
    }

    /// Number of grants to requests with a fatal part that came too late after its last allowed crash.
    pub fn late_grants(&self, part: u64) -> usize {
        let crashes = self.crashes.iter();
        let mut crashes = crashes.filter(|(_, cause)| *cause == Some(part));
        let Some((last, _)) = crashes.nth(self.workload.max_crashes() - 1) else {
            return 0;
        };
        let grants = self
            .fatal_grants
            .iter()
            .filter(|(_, granted)| *granted == part);
        grants.filter(|(at, _)| *at > *last + CONTACT_TIME).count()
    }
}

fn prompt(request: Ask, parts: impl Iterator<Item = u64>) -> Ask {
    let parts = parts.map(|hash| PromptPart { hash, tokens: 100 });
    let parts: Vec<_> = parts.collect();
    Ask {
        prompt_tokens: 100 * u32::try_from(parts.len()).expect("a few parts"),
        limit: 100,
        parts,
        ..request
    }
}
