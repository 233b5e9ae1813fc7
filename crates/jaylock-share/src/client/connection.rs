use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use futures_channel::{mpsc, oneshot};
use futures_util::future::{Either, select};
use futures_util::{SinkExt, StreamExt};
use jaylock_rpc::v1::end::Outcome;
use jaylock_rpc::v1::pool_client::PoolClient;
use jaylock_rpc::v1::refusal::Reason;
use jaylock_rpc::v1::{
    Ask, BackendReport, BackendVerdict, End, Grant, Hello, PoolLease, Progress, Refusal,
    RouterFrame, SchedulerFrame,
};
use jaylock_rpc::with_timeout;
use jaylock_types::{HedgePlan, Index, Notice, boottime_now};
use tonic::{Status, Streaming};

use crate::client::pending_request::AskResult;
use crate::client::scheduler_client::RouterContext;
use crate::client::state::ClientState;

/// Capacity of the channel to the stream; a full one pauses the writer.
const FRAME_QUEUE_CAPACITY: usize = 8;
/// Retry delay, in ms, for a request that is refused because no scheduler responds.
const NO_SCHEDULER_RETRY_MS: u32 = 1000;

/// A router's stream to the scheduler of one pool, which is reopened whenever it is lost.
pub struct SchedulerConnection {
    pool: CompactString,
    context: Rc<RouterContext>,
    state: RefCell<ClientState>,
    wake: RefCell<mpsc::Sender<()>>,
    // Those who wait for a verdict on a backend server.
    verdict_waiters: RefCell<Vec<(CompactString, oneshot::Sender<()>)>>,
}

impl SchedulerConnection {
    /// Starts the task that maintains the stream.
    pub fn open(pool: &str, context: Rc<RouterContext>) -> Rc<Self> {
        let (wake, wakeups) = mpsc::channel(1);
        let state = RefCell::new(ClientState::new(context.settings.clone()));
        let connection = Self {
            pool: pool.into(),
            context,
            state,
            wake: RefCell::new(wake),
            verdict_waiters: RefCell::default(),
        };
        let connection = Rc::new(connection);
        compio::runtime::spawn(connection.clone().run(wakeups)).detach();
        connection
    }

    pub fn pool(&self) -> &str {
        &self.pool
    }

    pub fn request_slot(&self, ask: Ask, reply: oneshot::Sender<AskResult>) {
        self.state
            .borrow_mut()
            .request_slot(ask, reply, boottime_now());
        self.grant_locally();
        self.notify();
    }

    pub fn cancel(&self, ticket: u64) {
        self.state.borrow_mut().cancel(ticket);
        self.notify();
    }

    pub fn report_progress(&self, progress: Progress) {
        self.state
            .borrow_mut()
            .report_progress(progress, boottime_now());
        self.notify();
    }

    pub fn release_slot(&self, end: End) {
        self.state.borrow_mut().release_slot(end, boottime_now());
        self.grant_locally();
        self.notify();
    }

    pub fn report_crash(&self, ticket: u64) {
        self.state.borrow_mut().report_crash(ticket, boottime_now());
        self.notify();
    }

    pub fn report_notice(&self, backend: &str, incarnation: u64, notice: &Notice) {
        if *notice == Notice::default() && self.state.borrow().limits.is_empty() {
            return;
        }
        let configuration = self.context.view.current();
        let instances = configuration.instances.iter();
        let routers = instances.filter(|i| !i.caller_address.is_empty() && !i.leaving);
        #[allow(clippy::cast_precision_loss)]
        let share = 1.0 / routers.count().max(1) as f64;
        self.state
            .borrow_mut()
            .report_notice(backend, incarnation, notice, share, boottime_now());
        self.notify();
    }

    pub fn report_response(&self, route: &str, hedge_percent: u32, time: Duration) {
        let now = boottime_now();
        let mut state = self.state.borrow_mut();
        state.report_response(route, hedge_percent, time, now);
        self.notify();
    }

    pub fn hedge_plan(&self, route: &str) -> Option<HedgePlan> {
        self.state.borrow().hedge_plan(route, boottime_now())
    }

    /// Whether nothing may be sent under a grant any more.
    pub fn is_excluded(&self, grant: &Grant) -> bool {
        let mut state = self.state.borrow_mut();
        state.configure(&self.context.view.current());
        state.is_excluded(grant, boottime_now())
    }

    pub fn report_backend(&self, report: BackendReport) {
        let now = boottime_now();
        let mut state = self.state.borrow_mut();
        let due_before = state.due(now);
        state.report_backend(report, now);
        if state.due(now) != due_before {
            self.notify();
        }
    }

    /// Waits for the scheduler's next verdict on a backend server.
    pub fn next_verdict(&self, backend: &str) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let mut waiters = self.verdict_waiters.borrow_mut();
        waiters.retain(|(_, waiter)| !waiter.is_canceled());
        waiters.push((backend.into(), sender));
        receiver
    }

    pub fn backend_verdict(&self, backend: &str) -> Option<BackendVerdict> {
        self.state.borrow().backend_verdict(backend)
    }

    /// Lease and address of the pool's scheduler, if the configuration names one.
    pub fn scheduler(&self) -> Option<(PoolLease, SocketAddr)> {
        let configuration = self.context.view.current();
        let lease = configuration
            .pools
            .iter()
            .find(|lease| lease.pool == self.pool)?;
        let is_host = |i: &&jaylock_rpc::v1::Instance| {
            i.id == lease.instance && i.incarnation == lease.incarnation
        };
        let host = configuration.instances.iter().find(is_host)?;
        Some((lease.clone(), host.peer_address.parse().ok()?))
    }

    async fn run(self: Rc<Self>, mut wakeups: mpsc::Receiver<()>) {
        compio::runtime::spawn(self.clone().run_fallback()).detach();
        loop {
            if let Some((lease, address)) = self.scheduler() {
                let outcome = self.serve(&lease, address, &mut wakeups).await;
                self.state.borrow_mut().detach(boottime_now());
                if let Err(status) = outcome {
                    let reason = status.message();
                    log::info!(target: "share", "no stream to the scheduler of pool {}: {reason}", self.pool);
                }
            }
            let index = self.context.view.index();
            let changed = self.context.view.wait_newer_than(index);
            let _ = compio::time::timeout(self.context.settings.reconnect_delay, changed).await;
        }
    }

    /// While no scheduler responds, grants the router's own slots and refuses expired requests.
    ///
    /// This is a task of its own, so that it also runs during an attempt to attach.
    async fn run_fallback(self: Rc<Self>) {
        loop {
            compio::time::sleep(self.context.settings.reconnect_delay).await;
            self.grant_locally();
            self.refuse_expired();
        }
    }

    /// Attaches to the scheduler and serves the stream until it fails or another scheduler is configured.
    async fn serve(
        &self,
        lease: &PoolLease,
        address: SocketAddr,
        wakeups: &mut mpsc::Receiver<()>,
    ) -> Result<(), Status> {
        let mut client = PoolClient::new(self.context.channel(address));
        let (mut frames, body) = mpsc::channel(FRAME_QUEUE_CAPACITY);
        let timeout = self.context.settings.attach_timeout;
        let inbound = with_timeout(timeout, client.attach(body))
            .await?
            .into_inner();
        // From here on the scheduler decides; up to this point the router may have granted slots locally.
        frames
            .try_send(self.first_frame())
            .map_err(|_| Status::internal("a new channel is full"))?;
        let streams = select(
            Box::pin(self.read_frames(inbound)),
            Box::pin(self.write_frames(frames, wakeups)),
        );
        match select(streams, Box::pin(self.wait_until_unusable(lease))).await {
            Either::Left((Either::Left((outcome, _)), _)) => outcome,
            Either::Left((Either::Right(((), _)), _)) => Err(Status::unavailable("stream closed")),
            Either::Right((reason, _)) => Err(Status::unavailable(reason)),
        }
    }

    fn first_frame(&self) -> RouterFrame {
        let mut state = self.state.borrow_mut();
        let hello = Hello {
            pool: self.pool.as_str().into(),
            router: self.context.instance.as_str().into(),
            incarnation: self.context.incarnation.0,
            domain: self.context.domain.as_str().into(),
            ..Hello::default()
        };
        state.first_frame(hello, boottime_now())
    }

    async fn read_frames(&self, mut inbound: Streaming<SchedulerFrame>) -> Result<(), Status> {
        while let Some(frame) = inbound.message().await? {
            if !self.apply_frame(frame) {
                return Err(Status::aborted(
                    "the scheduler has an older epoch than one seen before, or this router stood still",
                ));
            }
            self.notify();
        }
        Err(Status::unavailable("the scheduler closed the stream"))
    }

    /// Applies a message under the active configuration; returns false if it is outdated.
    fn apply_frame(&self, frame: SchedulerFrame) -> bool {
        let judged = frame
            .verdicts
            .iter()
            .map(|v| CompactString::from(&v.backend));
        let judged: Vec<CompactString> = judged.collect();
        let mut state = self.state.borrow_mut();
        state.configure(&self.context.view.current());
        let is_valid = state.apply_frame(frame, boottime_now());
        let mut waiters = self.verdict_waiters.borrow_mut();
        for (_, waiter) in waiters.extract_if(.., |(backend, _)| judged.contains(backend)) {
            let _ = waiter.send(());
        }
        is_valid
    }

    async fn write_frames(
        &self,
        mut frames: mpsc::Sender<RouterFrame>,
        wakeups: &mut mpsc::Receiver<()>,
    ) {
        loop {
            let now = boottime_now();
            let due = self.state.borrow().due(now);
            match due {
                Some(due) if due <= now => {
                    let frame = self.state.borrow_mut().next_frame(now);
                    if frames.send(frame).await.is_err() {
                        return;
                    }
                }
                Some(due) => {
                    let _ = compio::time::timeout(due - now, wakeups.next()).await;
                }
                None => {
                    wakeups.next().await;
                }
            }
        }
    }

    /// Waits until another scheduler is configured or this one sends nothing for too long.
    async fn wait_until_unusable(&self, lease: &PoolLease) -> &'static str {
        loop {
            let index: Index = self.context.view.index();
            if self
                .scheduler()
                .is_none_or(|(current, _)| current != *lease)
            {
                return "the configuration names another scheduler";
            }
            if self
                .state
                .borrow()
                .is_scheduler_unresponsive(boottime_now())
            {
                return "the scheduler sends no messages although requests wait";
            }
            if self.state.borrow().is_stream_outdated() {
                return "this router stood still, and what was sent meanwhile may be outdated";
            }
            let changed = self.context.view.wait_newer_than(index);
            let _ = compio::time::timeout(self.context.settings.reconnect_delay, changed).await;
        }
    }

    /// Grants the router's own slots, and refuses what needs a scheduler, while there is none.
    fn grant_locally(&self) {
        let configuration = self.context.view.current();
        let now = boottime_now();
        let (evacuated, unknown, lost, overdue) = {
            let mut state = self.state.borrow_mut();
            state.grant_locally(&configuration, now);
            (
                state.take_evacuated(),
                state.take_unknown_streams(now),
                state.take_lost_streams(now),
                state.take_overdue(now),
            )
        };
        refuse(evacuated, Reason::NoBackend);
        refuse(unknown, Reason::UnknownStream);
        refuse(lost, Reason::NoBackend);
        for (ticket, reply) in overdue {
            let retry_after_ms = self.state.borrow().return_delay_ms(rand::random(), now);
            send_refusal(ticket, reply, Reason::Overloaded, retry_after_ms);
        }
    }

    fn refuse_expired(&self) {
        let max_wait = self.context.settings.max_scheduler_wait;
        let now = boottime_now();
        let expired = self.state.borrow_mut().take_expired(now, max_wait);
        refuse(expired, Reason::NoBackend);
    }

    fn notify(&self) {
        // A full channel means that a wakeup is already pending.
        let _ = self.wake.borrow_mut().try_send(());
    }
}

/// Refuses requests for lack of a scheduler.
fn refuse(requests: Vec<(u64, oneshot::Sender<AskResult>)>, reason: Reason) {
    for (ticket, reply) in requests {
        send_refusal(ticket, reply, reason, NO_SCHEDULER_RETRY_MS);
    }
}

fn send_refusal(
    ticket: u64,
    reply: oneshot::Sender<AskResult>,
    reason: Reason,
    retry_after_ms: u32,
) {
    let refusal = Refusal {
        ticket,
        reason: reason.into(),
        retry_after_ms,
    };
    let _ = reply.send(Err(refusal));
}

/// Returns the end of a run that never began.
pub fn not_run(grant: &Grant) -> End {
    End {
        ticket: grant.ticket,
        outcome: Outcome::NotRun.into(),
        ..End::default()
    }
}
