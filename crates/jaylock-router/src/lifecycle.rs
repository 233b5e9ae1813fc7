use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::{Either, select};

use crate::latch::Latch;

/// Time between two checks whether the last request has ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What is known of the end of a request that has not been sent yet.
#[derive(Debug, Clone, Copy)]
pub struct RunPlan {
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Time that the request needs once it is sent; unset if it may be repeated, so that its caller can go on elsewhere.
    pub needed: Option<Duration>,
}

/// Progress of a graceful shutdown and the requests and connections that are still open.
#[derive(Default)]
pub struct Lifecycle {
    /// Set when a graceful shutdown begins.
    stopping: Latch,
    /// Set when new requests are refused because the instance stops.
    pub closed: Latch,
    /// Set when the requests still in progress are cancelled because the instance stops.
    pub cancelled: Latch,
    /// When requests in progress will be cancelled; unset before a shutdown.
    drain_end: Cell<Option<Instant>>,
    /// Held by each connection from its first request until it ends.
    connection_token: Rc<()>,
    /// Held by each request in progress.
    request_token: Rc<()>,
}

impl Lifecycle {
    /// Marks the start of a graceful shutdown, in which requests are still served but cancelled at
    /// `drain_end`.
    pub fn begin_shutdown(&self, drain_end: Instant) {
        self.drain_end.set(Some(drain_end));
        self.stopping.set();
    }

    /// Starts to refuse new requests.
    pub fn refuse_requests(&self) {
        self.closed.set();
    }

    /// Cancels the requests in progress; their callers get an error.
    pub fn cancel_requests(&self) {
        self.cancelled.set();
    }

    /// Whether a graceful shutdown has begun.
    pub fn is_shutting_down(&self) -> bool {
        self.drain_end.get().is_some()
    }

    /// Runs a wait of a request that has not been sent to a backend server yet.
    ///
    /// Returns `None` once new requests are refused, and for one that may not be repeated once it could not end any
    /// more before the requests in progress are cancelled; but not if its deadline passes before that.
    pub async fn wait_to_start<T>(
        &self,
        plan: RunPlan,
        waiting: impl Future<Output = T>,
    ) -> Option<T> {
        let refused = async {
            self.stopping.wait().await;
            if !self.ends_too_late(plan.deadline) {
                std::future::pending::<()>().await;
            }
            select(pin!(self.closed.wait()), pin!(self.leaves_too_little(plan))).await;
        };
        match select(pin!(refused), pin!(waiting)).await {
            Either::Left(_) => None,
            Either::Right((outcome, _)) => Some(outcome),
        }
    }

    /// Waits until a request that may not be repeated could not end any more before it is cancelled.
    async fn leaves_too_little(&self, plan: RunPlan) {
        let (Some(drain_end), Some(needed)) = (self.drain_end.get(), plan.needed) else {
            return std::future::pending().await;
        };
        let left = drain_end.saturating_duration_since(Instant::now());
        compio::time::sleep(left.saturating_sub(needed)).await;
    }

    /// Whether a request with this deadline may still run when the requests in progress are cancelled.
    fn ends_too_late(&self, deadline: Instant) -> bool {
        self.drain_end.get().is_some_and(|end| deadline > end)
    }

    /// Returns a token that delays [`Lifecycle::drained`] while a request holds it.
    pub fn request_token(&self) -> Rc<()> {
        self.request_token.clone()
    }

    /// Returns a token that delays [`Lifecycle::drained`] while a connection holds it.
    pub fn connection_token(&self) -> Rc<()> {
        self.connection_token.clone()
    }

    /// Number of connections on which a request has arrived.
    pub fn used_connections(&self) -> usize {
        Rc::strong_count(&self.connection_token) - 1
    }

    /// Waits until new requests are refused and every response was sent.
    pub async fn drained(&self) {
        self.closed.wait().await;
        while Rc::strong_count(&self.request_token) > 1 || self.used_connections() > 0 {
            compio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
}
