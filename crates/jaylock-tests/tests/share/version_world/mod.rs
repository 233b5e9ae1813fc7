//! A pool with several software versions under faults, in virtual time.

mod callers;
mod members;

use std::time::{Duration, Instant};

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
            started_at: self.now,
            is_alive: true,
            leaves: false,
        });
    }

    fn report_backends(&mut self) {
        for backend in self.backends.iter().filter(|b| b.is_alive) {
            let router = self.rng.random_range(0..self.routers.len());
            let client = &mut self.routers[router].client;
            client.report_backend(backend.report(), self.now);
        }
    }

    fn begin_stream(&mut self) {
        let request = format!("r{}", self.take_number());
        self.streams.push(SimStream {
            request,
            router: 0,
            state: StreamState::Away { until: self.now },
            software: None,
            deadline: self.now + CALLER_TIMEOUT,
        });
    }

    /// Causes one fault, or a step of a release.
    fn disturb(&mut self) {
        let router = self.rng.random_range(0..self.routers.len());
        match self.rng.random_range(0..8) {
            0 => self.crash_backends(2),
            1 => self.crash_backends(1),
            2 => self.kill_router(router),
            3 => {
                self.routers[router].is_cut_until = self.now + CONTACT_TIME;
                self.routers[router].detach(self.now);
            }
            4 => self.replace_scheduler(),
            5 => self.next_version += 1,
            _ => self.release_backend(),
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
            router.detach(self.now);
        }
    }

    fn exchange_frames(&mut self, is_tick: bool) {
        let now = self.now;
        for (index, router) in self.routers.iter_mut().enumerate() {
            let Some(key) = router.key else {
                router.act_alone(index, &mut self.scheduler, now);
                continue;
            };
            if router.client.due(now).is_some_and(|due| due <= now) {
                self.scheduler
                    .apply(key, router.client.next_frame(now), now);
            }
        }
        if is_tick {
            self.scheduler.tick(now);
        }
        self.scheduler.decide(now);
        for (key, frame) in self.scheduler.frames(now) {
            let router = self.routers.iter_mut().find(|r| r.key == Some(key));
            if let Some(router) = router {
                router.client.apply_frame(frame, now);
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
