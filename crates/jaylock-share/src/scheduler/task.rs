use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::{mpsc, oneshot};
use futures_util::StreamExt;
use jaylock_control::ConfigView;
use jaylock_rpc::v1::{
    Hello, Placement, PlacementRequest, PoolReport, RouterFrame, SchedulerFrame,
};
use jaylock_types::{Index, InstanceId, boottime_now};
use tonic::Status;

use crate::SchedulerSettings;
use crate::crashes::cause_log::CauseLog;
use crate::scheduler::allocator::Allocator;
use crate::scheduler::router::RouterKey;

/// Time between checks of leases and of the configuration.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Events that are handled, beside the first one, before the next decision.
const MAX_READY_EVENTS: usize = 1024;

/// Channel for the messages to one router.
pub type FrameSender = mpsc::Sender<Result<SchedulerFrame, Status>>;

/// An event for the scheduler of a pool.
pub enum Event {
    /// A router opened a stream.
    Attach {
        session: u64,
        hello: Hello,
        frames: FrameSender,
    },
    /// A router sent a message.
    Frame {
        session: u64,
        frame: Box<RouterFrame>,
    },
    /// A router's stream ended.
    Detach { session: u64 },
    /// A report on the pool was requested.
    Describe(oneshot::Sender<PoolReport>),
    /// It was asked what would happen to a request.
    Preview(Preview),
}

/// A question what would happen to a request, and where the reply goes.
pub struct Preview {
    pub request: PlacementRequest,
    pub reply: oneshot::Sender<Placement>,
}

/// What the schedulers of an instance share.
#[derive(Clone)]
pub struct SchedulerContext {
    pub instance: InstanceId,
    pub view: ConfigView,
    /// Whether the instance's lease is valid now.
    pub has_lease: Rc<dyn Fn() -> bool>,
    /// Records causes of crashes for all instances; unset if only the scheduler itself regards them.
    pub cause_log: Option<Rc<dyn CauseLog>>,
    pub settings: SchedulerSettings,
}

/// The scheduler of one pool, which runs as a task of its own.
pub struct Scheduler {
    context: SchedulerContext,
    allocator: Allocator,
    events: mpsc::Receiver<Event>,
    sessions: Vec<Session>,
    // Previews that the next decision precedes, so that they count no slot that a waiting request is about to get.
    previews: Vec<Preview>,
    configuration_index: Index,
}

struct Session {
    id: u64,
    router: RouterKey,
    frames: FrameSender,
}

impl Scheduler {
    pub fn new(
        pool: &str,
        epoch: u64,
        context: SchedulerContext,
        events: mpsc::Receiver<Event>,
    ) -> Self {
        let settings = context.settings.clone();
        Self {
            allocator: Allocator::new(pool, epoch, settings, boottime_now()),
            context,
            events,
            sessions: Vec::new(),
            previews: Vec::new(),
            configuration_index: Index(0),
        }
    }

    /// Serves the pool until the host closes the event channel.
    pub async fn run(mut self) {
        let mut next_tick = boottime_now();
        loop {
            let time = next_tick.saturating_duration_since(boottime_now());
            match compio::time::timeout(time, self.events.next()).await {
                Ok(Some(event)) => self.handle_ready_events(event),
                Ok(None) => return,
                Err(_) => {}
            }
            let now = boottime_now();
            if now >= next_tick {
                self.tick(now);
                next_tick = now + TICK_INTERVAL;
            }
            self.decide(now);
            // A decision follows the first event at once; events that arrive during this pause share the next one.
            compio::time::sleep(self.allocator.batch_window()).await;
        }
    }

    fn handle_ready_events(&mut self, first: Event) {
        self.handle_event(first);
        for _ in 0..MAX_READY_EVENTS {
            let Ok(event) = self.events.try_recv() else {
                return;
            };
            self.handle_event(event);
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = boottime_now();
        match event {
            Event::Attach {
                session,
                hello,
                frames,
            } => self.attach(session, &hello, frames, now),
            Event::Frame { session, frame } => {
                let session = self.sessions.iter().find(|s| s.id == session);
                if let Some(router) = session.map(|s| s.router) {
                    self.allocator.apply(router, *frame, now);
                }
            }
            Event::Detach { session } => self.close_session(session, now),
            Event::Describe(reply) => {
                let _ = reply.send(self.allocator.describe(self.context.instance.as_str(), now));
            }
            Event::Preview(preview) => self.previews.push(preview),
        }
    }

    fn attach(&mut self, session: u64, hello: &Hello, mut frames: FrameSender, now: Instant) {
        if self.allocator.is_outdated(hello) {
            let text = "a newer start of this router has attached: end this process";
            let _ = frames.try_send(Err(Status::failed_precondition(text)));
            return;
        }
        let router = self.allocator.attach(hello, now);
        // Dropping the sender closes an older stream of the same router.
        self.sessions.retain(|s| s.router != router);
        self.sessions.push(Session {
            id: session,
            router,
            frames,
        });
    }

    fn close_session(&mut self, session: u64, now: Instant) {
        let index = self.sessions.iter().position(|s| s.id == session);
        if let Some(index) = index {
            let session = self.sessions.swap_remove(index);
            self.allocator.detach(session.router, now);
        }
    }

    fn tick(&mut self, now: Instant) {
        let index = self.context.view.index();
        if index > self.configuration_index {
            self.allocator.configure(&self.context.view.current(), now);
            self.configuration_index = index;
        }
        self.allocator.tick(now);
        self.record_causes(now);
    }

    /// Records causes of crashes in the replicated log, so that all instances and later schedulers know them.
    fn record_causes(&mut self, now: Instant) {
        let Some(log) = &self.context.cause_log else {
            return;
        };
        for cause in self.allocator.unrecorded_causes(now) {
            compio::runtime::spawn(log.put(cause)).detach();
        }
    }

    fn decide(&mut self, now: Instant) {
        if !(self.context.has_lease)() {
            // Another instance may decide now, so that nothing can be said about a request.
            self.previews.clear();
            // Closing their streams makes the routers connect to the scheduler that replaces this one.
            for session in std::mem::take(&mut self.sessions) {
                self.allocator.detach(session.router, now);
            }
            return;
        }
        self.allocator.decide(now);
        self.answer_previews(now);
        let mut slow = Vec::new();
        for (router, frame) in self.allocator.frames(now) {
            let session = self.sessions.iter_mut().find(|s| s.router == router);
            let Some(session) = session else { continue };
            if session.frames.try_send(Ok(frame)).is_err() {
                slow.push(session.id);
            }
        }
        for session in slow {
            self.close_session(session, now);
        }
    }

    fn answer_previews(&mut self, now: Instant) {
        let instance = self.context.instance.as_str();
        for Preview { request, reply } in self.previews.drain(..) {
            let _ = reply.send(self.allocator.preview(&request, instance, now));
        }
    }
}
