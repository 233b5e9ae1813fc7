use std::time::{Duration, Instant};

use jaylock_router::Router;

/// Longest wait for control to confirm that this instance is leaving or gone.
pub const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(5);
/// Time in which other instances apply a change and drop this one from the address lists they return.
pub const PROPAGATION_TIME: Duration = Duration::from_secs(1);

/// Sixteenths of the shutdown time after which new requests are refused at the latest.
///
/// Most of the time must remain for the requests that were admitted last.
const ADMISSION_SIXTEENTHS: u32 = 5;
/// Sixteenths of the shutdown time after which running requests are cancelled.
const DRAIN_SIXTEENTHS: u32 = 15;

/// Points in time of a graceful shutdown, all counted from its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// When the shutdown was requested.
    pub started: Instant,
    /// When new requests are refused at the latest.
    pub refuse_at: Instant,
    /// When requests that are still running are cancelled.
    pub drain_end: Instant,
}

impl ShutdownSchedule {
    /// Divides the shutdown time `stop` for callers that cache the address list for `keep`.
    #[must_use]
    pub fn new(started: Instant, stop: Duration, keep: Duration) -> Self {
        let withdrawal = CONFIRMATION_TIMEOUT + PROPAGATION_TIME + keep;
        let admission = stop * ADMISSION_SIXTEENTHS / 16;
        Self {
            started,
            refuse_at: started + withdrawal.min(admission),
            drain_end: started + stop * DRAIN_SIXTEENTHS / 16,
        }
    }

    /// Logs a phase with the time since the start and the callers' connections in use.
    pub fn log_phase(&self, phase: &str, router: &Router) {
        let after_ms = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        let connections = router.connections();
        log::info!(target: "daemon", after_ms, connections; "{phase}");
    }
}
