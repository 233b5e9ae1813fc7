use std::time::Instant;

/// Slot time that was used and offered while requests waited, in microseconds.
#[derive(Debug)]
pub struct Usage {
    last_update: Instant,
    used: u128,
    offered: u128,
}

impl Usage {
    pub fn new(now: Instant) -> Self {
        Self {
            last_update: now,
            used: 0,
            offered: 0,
        }
    }

    /// Adds the time since the last call, in which `used` of `slots` were taken.
    pub fn add(&mut self, now: Instant, has_waiting_requests: bool, used: u32, slots: u32) {
        let span = now.saturating_duration_since(self.last_update).as_micros();
        self.last_update = now;
        if has_waiting_requests {
            self.used += span * u128::from(used.min(slots));
            self.offered += span * u128::from(slots);
        }
    }

    /// Used share of the slot time in parts per million; 1,000,000 while no request has waited.
    pub fn used_ppm(&self) -> u32 {
        if self.offered == 0 {
            return 1_000_000;
        }
        u32::try_from(self.used * 1_000_000 / self.offered).unwrap_or(u32::MAX)
    }
}
