//! Refusals by a router that has no scheduler.
//!
//! The load: the scheduler is lost for some seconds while the callers of an organisation meet at one router, whose own
//! slots serve a part of them. The others would wait until the next scheduler refuses them, as it counts the time that they
//! have waited, and keep their connections, so that the router reaches its maximum and refuses everybody.

use std::time::{Duration, Instant};

use futures_channel::oneshot;
use jaylock_types::millis;

use crate::admission::queue::continues_stream;
use crate::admission::refusals::max_objective_wait;
use crate::client::pending_request::{AskResult, PendingRequest};
use crate::client::state::ClientState;

/// Time over which the callers of refused requests return, so that they don't meet again.
const RETURN_SPREAD: Duration = Duration::from_secs(1);

impl ClientState {
    /// Takes the requests that have waited too long for their objectives while this router decides alone.
    pub fn take_overdue(&mut self, now: Instant) -> Vec<(u64, oneshot::Sender<AskResult>)> {
        if !self.decides_alone(now) {
            return Vec::new();
        }
        let percent = self.settings.objective_wait_percent;
        let is_overdue = |pending: &mut PendingRequest| {
            let max_wait = max_objective_wait(&pending.ask, percent);
            let is_late = max_wait.is_some_and(|max_wait| pending.waited(now) > max_wait);
            is_late && !continues_stream(&pending.ask)
        };
        let overdue = self.pending.extract_if(.., is_overdue);
        overdue.map(PendingRequest::into_reply).collect()
    }

    /// Time after which a refused caller should return: when the next scheduler is expected, and later by up to `RETURN_SPREAD`.
    ///
    /// `position` is between 0 and 1.
    #[must_use]
    pub fn return_delay_ms(&self, position: f64, now: Instant) -> u32 {
        let takeover = self.settings.takeover_time;
        let expected = self.detached_at.map(|at| at + takeover);
        let left = expected.map_or(takeover, |at| at.saturating_duration_since(now));
        millis(left + RETURN_SPREAD.mul_f64(position.clamp(0.0, 1.0)))
    }
}
