use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

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
        Instant::now()
    }
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
