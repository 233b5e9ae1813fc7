//! Calls of a plain service with few slots that come in at many routers, in virtual time.

use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use futures_channel::oneshot;
use googletest::prelude::*;
use jaylock_rpc::v1::{Ask, BackendReport, End, Grant, Hello, RouterFrame, SchedulerFrame};
use jaylock_share::{
    Allocator, AskResult, ClientState, RouterKey, SchedulerClientSettings, SchedulerSettings,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::fleet::engine_report;

/// Step of the virtual clock.
const STEP: Duration = Duration::from_millis(1);
/// One-way delay of a message between a router and the scheduler.
const MESSAGE_DELAY: Duration = Duration::from_millis(1);
/// Time that a backend server works on a call.
const CALL_TIME: Duration = Duration::from_millis(30);
/// Time between two reports of a backend server.
const REPORT_INTERVAL: Duration = Duration::from_millis(1200);
/// Time between two expirations of the scheduler.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Objective of a call, in ms.
const OBJECTIVE_MS: u32 = 150;
/// Longest wait at p99 that leaves a call most of its objective.
const MAX_WAIT_P99: Duration = Duration::from_millis(20);

/// A load of calls and the fleet that serves it.
#[derive(Debug, Clone)]
struct Load {
    routers: usize,
    backends: usize,
    /// Slots of each backend server.
    slots: u32,
    /// Calls a second, over all routers.
    rate: f64,
    /// Calls that come in together at one router.
    clump: usize,
    duration: Duration,
    seed: u64,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            routers: 85,
            backends: 3,
            slots: 6,
            rate: 171.0,
            clump: 3,
            duration: Duration::from_secs(20),
            seed: 1,
        }
    }
}

/// What callers got.
#[derive(Debug, Default)]
struct Outcome {
    granted: usize,
    refused: usize,
    /// Refusals while fewer than half of the slots were working.
    refused_idle: usize,
    /// Frames that routers sent.
    frames: usize,
    waits: Vec<Duration>,
}

impl Outcome {
    fn wait_p99(&self) -> Duration {
        let mut waits = self.waits.clone();
        waits.sort_unstable();
        waits[waits.len() * 99 / 100]
    }
}

struct Fleet {
    load: Load,
    now: Instant,
    scheduler: Allocator,
    routers: Vec<(RouterKey, ClientState)>,
    to_scheduler: Vec<(Instant, usize, RouterFrame)>,
    to_routers: Vec<(Instant, usize, SchedulerFrame)>,
    waiting: Vec<(usize, Instant, oneshot::Receiver<AskResult>)>,
    running: Vec<(usize, Instant, Grant)>,
    next_ticket: u64,
    outcome: Outcome,
    rng: SmallRng,
}

impl Fleet {
    fn new(load: Load) -> Self {
        let started = Instant::now();
        let settings = SchedulerSettings::default();
        let now = started + settings.startup_delay;
        let mut scheduler = Allocator::new("calls", 1, settings, started);
        let mut routers = Vec::new();
        for index in 0..load.routers {
            let mut client = ClientState::new(SchedulerClientSettings::default());
            let hello = Hello {
                router: format!("r{index}"),
                ..Hello::default()
            };
            let key = scheduler.attach(&hello, started);
            client.first_frame(hello, started);
            routers.push((key, client));
        }
        let rng = SmallRng::seed_from_u64(load.seed);
        Self {
            load,
            now,
            scheduler,
            routers,
            to_scheduler: Vec::new(),
            to_routers: Vec::new(),
            waiting: Vec::new(),
            running: Vec::new(),
            next_ticket: 1,
            outcome: Outcome::default(),
            rng,
        }
    }

    fn run(mut self) -> Outcome {
        let end = self.now + self.load.duration;
        let mut next_clump = self.now;
        let mut next_report = self.now;
        let mut next_tick = self.now;
        while self.now < end {
            if self.now >= next_report {
                next_report += REPORT_INTERVAL;
                self.report_backends();
            }
            while self.now >= next_clump {
                next_clump += self.clump_interval();
                self.ask_clump();
            }
            self.end_runs();
            self.deliver();
            if self.now >= next_tick {
                next_tick += TICK_INTERVAL;
                self.scheduler.tick(self.now);
            }
            self.decide();
            self.read_replies();
            self.now += STEP;
        }
        self.outcome
    }

    /// Time to the next clump, exponentially distributed.
    fn clump_interval(&mut self) -> Duration {
        #[allow(clippy::cast_precision_loss)]
        let mean = self.load.clump as f64 / self.load.rate;
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-uniform.ln() * mean)
    }

    fn ask_clump(&mut self) {
        let router = self.rng.random_range(0..self.routers.len());
        for _ in 0..self.load.clump {
            let ticket = self.next_ticket;
            self.next_ticket += 1;
            let ask = Ask {
                ticket,
                organisation: format!("o{}", ticket % 30),
                request: ticket.to_string(),
                model: "dossier".into(),
                objective_ms: OBJECTIVE_MS,
                ..Ask::default()
            };
            let (reply, receiver) = oneshot::channel();
            self.routers[router].1.request_slot(ask, reply, self.now);
            self.waiting.push((router, self.now, receiver));
        }
    }

    fn report_backends(&mut self) {
        let key = self.routers[0].0;
        for index in 0..self.load.backends {
            let id = backend_id(index);
            let working = self.running.iter().filter(|(_, _, g)| g.backend == id);
            let report = BackendReport {
                running: u32::try_from(working.count()).expect("a small number"),
                pool: "calls".into(),
                ..engine_report(&id, self.load.slots)
            };
            let frame = RouterFrame {
                backends: vec![report],
                ..RouterFrame::default()
            };
            self.scheduler.apply(key, frame, self.now);
        }
    }

    fn end_runs(&mut self) {
        let now = self.now;
        let ended = self
            .running
            .extract_if(.., |(_, ends_at, _)| *ends_at <= now);
        for (router, _, grant) in ended.collect::<Vec<_>>() {
            let end = End {
                ticket: grant.ticket,
                answered: true,
                ..End::default()
            };
            self.routers[router].1.release_slot(end, now);
        }
    }

    /// Exchanges the messages that are due.
    fn deliver(&mut self) {
        let now = self.now;
        for index in 0..self.routers.len() {
            let client = &mut self.routers[index].1;
            if client.due(now).is_some_and(|due| due <= now) {
                let frame = client.next_frame(now);
                self.outcome.frames += 1;
                self.to_scheduler.push((now + MESSAGE_DELAY, index, frame));
            }
        }
        let due = self.to_scheduler.extract_if(.., |(at, ..)| *at <= now);
        for (_, index, frame) in due.collect::<Vec<_>>() {
            self.scheduler.apply(self.routers[index].0, frame, now);
        }
        let due = self.to_routers.extract_if(.., |(at, ..)| *at <= now);
        for (_, index, frame) in due.collect::<Vec<_>>() {
            assert!(self.routers[index].1.apply_frame(frame, now));
        }
    }

    fn decide(&mut self) {
        self.scheduler.decide(self.now);
        for (key, frame) in self.scheduler.frames(self.now) {
            let index = self.routers.iter().position(|(other, _)| *other == key);
            let index = index.expect("a known router");
            self.to_routers
                .push((self.now + MESSAGE_DELAY, index, frame));
        }
    }

    fn read_replies(&mut self) {
        let (now, slots) = (self.now, self.load.slots as usize * self.load.backends);
        for (router, asked_at, mut reply) in std::mem::take(&mut self.waiting) {
            match reply.try_recv().expect("an open reply") {
                None => self.waiting.push((router, asked_at, reply)),
                Some(Ok(grant)) => {
                    self.outcome.granted += 1;
                    self.outcome.waits.push(now - asked_at);
                    self.running.push((router, now + CALL_TIME, grant));
                }
                Some(Err(_)) => {
                    self.outcome.refused += 1;
                    let is_idle = self.running.len() * 2 < slots;
                    self.outcome.refused_idle += usize::from(is_idle);
                }
            }
        }
    }
}

fn backend_id(index: usize) -> CompactString {
    format_compact!("b{index}")
}

/// Plays a load and checks that no call is refused or waits long while slots are free.
macro_rules! serves_calls {
    ($($name:ident: $load:expr;)*) => {
        $(
            #[gtest]
            fn $name() {
                let outcome = Fleet::new($load).run();
                println!("{:?}", Summary::of(&outcome));
                expect_that!(outcome.refused_idle, eq(0));
                expect_that!(outcome.refused * 100, le(outcome.granted));
                expect_that!(outcome.wait_p99(), le(MAX_WAIT_P99));
            }
        )*
    };
}

serves_calls! {
    // A third of 18 slots works; each router has two calls a second.
    serves_clumps_at_many_routers: Load::default();
    serves_single_calls_at_many_routers: Load { clump: 1, ..Load::default() };
    serves_clumps_at_few_routers: Load { routers: 6, ..Load::default() };
    serves_clumps_at_two_hundred_routers:
        Load { routers: 191, backends: 6, rate: 184.0, ..Load::default() };
}

/// The figures of an outcome that a failed test shows.
#[derive(Debug)]
#[allow(dead_code, reason = "read by the derived debug output")]
struct Summary {
    granted: usize,
    refused: usize,
    refused_idle: usize,
    frames: usize,
    wait_p99: Duration,
}

impl Summary {
    fn of(outcome: &Outcome) -> Self {
        Self {
            granted: outcome.granted,
            refused: outcome.refused,
            refused_idle: outcome.refused_idle,
            frames: outcome.frames,
            wait_p99: outcome.wait_p99(),
        }
    }
}
