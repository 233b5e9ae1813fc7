use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use futures_channel::oneshot;
use jaylock_rpc::v1::end::Outcome;
use jaylock_types::{OrganisationId, RequestId};

use crate::connection::{self, Probe};
use crate::error::AttemptError;
use crate::slot::Slot;

/// Time for which a connection is tried, after one was lost, to see whether the backend server crashed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// A failed attempt that may have run.
pub struct BrokenAttempt {
    /// Why it failed.
    pub error: AttemptError,
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Slot of the attempt.
    pub slot: Slot,
    /// Number of the attempt.
    pub number: u32,
    /// Identifier of the request.
    pub request: RequestId,
    /// Organisation of the caller.
    pub organisation: OrganisationId,
    /// Whether a part of a response arrived.
    pub has_run: bool,
    /// Hashes of the parts of the prompt.
    pub parts: CompactString,
}

impl BrokenAttempt {
    /// Finds out whether the backend server crashed, logs the attempt and releases its slot.
    pub async fn settle(self) {
        let has_crashed = has_crashed(&self.error, self.address).await;
        self.log(has_crashed);
        self.slot.release(if has_crashed {
            Outcome::Crashed
        } else {
            Outcome::Broken
        });
    }

    /// Settles the attempt even if its caller leaves meanwhile, who would otherwise undo the crash.
    pub async fn settle_to_the_end(self) {
        let (sender, settled) = oneshot::channel();
        compio::runtime::spawn(async move {
            self.settle().await;
            let _ = sender.send(());
        })
        .detach();
        let _ = settled.await;
    }

    /// Logs what the attempt has in common with others that ended at the same backend server.
    fn log(&self, has_crashed: bool) {
        let error = &self.error;
        log::info!(
            target: "router",
            request = self.request.as_str(), organisation = self.organisation.as_str(),
            backend = self.slot.backend(), attempt = self.number, ran = self.has_run,
            crashed = has_crashed, parts = self.parts.as_str();
            "an attempt broke off: {error}"
        );
    }
}

/// Whether the backend server of an attempt crashed: the connection is lost, and none can be opened.
async fn has_crashed(error: &AttemptError, address: SocketAddr) -> bool {
    matches!(error, AttemptError::Lost(_))
        && connection::probe(address, PROBE_TIMEOUT).await == Probe::Refused
}
