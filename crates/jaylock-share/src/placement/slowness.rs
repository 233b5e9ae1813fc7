/// Slowest and fastest pace that a backend server may have, relative to the pool's.
pub const PACE_LIMITS: [f64; 2] = [0.25, 4.0];
/// Paces that count as the pool's, as a choice between equal engines by noise would only scatter cached parts. In played
/// loads with delays of 20 to 90 ms the estimates of equal engines left this band in a hundredth of the cases, for
/// which the standard errors in `placement/pace.rs` account.
const USUAL_PACES: [f64; 2] = [0.8, 1.25];

/// Time that a backend server takes for work, in thousandths of the pool's mean time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Slowness(u32);

impl Slowness {
    /// That of a backend server with the pool's pace.
    pub const USUAL: Self = Self(1000);

    /// Work at the pool's pace that takes as long as this work at this pace.
    pub fn scale(self, work: u64) -> u64 {
        if self == Self::USUAL {
            return work;
        }
        work.saturating_mul(u64::from(self.0)) / u64::from(Self::USUAL.0)
    }

    /// Work that is done at this pace in the time of this work at the pool's pace.
    pub fn unscale(self, work: u64) -> u64 {
        if self == Self::USUAL {
            return work;
        }
        work.saturating_mul(u64::from(Self::USUAL.0)) / u64::from(self.0.max(1))
    }

    /// The time in percent of the pool's.
    pub fn percent(self) -> u32 {
        self.0 * 100 / Self::USUAL.0
    }

    /// The time for work that takes longer by both factors.
    pub fn times(self, other: Self) -> Self {
        if other == Self::USUAL {
            return self;
        }
        Self(self.0 * other.0 / Self::USUAL.0)
    }

    /// The pace in percent of the pool's.
    pub fn pace_percent(self) -> u32 {
        100 * Self::USUAL.0 / self.0.max(1)
    }

    /// The mean of this time, with a weight from 0 to 1, and the usual one.
    pub fn weighted(self, weight: f64) -> Self {
        Self::from_factor(1.0 + (self.factor() - 1.0) * weight)
    }

    /// The time for work as a factor.
    pub fn factor(self) -> f64 {
        f64::from(self.0.max(1)) / f64::from(Self::USUAL.0)
    }

    /// Limits a pace and takes one that is nearly the pool's for the pool's.
    pub fn from_pace(pace: f64) -> Self {
        let [slowest, fastest] = PACE_LIMITS;
        let [lower, upper] = USUAL_PACES;
        if !pace.is_finite() || (lower..=upper).contains(&pace) {
            return Self::USUAL;
        }
        Self::from_factor(1.0 / pace.clamp(slowest, fastest))
    }

    /// The time for work that takes longer by this factor.
    pub fn from_factor(factor: f64) -> Self {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        Self((factor * f64::from(Self::USUAL.0)).round() as u32)
    }
}
