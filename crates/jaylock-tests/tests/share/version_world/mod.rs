//! A pool with several software versions under faults, in virtual time.

mod callers;
mod members;

use std::time::{Duration, Instant};

use jaylock_rpc::v1::Configuration;
use jaylock_share::{Allocator, SchedulerSettings};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use self::members::{SimBackend, SimRouter, SimStream, StreamState};

/// Step of the virtual clock.
const STEP: Duration = Duration::from_millis(10);
/// Time between two ticks of the scheduler.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two reports of a backend server.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two new streams.
const STREAM_INTERVAL: Duration = Duration::from_millis(40);
/// Time between two faults.
const FAULT_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a caller wants its stream.
const CALLER_TIMEOUT: Duration = Duration::from_secs(15);
/// Time after a disturbance in which requests need not be served.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time in which a backend server starts again.
const RESTART_TIME: Duration = Duration::from_secs(1);
/// Kinds of faults in which each router is either in step or cut off from the scheduler.
const CUT_FAULTS: u32 = 8;
/// All kinds of faults, some of which put a router out of step.
const ALL_FAULTS: u32 = 14;
/// Routers of the pool.
const ROUTER_COUNT: usize = 6;
/// Backend servers at the start.
const BACKEND_COUNT: usize = 8;
/// Length of a simulation.
const RUN_TIME: Duration = Duration::from_mins(1);

/// Routers, a scheduler, backend servers and callers that take their streams up anywhere.
pub struct World {
    rng: SmallRng,
    now: Instant,
    ends_at: Instant,
    scheduler: Allocator,
    epoch: u64,
    /// When the scheduler was replaced or all routers lost it.
    disturbed_at: Instant,
    routers: Vec<SimRouter>,
    backends: Vec<SimBackend>,
    streams: Vec<SimStream>,
    next_id: u64,
    next_version: u64,
    fault_count: u32,
    /// Streams with events of two versions.
    pub mixed: Vec<String>,
    pub begun: Share,
    pub resumed: Share,
}

/// Requests at undisturbed routers, and how many of them were served.
#[derive(Debug, Default)]
pub struct Share {
    pub asked: u32,
    pub served: u32,
}

impl World {
    pub fn new(seed: u64) -> Self {
        let now = Instant::now();
        let settings = SchedulerSettings::default();
        let mut world = Self {
            rng: SmallRng::seed_from_u64(seed),
            now,
            ends_at: now + RUN_TIME,
            scheduler: Allocator::new("chat", 1, settings, now),
            epoch: 1,
            disturbed_at: now,
            routers: Vec::new(),
            backends: Vec::new(),
            streams: Vec::new(),
            next_id: 0,
            next_version: 1,
            fault_count: CUT_FAULTS,
            mixed: Vec::new(),
            begun: Share::default(),
            resumed: Share::default(),
        };
        for _ in 0..ROUTER_COUNT {
            world.routers.push(SimRouter::new(now));
        }
        for _ in 0..BACKEND_COUNT {
            world.start_backend("v1");
        }
        world
    }

    /// A pool in which routers also stand still, hear only one side, and servers come back as another version.
    pub fn out_of_step(seed: u64) -> Self {
        Self {
            fault_count: ALL_FAULTS,
            ..Self::new(seed)
        }
    }

    pub fn run(mut self) -> Self {
        let (mut next_tick, mut next_report) = (self.now, self.now);
        let (mut next_stream, mut next_fault) =
            (self.now + FAULT_INTERVAL, self.now + CONTACT_TIME);
        while self.now < self.ends_at {
            if due(&mut next_report, REPORT_INTERVAL, self.now) {
                self.report_backends();
            }
            if due(&mut next_stream, STREAM_INTERVAL, self.now) {
                self.begin_stream();
            }
            if due(&mut next_fault, FAULT_INTERVAL, self.now) {
                self.disturb();
            }
            self.restart_backends();
            self.exchange_frames(due(&mut next_tick, TICK_INTERVAL, self.now));
            for index in 0..self.streams.len() {
                self.advance(index);
            }
            self.streams.retain(|stream| !stream.is_over());
            self.now += STEP;
        }
        self
    }

    /// Returns a number that was not returned before.
    fn take_number(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn start_backend(&mut self, software: &str) {
        let id = format!("b{}", self.take_number());
        self.backends.push(SimBackend {
            id,
            software: software.into(),
            incarnation: 1,
            started_at: self.now,
            restarts_at: None,
            is_alive: true,
            leaves: false,
        });
    }

    fn report_backends(&mut self) {
        for index in 0..self.backends.len() {
            if self.backends[index].is_alive {
                self.report_backend(index);
            }
        }
    }

    /// Sends a heartbeat to one router after the other until one reaches the scheduler.
    fn report_backend(&mut self, index: usize) {
        let report = self.backends[index].report();
        let first = self.rng.random_range(0..self.routers.len());
        for offset in 0..self.routers.len() {
            let router = (first + offset) % self.routers.len();
            let router = &mut self.routers[router];
            if router.is_paused(self.now) {
                continue;
            }
            router.client.report_backend(report.clone(), self.now);
            if router.is_attached {
                return;
            }
        }
    }

    /// Starts backend servers again under their names, with the newest version.
    fn restart_backends(&mut self) {
        for index in 0..self.backends.len() {
            let backend = &mut self.backends[index];
            if backend.restarts_at.is_none_or(|at| self.now < at) {
                continue;
            }
            backend.restarts_at = None;
            backend.software = format!("v{}", self.next_version);
            backend.incarnation += 1;
            backend.started_at = self.now;
            backend.is_alive = true;
            self.report_backend(index);
        }
    }

    fn begin_stream(&mut self) {
        let request = format!("r{}", self.take_number());
        self.streams.push(SimStream {
            request,
            router: 0,
            state: StreamState::Away { until: self.now },
            software: None,
            destination: None,
            deadline: self.now + CALLER_TIMEOUT,
        });
    }

    /// Causes one fault, or a step of a release.
    fn disturb(&mut self) {
        let router = self.rng.random_range(0..self.routers.len());
        match self.rng.random_range(0..self.fault_count) {
            0 => self.crash_backends(2),
            1 => self.crash_backends(1),
            2 => self.kill_router(router),
            3 => {
                self.routers[router].is_cut_until = self.now + CONTACT_TIME;
                self.routers[router].detach(self.now);
            }
            4 => self.replace_scheduler(),
            5 => self.next_version += 1,
            6 | 7 => self.release_backend(),
            8 | 9 => self.pause_router(router),
            10 => {
                self.routers[router].is_deaf_until = self.now + CONTACT_TIME;
                self.routers[router].disturbed_at = self.now + CONTACT_TIME;
            }
            11 => {
                self.routers[router].is_mute_until = self.now + CONTACT_TIME;
                self.routers[router].disturbed_at = self.now + CONTACT_TIME;
            }
            _ => self.crash_backend_for_release(),
        }
    }

    fn crash_backends(&mut self, count: usize) {
        for _ in 0..count {
            let alive: Vec<usize> = (0..self.backends.len())
                .filter(|b| self.backends[*b].is_alive)
                .collect();
            let Some(index) = alive.choose(&mut self.rng).copied() else {
                return;
            };
            let software = self.backends[index].software.clone();
            self.backends[index].is_alive = false;
            self.start_backend(&software);
        }
    }

    /// Starts a backend server of the newest version, and lets one of an older version leave.
    fn release_backend(&mut self) {
        let newest = format!("v{}", self.next_version);
        let old = self
            .backends
            .iter()
            .position(|b| b.is_alive && !b.leaves && b.software != newest);
        if let Some(old) = old {
            self.backends[old].leaves = true;
            self.start_backend(&newest);
        }
    }

    /// Lets a backend server crash that starts again under its name, with the newest version.
    fn crash_backend_for_release(&mut self) {
        let alive: Vec<usize> = (0..self.backends.len())
            .filter(|b| self.backends[*b].is_alive && !self.backends[*b].leaves)
            .collect();
        let Some(index) = alive.choose(&mut self.rng).copied() else {
            return;
        };
        let backend = &mut self.backends[index];
        backend.is_alive = false;
        backend.restarts_at = Some(self.now + RESTART_TIME);
    }

    /// Lets a router stand still, and releases a backend server meanwhile.
    fn pause_router(&mut self, index: usize) {
        let router = &mut self.routers[index];
        if router.is_paused(self.now) {
            return;
        }
        router.is_paused_until = self.now + CONTACT_TIME;
        router.disturbed_at = router.is_paused_until;
        self.leave_paused(index);
        self.next_version += 1;
        self.release_backend();
        self.crash_backend_for_release();
    }

    /// Replaces the process of a router by a new one.
    fn kill_router(&mut self, index: usize) {
        if let Some(key) = self.routers[index].key {
            self.scheduler.detach(key, self.now);
        }
        self.routers[index] = SimRouter::new(self.now);
        for stream in self.streams.iter_mut().filter(|s| s.router == index) {
            stream.leave(self.now);
        }
    }

    fn replace_scheduler(&mut self) {
        self.epoch += 1;
        self.disturbed_at = self.now;
        let settings = SchedulerSettings::default();
        self.scheduler = Allocator::new("chat", self.epoch, settings, self.now);
        for router in &mut self.routers {
            router.key = None;
        }
    }

    fn exchange_frames(&mut self, is_tick: bool) {
        let now = self.now;
        for (index, router) in self.routers.iter_mut().enumerate() {
            if router.is_paused(now) {
                continue;
            }
            router.read(now);
            router.end_left(now);
            router.check_stream(now);
            let Some(key) = router.key else {
                router.act_alone(index, &mut self.scheduler, now);
                continue;
            };
            // A router watches for its own pauses.
            router.client.grant_locally(&Configuration::default(), now);
            let is_due = router.client.due(now).is_some_and(|due| due <= now);
            if is_due && now >= router.is_mute_until {
                let frame = router.client.next_frame(now);
                self.scheduler.apply(key, frame, now);
            }
        }
        if is_tick {
            self.scheduler.tick(now);
        }
        self.scheduler.decide(now);
        for (key, frame) in self.scheduler.frames(now) {
            let router = self.routers.iter_mut().find(|r| r.key == Some(key));
            if let Some(router) = router {
                router.unread.push(frame);
                router.read(now);
            }
        }
    }
}

/// Whether something that repeats is due; moves on to its next time if so.
fn due(next: &mut Instant, interval: Duration, now: Instant) -> bool {
    let is_due = now >= *next;
    if is_due {
        *next += interval;
    }
    is_due
}
