//! The interface of all designs, and the scheduler, which runs the real allocator and client.

use std::time::{Duration, Instant};

use futures_channel::oneshot;
use jaylock_rpc::v1::{
    Ask, BackendReport, Configuration, End, Hello, LoadedModel, Organisation, Progress,
    RouterFrame, SchedulerFrame,
};
use jaylock_share::{
    Allocator, AskResult, ClientState, RouterKey, SchedulerClientSettings, SchedulerSettings,
};
use prost::Message;

use crate::workload::{Deployment, Job};

/// Ethernet, IP, TCP, HTTP/2 and gRPC headers of a message.
pub const HEADER_BYTES: u64 = 14 + 20 + 32 + 9 + 5;
/// Time between the reports of an engine.
const REPORT_INTERVAL_MS: u64 = 1000;
/// Time between checks of leases.
const TICK_INTERVAL_MS: u64 = 100;

/// A fault, or its end, in the fleet.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    SchedulerLost,
    SchedulerStarted,
    RouterLost(usize),
    RouterStarted(usize),
    RouterDetached(usize),
    RouterAttached(usize),
}

/// A design for sharing slots; times are in ms.
pub trait Design {
    fn arrive(&mut self, job: &Job, now: u64);
    fn progress(&mut self, job: &Job, now: u64);
    fn end(&mut self, job: &Job, now: u64);
    fn apply_fault(&mut self, fault: Fault, now: u64);
    /// Advances to `now` and returns the requests that start, with their engines.
    fn step(&mut self, now: u64) -> Vec<(u64, usize)>;
    /// Bytes that the design has sent between nodes.
    fn bytes(&self) -> u64;
}

/// One scheduler: the allocator, the routers' client state, and the messages between them.
pub struct Scheduled {
    deployment: Deployment,
    settings: SchedulerSettings,
    base: Instant,
    allocator: Option<Allocator>,
    epoch: u64,
    routers: Vec<RouterNode>,
    configuration: Configuration,
    bytes: u64,
}

struct RouterNode {
    client: ClientState,
    key: Option<RouterKey>,
    is_detached: bool,
    is_lost: bool,
    incarnation: u64,
    replies: Vec<(u64, oneshot::Receiver<AskResult>)>,
    // Messages in flight until the next step.
    to_router: Vec<SchedulerFrame>,
    to_scheduler: Vec<RouterFrame>,
}

impl RouterNode {
    fn new(incarnation: u64) -> Self {
        Self {
            client: ClientState::new(SchedulerClientSettings::default()),
            key: None,
            is_detached: false,
            is_lost: false,
            incarnation,
            replies: Vec::new(),
            to_router: Vec::new(),
            to_scheduler: Vec::new(),
        }
    }
}

impl Scheduled {
    pub fn new(deployment: Deployment, precharge_percent: u32) -> Self {
        let organisation = |id| Organisation {
            id: organisation_id(id),
            weight: 1,
            ..Default::default()
        };
        let organisations = (0..deployment.organisations).map(organisation).collect();
        let mut new = Self {
            deployment,
            settings: SchedulerSettings {
                precharge_percent,
                ..SchedulerSettings::default()
            },
            base: Instant::now(),
            allocator: None,
            epoch: 0,
            routers: (0..deployment.routers)
                .map(|_| RouterNode::new(1))
                .collect(),
            configuration: Configuration {
                organisations,
                ..Configuration::default()
            },
            bytes: 0,
        };
        new.start_scheduler(0);
        new
    }

    fn at(&self, now: u64) -> Instant {
        self.base + Duration::from_millis(now)
    }

    fn start_scheduler(&mut self, now: u64) {
        self.epoch += 1;
        let at = self.at(now);
        let mut allocator = Allocator::new("chat", self.epoch, self.settings.clone(), at);
        allocator.configure(&self.configuration, at);
        self.allocator = Some(allocator);
    }

    fn connect(&mut self, router: usize, now: u64) {
        let at = self.at(now);
        let node = &mut self.routers[router];
        let Some(allocator) = &mut self.allocator else {
            return;
        };
        if node.key.is_some() || node.is_detached || node.is_lost {
            return;
        }
        let hello = Hello {
            router: format!("r{router}"),
            incarnation: node.incarnation,
            domain: format!("d{}", router % self.deployment.domains),
            ..Hello::default()
        };
        let mut first = node.client.first_frame(hello, at);
        self.bytes += first.encoded_len() as u64 + HEADER_BYTES;
        let hello = first.hello.take().expect("a hello in the first message");
        node.key = Some(allocator.attach(&hello, at));
        node.to_scheduler.push(first);
    }

    fn disconnect(&mut self, router: usize, now: u64) {
        let at = self.at(now);
        let node = &mut self.routers[router];
        if let (Some(key), Some(allocator)) = (node.key.take(), &mut self.allocator) {
            allocator.detach(key, at);
        }
        node.client.detach(at);
        node.to_router.clear();
        node.to_scheduler.clear();
    }

    /// Sends the engines' reports through the routers.
    fn report(&mut self, now: u64) {
        if !now.is_multiple_of(REPORT_INTERVAL_MS) {
            return;
        }
        for engine in 0..self.deployment.engines {
            let alive = |router: &usize| !self.routers[*router].is_lost;
            let routers = (0..self.routers.len()).cycle().skip(engine);
            let Some(router) = routers.take(self.routers.len()).find(alive) else {
                return;
            };
            let report = self.engine_report(engine);
            let received = self.at(now);
            self.routers[router].client.report_backend(report, received);
        }
    }

    fn engine_report(&self, engine: usize) -> BackendReport {
        let model = LoadedModel {
            model: "dossier".into(),
            ..LoadedModel::default()
        };
        BackendReport {
            id: format!("e{engine}"),
            incarnation: 1,
            address: format!("10.0.0.{engine}:8000"),
            domain: format!("d{}", engine % self.deployment.domains),
            models: vec![model],
            slots: u32::try_from(self.deployment.slots).unwrap_or(u32::MAX),
            pool: "chat".into(),
            ..BackendReport::default()
        }
    }

    fn exchange(&mut self, now: u64) {
        let at = self.at(now);
        let Some(allocator) = &mut self.allocator else {
            return;
        };
        for node in &mut self.routers {
            let Some(key) = node.key else { continue };
            for frame in std::mem::take(&mut node.to_scheduler) {
                allocator.apply(key, frame, at);
            }
        }
        if now.is_multiple_of(TICK_INTERVAL_MS) {
            allocator.tick(at);
        }
        allocator.decide(at);
        for (key, frame) in allocator.frames(at) {
            let node = self.routers.iter_mut().find(|node| node.key == Some(key));
            if let Some(node) = node {
                self.bytes += frame.encoded_len() as u64 + HEADER_BYTES;
                node.to_router.push(frame);
            }
        }
    }
}

impl Design for Scheduled {
    fn arrive(&mut self, job: &Job, now: u64) {
        let at = self.at(now);
        let ask = Ask {
            ticket: job.id,
            organisation: organisation_id(job.organisation),
            model: "dossier".into(),
            limit: job.limit,
            request: format!("{:032x}", job.id),
            ..Ask::default()
        };
        let (reply, receiver) = oneshot::channel();
        let node = &mut self.routers[job.router];
        node.client.request_slot(ask, reply, at);
        node.replies.push((job.id, receiver));
    }

    fn progress(&mut self, job: &Job, now: u64) {
        let at = self.at(now);
        let progress = Progress {
            ticket: job.id,
            tokens: job.tokens,
        };
        self.routers[job.router]
            .client
            .report_progress(progress, at);
    }

    fn end(&mut self, job: &Job, now: u64) {
        let at = self.at(now);
        let end = End {
            ticket: job.id,
            tokens: job.tokens,
            ..End::default()
        };
        self.routers[job.router].client.release_slot(end, at);
    }

    fn apply_fault(&mut self, fault: Fault, now: u64) {
        match fault {
            Fault::SchedulerLost => {
                self.allocator = None;
                for router in 0..self.routers.len() {
                    self.disconnect(router, now);
                }
            }
            Fault::SchedulerStarted => self.start_scheduler(now),
            Fault::RouterLost(router) => {
                self.disconnect(router, now);
                let incarnation = self.routers[router].incarnation + 1;
                self.routers[router] = RouterNode {
                    is_lost: true,
                    ..RouterNode::new(incarnation)
                };
            }
            Fault::RouterStarted(router) => self.routers[router].is_lost = false,
            Fault::RouterDetached(router) => {
                self.disconnect(router, now);
                self.routers[router].is_detached = true;
            }
            Fault::RouterAttached(router) => self.routers[router].is_detached = false,
        }
    }

    fn step(&mut self, now: u64) -> Vec<(u64, usize)> {
        let at = self.at(now);
        let mut started = Vec::new();
        self.report(now);
        for router in 0..self.routers.len() {
            self.connect(router, now);
            let node = &mut self.routers[router];
            for frame in std::mem::take(&mut node.to_router) {
                node.client.apply_frame(frame, at);
            }
            node.client.grant_locally(&self.configuration, at);
            node.replies
                .retain_mut(|(id, reply)| match reply.try_recv() {
                    Ok(Some(Ok(grant))) => {
                        let engine = grant.backend[1..].parse().expect("a number");
                        started.push((*id, engine));
                        false
                    }
                    Ok(None) => true,
                    _ => false,
                });
            let due = node.client.due(at).is_some_and(|due| due <= at);
            if node.key.is_some() && due {
                let frame = node.client.next_frame(at);
                self.bytes += frame.encoded_len() as u64 + HEADER_BYTES;
                node.to_scheduler.push(frame);
            }
        }
        self.exchange(now);
        started
    }

    fn bytes(&self) -> u64 {
        self.bytes
    }
}

pub fn organisation_id(organisation: usize) -> String {
    format!("organisation-{organisation}")
}
