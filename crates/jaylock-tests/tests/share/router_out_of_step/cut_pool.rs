//! A scheduler and two routers, which may be cut off or stand still, in virtual time.

use std::time::{Duration, Instant};

use futures_channel::oneshot;
use jaylock_rpc::v1::end::Outcome;
use jaylock_rpc::v1::refusal::Reason;
use jaylock_rpc::v1::{
    Ask, BackendReport, Configuration, End, Grant, Hello, Progress, Refusal, SchedulerFrame,
};
use jaylock_share::{
    Allocator, AskResult, ClientState, RouterKey, SchedulerClientSettings, SchedulerSettings,
};

use crate::fleet::end;
use crate::stream_origins::FIRST_EVENT;

/// Step of the virtual clock.
const STEP: Duration = Duration::from_millis(100);
/// Time between two heartbeats of a backend server.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// A scheduler with its routers and backend servers.
pub struct CutPool {
    scheduler: Allocator,
    epoch: u64,
    routers: Vec<Router>,
    // Each with the router that gets its heartbeats.
    backends: Vec<(usize, BackendReport)>,
    next_heartbeat: Instant,
    now: Instant,
    tickets: u64,
}

struct Router {
    client: ClientState,
    /// Its key at the scheduler; `None` while it is cut off.
    key: Option<RouterKey>,
    is_paused: bool,
    /// Messages that have arrived while it stands still.
    unread: Vec<SchedulerFrame>,
}

/// A request that waits for its reply.
pub struct Waiting {
    reply: oneshot::Receiver<AskResult>,
}

impl Waiting {
    /// The reply, if there is one already.
    pub fn reply(mut self) -> Option<std::result::Result<Grant, Reason>> {
        let reply = self.reply.try_recv().expect("an open channel")?;
        Some(reply.map_err(|refusal| refusal.reason()))
    }
}

impl CutPool {
    pub fn new() -> Self {
        let now = Instant::now();
        let mut pool = Self {
            scheduler: Allocator::new("chat", 1, SchedulerSettings::default(), now),
            epoch: 1,
            routers: Vec::new(),
            backends: Vec::new(),
            next_heartbeat: now,
            now,
            tickets: 0,
        };
        for index in 0..2 {
            pool.routers.push(Router {
                client: ClientState::new(SchedulerClientSettings::default()),
                key: None,
                is_paused: false,
                unread: Vec::new(),
            });
            pool.attach(index);
        }
        pool.wait(Duration::from_secs(4));
        pool
    }

    /// Starts a backend server whose heartbeats reach this router.
    pub fn start(&mut self, via: usize, report: BackendReport) {
        self.routers[via]
            .client
            .report_backend(report.clone(), self.now);
        self.backends.push((via, report));
    }

    /// Starts a backend server again under the name that it had.
    pub fn restart(&mut self, via: usize, report: BackendReport) {
        let position = self.backends.iter().position(|(_, b)| b.id == report.id);
        let (_, earlier) = self.backends.remove(position.expect("an earlier start"));
        let incarnation = earlier.incarnation + 1;
        self.start(
            via,
            BackendReport {
                incarnation,
                ..report
            },
        );
    }

    /// Delivers a heartbeat of an earlier start.
    pub fn deliver_late(&mut self, via: usize, report: BackendReport) {
        self.routers[via].client.report_backend(report, self.now);
        self.exchange();
    }

    /// Cuts a router off from the scheduler; what is on the way is lost.
    pub fn cut(&mut self, router: usize) {
        self.routers[router].unread.clear();
        if let Some(key) = self.routers[router].key.take() {
            self.scheduler.detach(key, self.now);
        }
        if !self.routers[router].is_paused {
            self.routers[router].client.detach(self.now);
        }
    }

    pub fn reconnect(&mut self, router: usize) {
        self.attach(router);
        self.exchange();
    }

    /// Loses what the scheduler has not sent to a router yet, which attaches again at once.
    pub fn lose_frames(&mut self, router: usize) {
        self.send_frames();
        self.scheduler.tick(self.now);
        self.cut(router);
        self.attach(router);
    }

    /// Lets a router stand still.
    pub fn pause(&mut self, router: usize) {
        self.routers[router].is_paused = true;
    }

    /// Lets a router read what arrived while it stood still.
    pub fn resume(&mut self, router: usize) {
        self.routers[router].is_paused = false;
        let unread = std::mem::take(&mut self.routers[router].unread);
        for frame in unread {
            self.deliver(router, frame);
        }
        if self.routers[router].key.is_none() {
            self.routers[router].client.detach(self.now);
        }
        self.exchange();
    }

    /// Replaces the scheduler by one that these routers reach.
    pub fn replace_scheduler(&mut self, routers: &[usize]) {
        self.epoch += 1;
        for router in 0..self.routers.len() {
            if self.routers[router].key.is_some() {
                self.cut(router);
            }
        }
        let settings = SchedulerSettings::default();
        self.scheduler = Allocator::new("chat", self.epoch, settings, self.now);
        for router in routers {
            self.attach(*router);
        }
    }

    pub fn wait(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.exchange();
        }
    }

    /// Lets all backend servers fall silent.
    pub fn stop_heartbeats(&mut self) {
        self.backends.clear();
    }

    /// Asks a router for a run that brings an event; returns the reply, if there is one soon.
    pub fn ask(
        &mut self,
        router: usize,
        request: Ask,
    ) -> Option<std::result::Result<Grant, Reason>> {
        let waiting = self.send(router, request);
        self.exchange();
        let reply = waiting.reply();
        if let Some(Ok(grant)) = &reply {
            self.bring_event(router, grant);
        }
        reply
    }

    /// Lets the run of a grant bring its first event.
    pub fn bring_event(&mut self, router: usize, grant: &Grant) {
        let (ticket, tokens) = (grant.ticket, FIRST_EVENT.0);
        let client = &mut self.routers[router].client;
        client.report_progress(Progress { ticket, tokens }, self.now);
    }

    /// Sends a request without waiting for its reply; a router that stands still has sent it just before.
    pub fn send(&mut self, router: usize, request: Ask) -> Waiting {
        self.tickets += 1;
        let request = Ask {
            ticket: self.tickets,
            ..request
        };
        let (sender, reply) = oneshot::channel();
        let client = &mut self.routers[router].client;
        client.request_slot(request, sender, self.now);
        self.send_frame(router);
        Waiting { reply }
    }

    /// Ends the run of a grant.
    pub fn end(&mut self, router: usize, grant: &Grant, outcome: Outcome) {
        let end = End {
            outcome: outcome.into(),
            ..end(grant.ticket, 20)
        };
        self.routers[router].client.release_slot(end, self.now);
    }

    fn attach(&mut self, router: usize) {
        let hello = Hello {
            router: format!("r{router}"),
            ..Hello::default()
        };
        let member = &mut self.routers[router];
        let mut frame = member.client.first_frame(hello, self.now);
        let hello = frame.hello.take().expect("a hello");
        let key = self.scheduler.attach(&hello, self.now);
        self.scheduler.apply(key, frame, self.now);
        member.key = Some(key);
    }

    /// Moves on by one step of the clock, in which each running router and the scheduler act once.
    fn exchange(&mut self) {
        self.now += STEP;
        self.send_heartbeats();
        self.send_frames();
        self.scheduler.tick(self.now);
        self.scheduler.decide(self.now);
        for (key, frame) in self.scheduler.frames(self.now) {
            let router = self.routers.iter().position(|r| r.key == Some(key));
            let Some(router) = router else { continue };
            if self.routers[router].is_paused {
                self.routers[router].unread.push(frame);
            } else {
                self.deliver(router, frame);
            }
        }
        for router in self.routers.iter_mut().filter(|r| !r.is_paused) {
            router.act_alone(self.now);
        }
    }

    fn send_heartbeats(&mut self) {
        if self.now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = self.now + HEARTBEAT_INTERVAL;
        for (via, report) in &self.backends {
            let client = &mut self.routers[*via].client;
            client.report_backend(report.clone(), self.now);
        }
    }

    fn send_frames(&mut self) {
        for router in 0..self.routers.len() {
            if !self.routers[router].is_paused {
                self.send_frame(router);
            }
        }
    }

    fn send_frame(&mut self, router: usize) {
        let member = &mut self.routers[router];
        let Some(key) = member.key else { return };
        if member.client.due(self.now).is_some() {
            let frame = member.client.next_frame(self.now);
            self.scheduler.apply(key, frame, self.now);
        }
    }

    /// Delivers a message; a router that doesn't take it attaches anew.
    fn deliver(&mut self, router: usize, frame: SchedulerFrame) {
        if !self.routers[router].client.apply_frame(frame, self.now) {
            self.cut(router);
            self.attach(router);
        }
    }
}

impl Router {
    fn act_alone(&mut self, now: Instant) {
        self.client.grant_locally(&Configuration::default(), now);
        let unknown = self.client.take_unknown_streams(now);
        refuse(unknown, Reason::UnknownStream);
        let lost = self.client.take_lost_streams(now);
        refuse(lost, Reason::NoBackend);
    }
}

fn refuse(requests: Vec<(u64, oneshot::Sender<AskResult>)>, reason: Reason) {
    for (ticket, reply) in requests {
        let refusal = Refusal {
            ticket,
            reason: reason.into(),
            retry_after_ms: 1000,
        };
        reply.send(Err(refusal)).expect("an open channel");
    }
}
