use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// Port through which components read the time, so that tests can control it.
pub trait Clock {
    /// Current monotonic time.
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

/// Current time of a monotonic clock that also runs while the machine is suspended.
///
/// Leases and ages need this clock: [`Instant::now`] stops during a suspension, so that a process would
/// treat an expired lease as valid afterwards. Both agree until the first suspension.
#[must_use]
pub fn boottime_now() -> Instant {
    static ORIGIN: OnceLock<(Instant, Duration)> = OnceLock::new();
    let (start, since_boot) = *ORIGIN.get_or_init(|| (Instant::now(), boot_time()));
    start + boot_time().saturating_sub(since_boot)
}

/// Time since the machine booted, including suspensions.
fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    Duration::from_secs(seconds) + Duration::from_nanos(time.tv_nsec.unsigned_abs())
}

/// Unix time in milliseconds, by the wall clock.
///
/// Suits records that people read and ages of hours; leases use [`Clock`].
#[must_use]
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO);
    long_millis(elapsed)
}

/// Whole milliseconds of a duration, for a 32-bit field; a longer duration saturates it.
#[must_use]
pub fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// Whole milliseconds of a duration, for a 64-bit field; a longer duration saturates it.
#[must_use]
pub fn long_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
