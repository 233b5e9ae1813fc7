use std::time::{Duration, Instant};

/// Longest time for which a router may hold back the end of a run.
const MAX_DELAY: Duration = Duration::from_secs(1);
/// Time over which grants are counted.
const WINDOW: Duration = Duration::from_millis(100);
/// Inverse weight of the newest window in the mean.
const MEAN_WINDOWS: f64 = 8.0;
/// Inverse part of the free slots that ended runs may keep taken.
const FREE_DIVISOR: u32 = 4;
/// Inverse part of the taken slots that ended runs may be.
const USED_DIVISOR: u32 = 50;

/// How long routers may hold back the ends of runs, to send them together with other messages.
///
/// A slot stays taken until its end is reported. With short runs at many routers, ends that are held back
/// can take all slots of a pool, so the time depends on how fast slots are granted.
#[derive(Debug, Default)]
pub struct ReportDelay {
    window_start: Option<Instant>,
    window_grants: u32,
    // Grants in a window: the mean, and the last whole one.
    mean_grants: f64,
    last_grants: f64,
    current: Duration,
}

impl ReportDelay {
    /// Counts a grant.
    pub fn record_grant(&mut self, now: Instant) {
        self.advance(now);
        self.window_grants += 1;
    }

    /// The time as of the last update.
    pub fn current(&self) -> Duration {
        self.current
    }

    /// Sets the time in which ends take a quarter of the free slots, or a fiftieth of the taken ones.
    pub fn update(&mut self, used: u32, free: u32, now: Instant) {
        self.advance(now);
        self.current = self.delay(used, free);
    }

    fn delay(&self, used: u32, free: u32) -> Duration {
        let window_grants = f64::from(self.window_grants);
        let grants = self.mean_grants.max(self.last_grants).max(window_grants);
        let held_back = f64::from(free) / f64::from(FREE_DIVISOR);
        let held_back = held_back.max(f64::from(used) / f64::from(USED_DIVISOR));
        if grants * MAX_DELAY.as_secs_f64() <= held_back * WINDOW.as_secs_f64() {
            return MAX_DELAY;
        }
        WINDOW.mul_f64(held_back / grants)
    }

    /// Closes the windows that are over.
    fn advance(&mut self, now: Instant) {
        let start = *self.window_start.get_or_insert(now);
        let elapsed = now.saturating_duration_since(start);
        if elapsed < WINDOW {
            return;
        }
        // A pause longer than a window lowers the count in proportion.
        let windows = elapsed.as_secs_f64() / WINDOW.as_secs_f64();
        self.last_grants = f64::from(self.window_grants) / windows;
        let kept = (1.0 - 1.0 / MEAN_WINDOWS).powf(windows);
        self.mean_grants = self.mean_grants * kept + self.last_grants * (1.0 - kept);
        self.window_start = Some(now);
        self.window_grants = 0;
    }
}
