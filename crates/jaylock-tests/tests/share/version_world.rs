//! A pool with several software versions under faults, in virtual time.

use std::time::{Duration, Instant};

use futures_channel::oneshot;
use jaylock_rpc::v1::end::Outcome;
use jaylock_rpc::v1::{Ask, BackendReport, Configuration, End, Grant, Hello};
use jaylock_share::{
    Allocator, AskResult, ClientState, RouterKey, SchedulerClientSettings, SchedulerSettings,
};
use jaylock_types::StreamId;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::fleet::{end, engine_report};

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
/// Time from a grant to the first event.
const PREFILL_TIME: Duration = Duration::from_millis(80);
/// Time after a failure until a caller connects to another router.
const RECONNECT_TIME: Duration = Duration::from_millis(50);
/// Time for which a caller wants its stream.
const CALLER_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest run of a stream.
const MAX_RUN_TIME: Duration = Duration::from_secs(5);
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

struct SimRouter {
    client: ClientState,
    key: Option<RouterKey>,
    is_cut_until: Instant,
    disturbed_at: Instant,
}

struct SimBackend {
    id: String,
    software: String,
    started_at: Instant,
    is_alive: bool,
    leaves: bool,
}

/// A stream that its caller still wants.
struct SimStream {
    request: String,
    router: usize,
    state: StreamState,
    software: Option<String>,
    deadline: Instant,
}

enum StreamState {
    /// Its caller connects to a router then.
    Away {
        until: Instant,
    },
    Asking {
        ticket: u64,
        reply: oneshot::Receiver<AskResult>,
        is_counted: bool,
        /// Whether its response has begun.
        is_retry: bool,
    },
    Running {
        grant: Grant,
        begins_at: Instant,
        ends_at: Instant,
        is_counted: bool,
    },
    Ended,
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

    fn start_backend(&mut self, software: &str) {
        self.next_id += 1;
        self.backends.push(SimBackend {
            id: format!("b{}", self.next_id),
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
        self.next_id += 1;
        self.streams.push(SimStream {
            request: format!("r{}", self.next_id),
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

    fn advance(&mut self, index: usize) {
        let now = self.now;
        let stream = &mut self.streams[index];
        if now >= stream.deadline {
            self.give_up(index);
            return;
        }
        match &mut stream.state {
            StreamState::Away { until } if now >= *until => self.connect(index),
            StreamState::Asking {
                reply, is_retry, ..
            } => match reply.try_recv() {
                Ok(Some(Ok(grant))) => self.start(index, grant),
                Ok(Some(Err(_))) | Err(_) if *is_retry => self.streams[index].leave(now),
                Ok(Some(Err(_))) | Err(_) => self.streams[index].state = StreamState::Ended,
                Ok(None) => {}
            },
            StreamState::Running { .. } => self.advance_run(index),
            _ => {}
        }
    }

    /// Lets the caller of a stream connect to any router.
    fn connect(&mut self, index: usize) {
        let router = self.rng.random_range(0..self.routers.len());
        let is_counted = self.is_calm(router) && self.is_servable(index);
        let stream = &mut self.streams[index];
        stream.router = router;
        let share = match stream.software {
            Some(_) => &mut self.resumed,
            None => &mut self.begun,
        };
        share.asked += u32::from(is_counted);
        let begun_stream = stream
            .software
            .as_ref()
            .map(|_| StreamId::new("bench", &stream.request).0);
        let request = Ask {
            request: match begun_stream {
                Some(_) => format!("{}-{}", stream.request, take_number(&mut self.next_id)),
                None => stream.request.clone(),
            },
            begun_stream,
            ..Ask::default()
        };
        self.ask(index, request, is_counted);
    }

    fn ask(&mut self, index: usize, request: Ask, is_counted: bool) {
        let is_retry = request.served > 0;
        let ticket = take_number(&mut self.next_id);
        let stream = &mut self.streams[index];
        let (sender, reply) = oneshot::channel();
        let request = Ask {
            ticket,
            organisation: "bench".into(),
            ..request
        };
        let client = &mut self.routers[stream.router].client;
        client.request_slot(request, sender, self.now);
        stream.state = StreamState::Asking {
            ticket,
            reply,
            is_counted,
            is_retry,
        };
    }

    /// Ends a stream whose caller waits no longer.
    fn give_up(&mut self, index: usize) {
        let stream = &mut self.streams[index];
        let client = &mut self.routers[stream.router].client;
        match &stream.state {
            StreamState::Asking { ticket, .. } => client.cancel(*ticket),
            StreamState::Running { grant, .. } => {
                let outcome = Outcome::Cancelled.into();
                let cancelled = End {
                    outcome,
                    ..end(grant.ticket, 0)
                };
                client.release_slot(cancelled, self.now);
            }
            StreamState::Away { .. } | StreamState::Ended => {}
        }
        stream.state = StreamState::Ended;
    }

    fn start(&mut self, index: usize, grant: Grant) {
        let run_time = self.rng.random_range(PREFILL_TIME..MAX_RUN_TIME);
        let stream = &mut self.streams[index];
        let is_counted = matches!(
            stream.state,
            StreamState::Asking {
                is_counted: true,
                ..
            }
        );
        stream.state = StreamState::Running {
            grant,
            begins_at: self.now + PREFILL_TIME,
            ends_at: self.now + run_time,
            is_counted,
        };
    }

    fn advance_run(&mut self, index: usize) {
        let now = self.now;
        let stream = &mut self.streams[index];
        let StreamState::Running {
            grant,
            begins_at,
            ends_at,
            is_counted,
        } = &mut stream.state
        else {
            return;
        };
        let backend = self.backends.iter().find(|b| b.id == grant.backend);
        let backend = backend.expect("a known backend server");
        let client = &mut self.routers[stream.router].client;
        let ticket = grant.ticket;
        if !backend.is_alive {
            let crashed = backend.id.clone();
            client.release_slot(
                End {
                    outcome: Outcome::Crashed.into(),
                    ..end(ticket, 0)
                },
                now,
            );
            return self.retry(index, crashed);
        }
        if now >= *begins_at {
            let is_first = stream.software.is_none();
            let began = stream
                .software
                .get_or_insert_with(|| backend.software.clone());
            if *began != backend.software {
                self.mixed.push(stream.request.clone());
            }
            if std::mem::take(is_counted) {
                let share = if is_first {
                    &mut self.begun
                } else {
                    &mut self.resumed
                };
                share.served += 1;
            }
        }
        if now >= *ends_at {
            client.release_slot(end(ticket, 20), now);
            stream.state = StreamState::Ended;
        }
    }

    /// Makes another attempt within the same response.
    fn retry(&mut self, index: usize, crashed: String) {
        let stream = &self.streams[index];
        let request = Ask {
            request: stream.request.clone(),
            software: stream.software.clone(),
            begun_stream: stream
                .software
                .as_ref()
                .map(|_| StreamId::new("bench", &stream.request).0),
            served: u64::from(stream.software.is_some()),
            avoid: vec![crashed],
            ..Ask::default()
        };
        self.ask(index, request, false);
    }

    /// Whether a router and its scheduler have been undisturbed for a while.
    fn is_calm(&self, router: usize) -> bool {
        let router = &self.routers[router];
        let last = router.disturbed_at.max(self.disturbed_at);
        router.key.is_some() && self.now > last + CONTACT_TIME
    }

    /// Whether two backend servers that have been there for a while may run a stream.
    fn is_servable(&self, index: usize) -> bool {
        let software = self.streams[index].software.as_ref();
        let serves = |b: &&SimBackend| {
            let is_ready = b.is_alive && !b.leaves && self.now > b.started_at + CONTACT_TIME;
            is_ready && software.is_none_or(|software| *software == b.software)
        };
        self.backends.iter().filter(serves).count() >= 2
    }
}

impl SimRouter {
    fn new(now: Instant) -> Self {
        Self {
            client: ClientState::new(SchedulerClientSettings::default()),
            key: None,
            is_cut_until: now,
            disturbed_at: now,
        }
    }

    fn detach(&mut self, now: Instant) {
        self.client.detach(now);
        self.key = None;
        self.disturbed_at = now;
    }

    /// Attaches to the scheduler unless the router is cut off from it, and grants its own slots until then.
    fn act_alone(&mut self, index: usize, scheduler: &mut Allocator, now: Instant) {
        if now < self.is_cut_until {
            self.client.grant_locally(&Configuration::default(), now);
            drop(self.client.take_unknown_streams(now));
            drop(self.client.take_lost_streams(now));
            return;
        }
        let hello = Hello {
            router: format!("router-{index}"),
            ..Hello::default()
        };
        let mut frame = self.client.first_frame(hello, now);
        let key = scheduler.attach(&frame.hello.take().expect("a hello"), now);
        scheduler.apply(key, frame, now);
        self.key = Some(key);
        self.disturbed_at = now;
    }
}

impl SimBackend {
    fn report(&self) -> BackendReport {
        BackendReport {
            software: self.software.clone(),
            leaving: self.leaves,
            ..engine_report(&self.id, 32)
        }
    }
}

impl SimStream {
    fn is_over(&self) -> bool {
        matches!(self.state, StreamState::Ended)
    }

    /// Lets the caller look for another router.
    fn leave(&mut self, now: Instant) {
        self.state = StreamState::Away {
            until: now + RECONNECT_TIME,
        };
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

/// Returns a number that was not returned before.
fn take_number(next: &mut u64) -> u64 {
    *next += 1;
    *next
}
