/// Minutes in an hour.
const MINUTES: u64 = 60;

/// Reads the wall clock, in ms since the start of 1970.
pub type WallClock = fn() -> u64;

/// Counts minutes since the start of 1970.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Minute(pub u64);

impl Minute {
    /// The minute of a time in ms.
    #[must_use]
    pub fn of_ms(ms: u64) -> Self {
        Self(ms / 60_000)
    }

    /// The first minute of the same hour.
    #[must_use]
    pub fn hour(self) -> Self {
        Self(self.0 - self.0 % MINUTES)
    }

    /// The minute that lies so many before this one.
    #[must_use]
    pub fn before(self, minutes: u64) -> Self {
        Self(self.0.saturating_sub(minutes))
    }
}
