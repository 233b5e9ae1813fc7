use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use crate::latch::Latch;

/// Time between two checks whether the last request has ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Progress of a graceful shutdown and the requests and connections that are still open.
#[derive(Default)]
pub struct Lifecycle {
    /// Set when new requests are refused because the instance stops.
    pub closed: Latch,
    /// Held by each open connection.
    connection_token: Rc<()>,
    /// Held by each request in progress.
    request_token: Rc<()>,
    is_shutting_down: Cell<bool>,
}

impl Lifecycle {
    /// Marks the start of a graceful shutdown, while requests are still served.
    pub fn begin_shutdown(&self) {
        self.is_shutting_down.set(true);
    }

    /// Starts to refuse new requests.
    pub fn refuse_requests(&self) {
        self.begin_shutdown();
        self.closed.set();
    }

    /// Whether a graceful shutdown has begun.
    pub fn is_shutting_down(&self) -> bool {
        self.is_shutting_down.get()
    }

    /// Returns a token that delays [`Lifecycle::drained`] while a request holds it.
    pub fn request_token(&self) -> Rc<()> {
        self.request_token.clone()
    }

    /// Returns a token that delays [`Lifecycle::drained`] while a connection holds it.
    pub fn connection_token(&self) -> Rc<()> {
        self.connection_token.clone()
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        Rc::strong_count(&self.connection_token) - 1
    }

    /// Waits until new requests are refused and every response was sent.
    pub async fn drained(&self) {
        self.closed.wait().await;
        while Rc::strong_count(&self.request_token) > 1
            || Rc::strong_count(&self.connection_token) > 1
        {
            compio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
}
