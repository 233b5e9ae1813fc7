use std::time::{Duration, Instant};

use jaylock_router::Router;
use jaylock_types::long_millis;

/// Longest time planned for control's confirmation that this instance is leaving, or gone.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(5);
/// Time in which other instances apply a change and drop this one from the address lists they return.
pub const PROPAGATION_TIME: Duration = Duration::from_secs(1);

/// Parts into which the shutdown time is divided; of 8 s, admission gets 2.5 s and draining ends after 7.5 s.
const PARTS: u32 = 64;
/// Parts after which new requests are refused at the latest.
///
/// Most of the time must remain for the requests that were admitted last.
const ADMISSION_PARTS: u32 = 20;
/// Parts after which running requests are cancelled.
const DRAIN_PARTS: u32 = 60;
/// Parts after which the callers of cancelled requests have had time to read their errors.
const CANCEL_PARTS: u32 = 61;
/// Parts after which the process ends.
const END_PARTS: u32 = 63;
/// Divisor of the time left that the deregistration may take.
const DEREGISTRATION_DIVISOR: u32 = 2;

/// Points in time of a graceful shutdown, all counted from its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// When the shutdown was requested.
    pub started: Instant,
    /// When new requests are refused at the latest.
    pub refuse_at: Instant,
    /// When requests that are still running are cancelled.
    pub drain_end: Instant,
    /// When the callers of cancelled requests have had time to read their errors.
    pub cancel_end: Instant,
    /// When the process ends at the latest.
    pub end: Instant,
}

impl ShutdownSchedule {
    /// Divides the shutdown time `stop` for callers that cache the address list for `keep`.
    #[must_use]
    pub fn new(started: Instant, stop: Duration, keep: Duration) -> Self {
        let withdrawal = CONFIRMATION_TIMEOUT + PROPAGATION_TIME + keep;
        let after = |parts| started + stop * parts / PARTS;
        Self {
            started,
            refuse_at: after(ADMISSION_PARTS).min(started + withdrawal),
            drain_end: after(DRAIN_PARTS),
            cancel_end: after(CANCEL_PARTS),
            end: after(END_PARTS),
        }
    }

    /// Longest wait for control to confirm the deregistration.
    #[must_use]
    pub fn deregistration_timeout(&self) -> Duration {
        let remaining = self.end.saturating_duration_since(Instant::now());
        CONFIRMATION_TIMEOUT.min(remaining / DEREGISTRATION_DIVISOR)
    }

    /// Logs a phase with the time since the start and the connections in use.
    pub fn log_phase(&self, phase: &str, router: &Router) {
        let after_ms = long_millis(self.started.elapsed());
        let connections = router.used_connections();
        log::info!(target: "daemon", after_ms, connections; "{phase}");
    }
}
