use std::time::{Duration, Instant};

use futures_channel::oneshot;
use jaylock_rpc::v1::{Ask, Grant, Refusal};
use jaylock_types::millis;

use crate::encoding::encode_request_id;
use crate::placement::selection;

/// Result of a request for a slot.
pub type AskResult = Result<Grant, Refusal>;

/// A request that waits for a slot.
#[derive(Debug)]
pub struct PendingRequest {
    pub ask: Ask,
    pub reply: oneshot::Sender<AskResult>,
    pub queued_at: Instant,
}

impl PendingRequest {
    /// The ticket and where the result is sent.
    pub fn into_reply(self) -> (u64, oneshot::Sender<AskResult>) {
        (self.ask.ticket, self.reply)
    }

    /// Time that it has waited by now, here and before.
    pub fn waited(&self, now: Instant) -> Duration {
        let before = Duration::from_millis(self.ask.waited_ms.into());
        before + now.saturating_duration_since(self.queued_at)
    }

    /// The request with the time that it has waited by now.
    pub fn updated_ask(&self, now: Instant) -> Ask {
        let mut ask = self.ask.clone();
        ask.waited_ms = millis(self.waited(now));
        encode_request_id(&mut ask);
        ask
    }

    /// Whether it takes up a stream of which this router doesn't know the version.
    pub fn has_unknown_origin(&self) -> bool {
        self.ask.begun_stream.is_some() && self.ask.software.is_none()
    }

    /// Whether it must not run on a backend server.
    pub fn avoids(&self, backend: &str) -> bool {
        selection::is_avoided(&self.ask, backend)
    }
}
