use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use crate::signal::Signal;

/// Time between two looks whether the last request has ended.
const DRAIN_STEP: Duration = Duration::from_millis(20);

/// How far a graceful shutdown is, and what it still waits for.
#[derive(Default)]
pub struct Lifecycle {
    /// Set when new requests are refused because the instance stops.
    pub closed: Signal,
    /// Held by each connection that was accepted before.
    open: Rc<()>,
    busy: Rc<()>,
    leaving: Cell<bool>,
}

impl Lifecycle {
    /// Says that a graceful shutdown has begun; requests are served on.
    pub fn begin_shutdown(&self) {
        self.leaving.set(true);
    }

    /// Refuses new requests from now on.
    pub fn refuse_requests(&self) {
        self.begin_shutdown();
        self.closed.set();
    }

    /// Whether a graceful shutdown has begun.
    pub fn is_shutting_down(&self) -> bool {
        self.leaving.get()
    }

    /// A token that keeps the router from being drained while a request holds it.
    pub fn request_token(&self) -> Rc<()> {
        self.busy.clone()
    }

    /// A token that keeps the router from being drained while a connection holds it.
    pub fn connection_token(&self) -> Rc<()> {
        self.open.clone()
    }

    /// Connections that hold a token.
    pub fn connections(&self) -> usize {
        Rc::strong_count(&self.open) - 1
    }

    /// Waits until new requests are refused and every answer was sent.
    pub async fn drained(&self) {
        self.closed.wait().await;
        while Rc::strong_count(&self.busy) > 1 || Rc::strong_count(&self.open) > 1 {
            compio::time::sleep(DRAIN_STEP).await;
        }
    }
}
