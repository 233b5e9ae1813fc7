//! A service with cold backend servers, its routers and its schedulers, in virtual time.

use std::time::{Duration, Instant};

use futures_channel::oneshot;
use jaylock_rpc::v1::end::Outcome;
use jaylock_rpc::v1::{
    Ask, BackendReport, Configuration, End, Evacuation, Grant, Hello, RouterFrame, SchedulerFrame,
    Service,
};
use jaylock_share::{
    Allocator, AskResult, ClientState, RouterKey, SchedulerClientSettings, SchedulerSettings,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::fleet::engine_report;

/// Step of the virtual clock.
pub const STEP: Duration = Duration::from_millis(2);
/// Longest one-way delay of a message.
const MAX_MESSAGE_DELAY_MS: u64 = 20;
/// Longest time from a grant's arrival to that of its request at the backend server.
const MAX_SEND_DELAY_MS: u64 = 300;
/// Time that a backend server works on a request.
const WORK_TIME: Duration = Duration::from_millis(150);
/// Time between two reports of a backend server.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Requests a second that a cold backend server takes, in thousandths, and for how long.
pub const COLD_RATE_MILLI: u64 = 5200;
pub const COLD_TIME: Duration = Duration::from_secs(3);
/// Most requests that a cold backend server may get in any second: 1.5 x rate + 5.
pub const MAX_IN_A_SECOND: usize = 12;

/// A configuration in which the backend servers of the service may be cold.
pub fn cold_configuration() -> Configuration {
    let service = Service {
        id: "chat".into(),
        cold_ms: 3000,
        cold_rate_milli: COLD_RATE_MILLI,
        ..Service::default()
    };
    Configuration {
        services: vec![service],
        ..Configuration::default()
    }
}

/// A backend server, in truth.
pub struct Server {
    pub id: String,
    pub domain: String,
    pub cold_from: Instant,
    pub cold_until: Instant,
    /// When requests arrived.
    pub arrivals: Vec<Instant>,
    sequence: u64,
}

impl Server {
    /// Most requests that arrived in any second while it was cold.
    pub fn most_in_a_second(&self) -> usize {
        let cold = |at: &&Instant| **at >= self.cold_from && **at < self.cold_until;
        let arrivals: Vec<Instant> = self.arrivals.iter().filter(cold).copied().collect();
        let second = Duration::from_secs(1);
        let counts = arrivals.iter().map(|start| {
            let window = arrivals
                .iter()
                .filter(|at| *at >= start && **at < *start + second);
            window.count()
        });
        counts.max().unwrap_or(0)
    }

    /// Requests that arrived in a time.
    pub fn arrivals_in(&self, from: Instant, time: Duration) -> usize {
        let arrivals = self.arrivals.iter();
        arrivals
            .filter(|at| **at >= from && **at < from + time)
            .count()
    }
}

struct Node {
    key: Option<RouterKey>,
    client: ClientState,
}

/// A request on its way to a backend server, or running there.
struct Sent {
    router: usize,
    grant: Grant,
    at: Instant,
    has_arrived: bool,
}

pub struct World {
    pub now: Instant,
    pub configuration: Configuration,
    pub servers: Vec<Server>,
    pub refused: usize,
    /// Time at whose multiples all routers send what they were granted, as if they stood still between; 0 for usual delays.
    pub send_interval: Duration,
    started: Instant,
    scheduler: Option<Allocator>,
    epoch: u64,
    nodes: Vec<Node>,
    to_scheduler: Vec<(Instant, usize, RouterFrame)>,
    to_routers: Vec<(Instant, usize, SchedulerFrame)>,
    waiting: Vec<(usize, oneshot::Receiver<AskResult>)>,
    sent: Vec<Sent>,
    next_report: Instant,
    next_tick: Instant,
    next_ticket: u64,
    rng: SmallRng,
}

impl World {
    /// A scheduler that has just started, with routers and warm backend servers, of which each has its domain.
    pub fn new(routers: usize, servers: &[(&str, &str)]) -> Self {
        let now = Instant::now();
        let servers = servers.iter().map(|(id, domain)| Server {
            id: (*id).into(),
            domain: (*domain).into(),
            cold_from: now,
            cold_until: now,
            arrivals: Vec::new(),
            sequence: 0,
        });
        let node = || Node {
            key: None,
            client: ClientState::new(SchedulerClientSettings::default()),
        };
        let mut world = Self {
            now,
            configuration: cold_configuration(),
            servers: servers.collect(),
            refused: 0,
            send_interval: Duration::ZERO,
            started: now,
            scheduler: None,
            epoch: 0,
            nodes: (0..routers).map(|_| node()).collect(),
            to_scheduler: Vec::new(),
            to_routers: Vec::new(),
            waiting: Vec::new(),
            sent: Vec::new(),
            next_report: now,
            next_tick: now,
            next_ticket: 1,
            rng: SmallRng::seed_from_u64(20_261_206),
        };
        world.start_scheduler();
        world
    }

    /// Starts a scheduler, to which all routers attach.
    pub fn start_scheduler(&mut self) {
        self.epoch += 1;
        let settings = SchedulerSettings::default();
        let mut scheduler = Allocator::new("chat", self.epoch, settings, self.now);
        scheduler.configure(&self.configuration, self.now);
        for index in 0..self.nodes.len() {
            let node = &mut self.nodes[index];
            let hello = Hello {
                pool: "chat".into(),
                router: format!("r{index}"),
                ..Hello::default()
            };
            let frame = node.client.first_frame(hello, self.now);
            node.key = Some(scheduler.attach(frame.hello.as_ref().expect("a hello"), self.now));
            self.send_to_scheduler(index, frame);
        }
        self.scheduler = Some(scheduler);
    }

    /// Ends the scheduler; what is on its way is lost.
    pub fn lose_scheduler(&mut self) {
        self.scheduler = None;
        self.to_scheduler.clear();
        self.to_routers.clear();
        for node in &mut self.nodes {
            node.client.detach(self.now);
        }
    }

    /// Starts a backend server again, which is cold then.
    pub fn turn_cold(&mut self, domain: &str) {
        let until = self.now + COLD_TIME;
        for server in self.servers.iter_mut().filter(|s| s.domain == domain) {
            server.cold_from = self.now;
            server.cold_until = until;
        }
        self.next_report = self.now;
    }

    /// Orders that a domain is evacuated or restored.
    pub fn order(&mut self, domain: &str, is_evacuated: bool) {
        let index = self
            .configuration
            .evacuations
            .first()
            .map_or(0, |e| e.index)
            + 1;
        let entry = Evacuation {
            domain: domain.into(),
            index,
            since_ms: u64::from(is_evacuated),
            restored_ms: u64::from(!is_evacuated),
        };
        self.configuration.evacuations = vec![entry];
    }

    /// Runs for a time with this many requests a second over all routers.
    pub fn run(&mut self, time: Duration, rate: f64) {
        let end = self.now + time;
        while self.now < end {
            if self.rng.random_bool((rate * STEP.as_secs_f64()).min(1.0)) {
                self.ask();
            }
            self.step();
        }
    }

    /// Asks for a slot at any router.
    pub fn ask(&mut self) {
        let router = self.rng.random_range(0..self.nodes.len());
        let ask = Ask {
            ticket: self.next_ticket,
            organisation: format!("o{}", self.next_ticket % 10),
            request: self.next_ticket.to_string(),
            model: "dossier".into(),
            objective_ms: 1000,
            ..Ask::default()
        };
        self.next_ticket += 1;
        let (reply, receiver) = oneshot::channel();
        let client = &mut self.nodes[router].client;
        client.request_slot(ask, reply, self.now);
        client.grant_locally(&self.configuration, self.now);
        self.waiting.push((router, receiver));
    }

    fn step(&mut self) {
        self.now += STEP;
        if self.now >= self.next_report {
            self.next_report = self.now + REPORT_INTERVAL;
            self.report();
        }
        self.deliver();
        self.decide();
        for node in &mut self.nodes {
            node.client.grant_locally(&self.configuration, self.now);
        }
        self.read_replies();
        self.work();
    }

    /// Sends a message with some delay, behind the earlier ones of its stream.
    fn send_to_scheduler(&mut self, router: usize, frame: RouterFrame) {
        let earlier = self.to_scheduler.iter().filter(|(_, r, _)| *r == router);
        let last = earlier.map(|(at, ..)| *at).max().unwrap_or(self.now);
        let arrival = last.max(self.now + message_delay(&mut self.rng));
        self.to_scheduler.push((arrival, router, frame));
    }

    fn send_to_router(&mut self, router: usize, frame: SchedulerFrame) {
        let earlier = self.to_routers.iter().filter(|(_, r, _)| *r == router);
        let last = earlier.map(|(at, ..)| *at).max().unwrap_or(self.now);
        let arrival = last.max(self.now + message_delay(&mut self.rng));
        self.to_routers.push((arrival, router, frame));
    }

    /// Lets each backend server report at any router.
    fn report(&mut self) {
        for index in 0..self.servers.len() {
            let router = self.rng.random_range(0..self.nodes.len());
            let server = &mut self.servers[index];
            server.sequence += 1;
            let left = server.cold_until.saturating_duration_since(self.now);
            let report = BackendReport {
                domain: server.domain.clone(),
                sequence: server.sequence,
                cold_ms: Some(u32::try_from(left.as_millis()).expect("a short time")),
                ..engine_report(&server.id, 64)
            };
            self.nodes[router].client.report_backend(report, self.now);
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        for index in 0..self.nodes.len() {
            let client = &mut self.nodes[index].client;
            if self.scheduler.is_some() && client.due(now).is_some_and(|due| due <= now) {
                let frame = client.next_frame(now);
                self.send_to_scheduler(index, frame);
            }
        }
        let due = self.to_scheduler.extract_if(.., |(at, ..)| *at <= now);
        for (_, index, frame) in due.collect::<Vec<_>>() {
            if let (Some(scheduler), Some(key)) = (&mut self.scheduler, self.nodes[index].key) {
                scheduler.apply(key, frame, now);
            }
        }
        let due = self.to_routers.extract_if(.., |(at, ..)| *at <= now);
        for (_, index, frame) in due.collect::<Vec<_>>() {
            let client = &mut self.nodes[index].client;
            client.configure(&self.configuration);
            client.apply_frame(frame, now);
        }
    }

    fn decide(&mut self) {
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        if self.now >= self.next_tick {
            self.next_tick = self.now + Duration::from_millis(100);
            scheduler.configure(&self.configuration, self.now);
            scheduler.tick(self.now);
        }
        scheduler.decide(self.now);
        for (key, frame) in scheduler.frames(self.now) {
            let index = self.nodes.iter().position(|node| node.key == Some(key));
            self.send_to_router(index.expect("a known router"), frame);
        }
    }

    fn read_replies(&mut self) {
        for (router, mut reply) in std::mem::take(&mut self.waiting) {
            match reply.try_recv().expect("an open reply") {
                None => self.waiting.push((router, reply)),
                Some(Err(_)) => self.refused += 1,
                Some(Ok(grant)) => {
                    let at = self.send_time();
                    self.sent.push(Sent {
                        router,
                        grant,
                        at,
                        has_arrived: false,
                    });
                }
            }
        }
    }

    /// When the request of a grant that has just arrived gets to the backend server.
    fn send_time(&mut self) -> Instant {
        if self.send_interval.is_zero() {
            let delay = self.rng.random_range(0..=MAX_SEND_DELAY_MS);
            return self.now + Duration::from_millis(delay);
        }
        let elapsed = (self.now - self.started).as_nanos();
        let interval = self.send_interval.as_nanos();
        let rest = interval - elapsed % interval;
        self.now + Duration::from_nanos(u64::try_from(rest).expect("a short time"))
    }

    /// Lets requests arrive at backend servers, and ends those that have run.
    fn work(&mut self) {
        let now = self.now;
        let due = self.sent.extract_if(.., |sent| sent.at <= now);
        for sent in due.collect::<Vec<_>>() {
            let client = &mut self.nodes[sent.router].client;
            client.configure(&self.configuration);
            let is_excluded = !sent.has_arrived && client.is_excluded(&sent.grant, now);
            if sent.has_arrived || is_excluded {
                let outcome = if is_excluded {
                    Outcome::NotRun
                } else {
                    Outcome::Complete
                };
                let end = End {
                    ticket: sent.grant.ticket,
                    outcome: outcome.into(),
                    answered: !is_excluded,
                    ..End::default()
                };
                client.release_slot(end, now);
                continue;
            }
            let mut servers = self.servers.iter_mut();
            let server = servers.find(|server| server.id == sent.grant.backend);
            server.expect("a known server").arrivals.push(now);
            self.sent.push(Sent {
                at: now + WORK_TIME,
                has_arrived: true,
                ..sent
            });
        }
    }
}

fn message_delay(rng: &mut SmallRng) -> Duration {
    Duration::from_millis(rng.random_range(0..=MAX_MESSAGE_DELAY_MS))
}
