const MINUTES_PER_HOUR: u64 = 60;

/// A function that returns the wall clock time, in ms since the Unix epoch.
pub type WallClock = fn() -> u64;

/// A minute, counted from the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Minute(pub u64);

impl Minute {
    /// The minute that contains a time in ms since the Unix epoch.
    #[must_use]
    pub fn from_ms(ms: u64) -> Self {
        Self(ms / 60_000)
    }

    /// The first minute of the hour that contains this minute.
    #[must_use]
    pub fn hour_start(self) -> Self {
        Self(self.0 - self.0 % MINUTES_PER_HOUR)
    }

    /// The minute a number of minutes earlier; not below 0.
    #[must_use]
    pub fn minus(self, minutes: u64) -> Self {
        Self(self.0.saturating_sub(minutes))
    }
}
