//! A service with cold backend servers, its routers and its schedulers, in virtual time.

use std::ops::Range;
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

use crate::fleet::{ask, engine_report};

/// Step of the virtual clock, and the steps between two ticks of the scheduler and two reports of a backend server.
const STEP: Duration = Duration::from_millis(2);
const TICK_STEPS: u64 = 50;
const REPORT_STEPS: u64 = 200;
/// Longest delays of a message, and of a request after its grant has arrived.
const MAX_MESSAGE_DELAY_MS: u64 = 20;
const MAX_SEND_DELAY_MS: u64 = 300;
/// Time that a backend server works on a request.
const WORK_TIME: Duration = Duration::from_millis(150);
/// Requests in 1000 s that a cold backend server takes, and for how long it is cold.
pub const COLD_RATE_MILLI: u64 = 5200;
pub const COLD_TIME: Duration = Duration::from_secs(3);

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
    name: &'static str,
    domain: &'static str,
    cold: Range<Instant>,
    arrivals: Vec<Instant>,
}

impl Server {
    /// Most requests that arrived in any second while it was cold.
    pub fn most_in_a_second(&self) -> usize {
        let cold = self.arrivals.iter().filter(|at| self.cold.contains(at));
        let count = |at: &Instant| {
            let end = self.cold.end.min(*at + Duration::from_secs(1));
            self.arrivals_in(*at..end)
        };
        cold.map(count).max().unwrap_or(0)
    }

    /// Requests that arrived in a time.
    pub fn arrivals_in(&self, time: Range<Instant>) -> usize {
        self.arrivals.iter().filter(|at| time.contains(at)).count()
    }
}

/// Messages on their way from or to routers, in order for each router.
struct Queue<T>(Vec<(Instant, usize, T)>);

impl<T> Queue<T> {
    fn push(&mut self, arrival: Instant, router: usize, message: T) {
        let earlier = self.0.iter().filter(|(_, other, _)| *other == router);
        let last = earlier.map(|(at, ..)| *at).max();
        let arrival = last.map_or(arrival, |last| last.max(arrival));
        self.0.push((arrival, router, message));
    }

    fn take(&mut self, now: Instant) -> Vec<(Instant, usize, T)> {
        self.0.extract_if(.., |(at, ..)| *at <= now).collect()
    }
}

pub struct World {
    pub now: Instant,
    pub configuration: Configuration,
    pub servers: Vec<Server>,
    pub refused: usize,
    /// Time for which all routers alternately hold what they were granted and send it at once; 0 for usual delays.
    pub held_for: Duration,
    started: Instant,
    steps: u64,
    epoch: u64,
    scheduler: Option<Allocator>,
    /// The routers, each with its key while it is attached.
    routers: Vec<(Option<RouterKey>, ClientState)>,
    to_scheduler: Queue<RouterFrame>,
    to_routers: Queue<SchedulerFrame>,
    waiting: Vec<(usize, oneshot::Receiver<AskResult>)>,
    /// Requests on their way to a backend server, and running there, with the time of the next step.
    sent: Vec<(Instant, usize, Grant)>,
    running: Vec<(Instant, usize, Grant)>,
    tickets: u64,
    rng: SmallRng,
}

impl World {
    /// A scheduler that has just started, with routers and warm backend servers in their domains.
    pub fn new(routers: usize, servers: &[(&'static str, &'static str)]) -> Self {
        let now = Instant::now();
        let router = |_| (None, ClientState::new(SchedulerClientSettings::default()));
        let servers = servers.iter().map(|(name, domain)| Server {
            name,
            domain,
            cold: now..now,
            arrivals: Vec::new(),
        });
        let mut world = Self {
            now,
            configuration: cold_configuration(),
            servers: servers.collect(),
            refused: 0,
            held_for: Duration::ZERO,
            started: now,
            steps: 0,
            epoch: 0,
            scheduler: None,
            routers: (0..routers).map(router).collect(),
            to_scheduler: Queue(Vec::new()),
            to_routers: Queue(Vec::new()),
            waiting: Vec::new(),
            sent: Vec::new(),
            running: Vec::new(),
            tickets: 0,
            rng: SmallRng::seed_from_u64(20_261_206),
        };
        world.start_scheduler(routers);
        world
    }

    /// Most requests that a cold backend server may get in any second: 1.5 x rate + 5.
    pub fn max_in_a_second(&self) -> usize {
        let milli = self.configuration.services[0].cold_rate_milli;
        usize::try_from(milli * 3 / 2000 + 5).expect("a small number")
    }

    /// Starts a scheduler, to which the first routers attach.
    pub fn start_scheduler(&mut self, attached: usize) {
        self.epoch += 1;
        let settings = SchedulerSettings::default();
        self.scheduler = Some(Allocator::new("chat", self.epoch, settings, self.now));
        self.attach(0..attached);
    }

    /// Lets routers attach to the scheduler.
    pub fn attach(&mut self, routers: Range<usize>) {
        for index in routers {
            let hello = Hello {
                pool: "chat".into(),
                router: format!("r{index}"),
                ..Hello::default()
            };
            let frame = self.routers[index].1.first_frame(hello, self.now);
            let scheduler = self.scheduler.as_mut().expect("a scheduler");
            let key = scheduler.attach(frame.hello.as_ref().expect("a hello"), self.now);
            self.routers[index].0 = Some(key);
            let arrival = self.after(MAX_MESSAGE_DELAY_MS);
            self.to_scheduler.push(arrival, index, frame);
        }
    }

    /// Ends the scheduler; what is on its way is lost.
    pub fn lose_scheduler(&mut self) {
        self.scheduler = None;
        self.to_scheduler.0.clear();
        self.to_routers.0.clear();
        for (key, client) in &mut self.routers {
            *key = None;
            client.detach(self.now);
        }
    }

    /// Makes the backend servers of a domain cold, which they report.
    pub fn turn_cold(&mut self, domain: &str) {
        for server in self.servers.iter_mut().filter(|s| s.domain == domain) {
            server.cold = self.now..self.now + COLD_TIME;
        }
        self.report();
    }

    /// Orders that a domain is evacuated or restored.
    pub fn order(&mut self, domain: &str, is_evacuated: bool) {
        let entry = Evacuation {
            domain: domain.into(),
            index: self.steps,
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
            self.now += STEP;
            self.steps += 1;
            if self.steps.is_multiple_of(REPORT_STEPS) {
                self.report();
            }
            self.exchange();
            self.decide();
            self.read_replies();
            self.work();
        }
    }

    /// Some time from now, up to this many ms.
    fn after(&mut self, max_ms: u64) -> Instant {
        self.now + Duration::from_millis(self.rng.random_range(0..=max_ms))
    }

    fn ask(&mut self) {
        self.tickets += 1;
        let ask = Ask {
            ticket: self.tickets,
            objective_ms: 1000,
            ..ask(&format!("o{}", self.tickets % 10))
        };
        let router = self.rng.random_range(0..self.routers.len());
        let (reply, receiver) = oneshot::channel();
        self.routers[router].1.request_slot(ask, reply, self.now);
        self.waiting.push((router, receiver));
    }

    /// Lets each backend server report at any router.
    fn report(&mut self) {
        for server in &self.servers {
            let left = server.cold.end.saturating_duration_since(self.now);
            let report = BackendReport {
                domain: server.domain.into(),
                sequence: self.steps,
                cold_ms: Some(u32::try_from(left.as_millis()).expect("a short time")),
                ..engine_report(server.name, 64)
            };
            let router = self.rng.random_range(0..self.routers.len());
            self.routers[router].1.report_backend(report, self.now);
        }
    }

    fn exchange(&mut self) {
        let now = self.now;
        for index in 0..self.routers.len() {
            let arrival = self.after(MAX_MESSAGE_DELAY_MS);
            let (key, client) = &mut self.routers[index];
            client.grant_locally(&self.configuration, now);
            if key.is_some() && client.due(now).is_some_and(|due| due <= now) {
                let frame = client.next_frame(now);
                self.to_scheduler.push(arrival, index, frame);
            }
        }
        for (_, index, frame) in self.to_scheduler.take(now) {
            if let (Some(scheduler), Some(key)) = (&mut self.scheduler, self.routers[index].0) {
                scheduler.apply(key, frame, now);
            }
        }
        for (_, index, frame) in self.to_routers.take(now) {
            self.routers[index].1.apply_frame(frame, now);
        }
    }

    fn decide(&mut self) {
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        if self.steps.is_multiple_of(TICK_STEPS) {
            scheduler.configure(&self.configuration, self.now);
            scheduler.tick(self.now);
        }
        scheduler.decide(self.now);
        for (key, frame) in scheduler.frames(self.now) {
            let mut routers = self.routers.iter();
            let index = routers.position(|(other, _)| *other == Some(key));
            let arrival = self.after(MAX_MESSAGE_DELAY_MS);
            let index = index.expect("a known router");
            self.to_routers.push(arrival, index, frame);
        }
    }

    fn read_replies(&mut self) {
        for (router, mut reply) in std::mem::take(&mut self.waiting) {
            match reply.try_recv().expect("an open reply") {
                None => self.waiting.push((router, reply)),
                Some(Err(_)) => self.refused += 1,
                Some(Ok(grant)) => {
                    let sent_at = self.send_time();
                    self.sent.push((sent_at, router, grant));
                }
            }
        }
    }

    /// When the request of a grant that has just arrived gets to the backend server.
    fn send_time(&mut self) -> Instant {
        if self.held_for.is_zero() {
            return self.after(MAX_SEND_DELAY_MS);
        }
        let phase = (self.now - self.started).as_nanos() % (2 * self.held_for.as_nanos());
        let rest = self.held_for.as_nanos().saturating_sub(phase);
        self.now + Duration::from_nanos(u64::try_from(rest).expect("a short time"))
    }

    /// Lets requests arrive at backend servers, and ends those that have run.
    fn work(&mut self) {
        let now = self.now;
        let due = self.sent.extract_if(.., |(at, ..)| *at <= now);
        for (_, router, grant) in due.collect::<Vec<_>>() {
            if self.routers[router].1.is_excluded(&grant, now) {
                self.release(router, &grant, Outcome::NotRun);
                continue;
            }
            let mut servers = self.servers.iter_mut();
            let server = servers.find(|server| server.name == grant.backend);
            server.expect("a known server").arrivals.push(now);
            self.running.push((now + WORK_TIME, router, grant));
        }
        let ended = self.running.extract_if(.., |(at, ..)| *at <= now);
        for (_, router, grant) in ended.collect::<Vec<_>>() {
            self.release(router, &grant, Outcome::Complete);
        }
    }

    fn release(&mut self, router: usize, grant: &Grant, outcome: Outcome) {
        let end = End {
            ticket: grant.ticket,
            outcome: outcome.into(),
            answered: outcome == Outcome::Complete,
            ..End::default()
        };
        self.routers[router].1.release_slot(end, self.now);
    }
}
