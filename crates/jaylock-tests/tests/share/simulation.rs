//! A simulated pool in virtual time: the allocator, routers, and engines that generate at a constant rate.

use std::time::{Duration, Instant};

use jaylock_rpc::v1::{
    Ask, BackendReport, Configuration, End, Hello, Organisation, Progress, Refusal, RouterFrame,
    Running,
};
use jaylock_share::{Allocator, RouterKey, SchedulerSettings};

use crate::fleet::engine_report;

/// Length of a step.
pub const STEP: Duration = Duration::from_millis(100);
/// Tokens that a running request generates in a step.
const TOKENS_PER_STEP: u64 = 10;

/// A request with its cost and progress, which the engines know and the allocator does not.
#[derive(Debug, Clone)]
pub struct Job {
    pub ask: Ask,
    pub cost: u64,
    pub tokens: u64,
    pub router: usize,
    /// Name of the engine that runs the request.
    pub engine: Option<String>,
}

pub struct Simulation {
    pub now: Instant,
    pub allocator: Allocator,
    pub engines: Vec<BackendReport>,
    pub jobs: Vec<Job>,
    pub refusals: Vec<Refusal>,
    /// Tokens generated for each organisation.
    pub served: Vec<u64>,
    routers: Vec<RouterKey>,
    next_ticket: u64,
}

pub fn organisation_id(organisation: usize) -> String {
    format!("o{organisation}")
}

impl Simulation {
    /// Creates a pool with organisations of these weights, whose startup delay is over.
    pub fn new(weights: &[u32], engines: Vec<BackendReport>, routers: usize) -> Self {
        let mut now = Instant::now();
        let settings = SchedulerSettings {
            starvation_wait: Duration::from_secs(5),
            ..SchedulerSettings::default()
        };
        let mut allocator = Allocator::new("chat", 1, settings.clone(), now);
        let organisations = weights.iter().enumerate().map(|(at, weight)| Organisation {
            id: organisation_id(at),
            weight: *weight,
            queue_limit: 32,
            ..Organisation::default()
        });
        let organisations = organisations.collect();
        let configuration = Configuration {
            organisations,
            ..Configuration::default()
        };
        allocator.configure(&configuration, now);
        let hello = |router| Hello {
            router: format!("r{router}"),
            ..Hello::default()
        };
        let routers = (0..routers)
            .map(|router| allocator.attach(&hello(router), now))
            .collect();
        now += settings.startup_delay;
        let served = vec![0; weights.len()];
        let (jobs, refusals) = (Vec::new(), Vec::new());
        let mut new = Self {
            now,
            allocator,
            engines,
            jobs,
            refusals,
            served,
            routers,
            next_ticket: 1,
        };
        new.report();
        new
    }

    pub fn engines(count: usize, slots: u32) -> Vec<BackendReport> {
        (0..count)
            .map(|at| engine_report(&format!("e{at}"), slots))
            .collect()
    }

    /// Adds a request of an organisation and returns its ticket.
    pub fn ask(&mut self, organisation: usize, router: usize, cost: u64, ask: Ask) -> u64 {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let ask = Ask {
            ticket,
            organisation: organisation_id(organisation),
            ..ask
        };
        let frame = RouterFrame {
            asks: vec![ask.clone()],
            ..RouterFrame::default()
        };
        self.allocator.apply(self.routers[router], frame, self.now);
        self.jobs.push(Job {
            ask,
            cost,
            tokens: 0,
            router,
            engine: None,
        });
        ticket
    }

    pub fn decide(&mut self) {
        self.allocator.decide(self.now);
        for (_, frame) in self.allocator.frames(self.now) {
            for grant in frame.grants {
                let job = self
                    .jobs
                    .iter_mut()
                    .find(|job| job.ask.ticket == grant.ticket);
                let job = job.expect("a grant of a request that waits");
                assert_eq!(job.engine, None, "request granted twice");
                job.engine = Some(grant.backend);
            }
            let refused = |job: &Job| frame.refusals.iter().any(|r| r.ticket == job.ask.ticket);
            self.jobs.retain(|job| !refused(job));
            self.refusals.extend(frame.refusals.clone());
        }
    }

    /// Advances the engines by a step, reports their progress to the allocator, and lets it decide.
    pub fn step(&mut self) {
        self.now += STEP;
        let mut frames = vec![RouterFrame::default(); self.routers.len()];
        for job in self.jobs.iter_mut().filter(|job| job.engine.is_some()) {
            let grown = TOKENS_PER_STEP.min(job.cost - job.tokens);
            job.tokens += grown;
            let organisation: usize = job.ask.organisation[1..].parse().expect("a number");
            self.served[organisation] += grown;
            let (ticket, tokens) = (job.ask.ticket, job.tokens);
            let frame = &mut frames[job.router];
            if tokens == job.cost {
                frame.ends.push(End {
                    ticket,
                    tokens,
                    ..End::default()
                });
            } else {
                frame.progress.push(Progress { ticket, tokens });
            }
        }
        self.jobs.retain(|job| job.tokens < job.cost);
        for (key, frame) in self.routers.clone().into_iter().zip(frames) {
            self.allocator.apply(key, frame, self.now);
        }
        self.report();
        self.allocator.tick(self.now);
        self.decide();
    }

    /// Disconnects a router and drops its waiting and running requests.
    pub fn disconnect_router(&mut self, router: usize) {
        self.allocator.detach(self.routers[router], self.now);
        self.jobs.retain(|job| job.router != router);
    }

    /// Disconnects a router and attaches it again with these running requests.
    pub fn reattach_router(&mut self, router: usize, running: Vec<Running>) {
        self.allocator.detach(self.routers[router], self.now);
        self.now += STEP;
        let hello = Hello {
            router: format!("r{router}"),
            running,
            ..Hello::default()
        };
        self.routers[router] = self.allocator.attach(&hello, self.now);
    }

    /// Number of an organisation's waiting requests.
    pub fn waiting(&self, organisation: usize) -> usize {
        let id = organisation_id(organisation);
        let waits = |job: &&Job| job.engine.is_none() && job.ask.organisation == id;
        self.jobs.iter().filter(waits).count()
    }

    pub fn running_on(&self, engine: &str) -> usize {
        self.jobs
            .iter()
            .filter(|job| job.engine.as_deref() == Some(engine))
            .count()
    }

    pub fn job(&self, ticket: u64) -> Option<&Job> {
        self.jobs.iter().find(|job| job.ask.ticket == ticket)
    }

    fn report(&mut self) {
        let reports = self.engines.iter().map(|engine| BackendReport {
            running: u32::try_from(self.running_on(&engine.id)).expect("a small number"),
            ..engine.clone()
        });
        let frame = RouterFrame {
            backends: reports.collect(),
            ..RouterFrame::default()
        };
        self.allocator.apply(self.routers[0], frame, self.now);
        self.allocator.frames(self.now);
    }
}
