use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// Port through which parts read the time, so that tests can place it.
pub trait Clock {
    /// Time that never goes back.
    fn now(&self) -> Instant;
}

/// The clock of the operating system.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        boottime_now()
    }
}

/// The present moment by a clock that goes on while the machine is suspended.
///
/// Leases and ages are judged by it: [`Instant::now`] stands still then, and a process that wakes
/// would take a lease for valid that has ended. Both agree until the first suspension.
#[must_use]
pub fn boottime_now() -> Instant {
    static ORIGIN: OnceLock<(Instant, Duration)> = OnceLock::new();
    let (start, since_boot) = *ORIGIN.get_or_init(|| (Instant::now(), boot_time()));
    start + boot_time().saturating_sub(since_boot)
}

/// Time since the machine was started, suspensions included.
fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    Duration::from_secs(seconds) + Duration::from_nanos(time.tv_nsec.unsigned_abs())
}

/// Milliseconds since the start of 1970, by the wall clock.
///
/// For records that people read and for ages of hours; leases use [`Clock`].
#[must_use]
pub fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO);
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
