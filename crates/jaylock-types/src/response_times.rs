use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

/// Responses of a route without which nothing is known of its delays.
const MIN_RESPONSES: u64 = 32;
/// Shortest delay, since a request for a slot alone takes some milliseconds.
const MIN_DELAY: Duration = Duration::from_millis(5);
/// Unit of the histograms, in microseconds.
const UNIT_US: u64 = 100;
/// Longest distinguishable response time, in units: a minute.
const MAX_UNITS: u64 = 600_000;
/// Significant digits of the histograms; each then takes 7 KiB.
const DIGITS: u8 = 2;
/// Smallest and largest share of a route's responses that count as late if no slower group stands out.
const LATE_SHARES: (f64, f64) = (0.01, 0.1);
/// Shares of a route's responses that may be such a group; up to a fifth of the servers may be slow at a time.
const SLOW_SHARES: [f64; 5] = [0.01, 0.05, 0.1, 0.15, 0.2];
/// Multiple of the typical time from which a response is late if no slower group stands out.
const LATE_FACTOR: u32 = 2;

/// When an attempt gets a second one beside it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HedgePlan {
    /// Time after which the attempt counts as late.
    pub delay: Duration,
    /// Time that half of the responses take at most.
    pub typical: Duration,
}

impl HedgePlan {
    /// Whether a second attempt that starts now has a chance to end within the remaining time.
    #[must_use]
    pub fn may_win(&self, remaining: Duration) -> bool {
        remaining > self.typical
    }
}

/// Response times of a route in the current window of time and the one before it.
///
/// A response is forgotten after one window at the earliest, and after two at the latest.
#[derive(Debug)]
pub struct ResponseTimes {
    /// Length of a window.
    window: Duration,
    /// When the current window began.
    began: Instant,
    current: Histogram<u32>,
    /// Both windows.
    recent: Histogram<u32>,
}

impl ResponseTimes {
    /// Creates an empty record with windows of this length.
    ///
    /// # Panics
    /// Never, as the bounds of the histograms are valid.
    #[must_use]
    pub fn new(window: Duration, now: Instant) -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_UNITS, DIGITS);
        let histogram = histogram.expect("the bounds are valid");
        Self {
            window,
            began: now,
            current: histogram.clone(),
            recent: histogram,
        }
    }

    /// Records how long a response took.
    pub fn record(&mut self, time: Duration, now: Instant) {
        self.age(now);
        let units = time.as_micros() / u128::from(UNIT_US);
        let units = u64::try_from(units).unwrap_or(MAX_UNITS).min(MAX_UNITS);
        self.current.saturating_record(units);
        self.recent.saturating_record(units);
    }

    /// Begins a new window if the current one is over, and forgets the one before it.
    fn age(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.began);
        if age < self.window {
            return;
        }
        if age < self.window * 2 {
            std::mem::swap(&mut self.recent, &mut self.current);
        } else {
            self.recent.reset();
        }
        self.current.reset();
        self.began = now;
    }

    /// Whether all responses are forgotten.
    #[must_use]
    pub fn is_outdated(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.began) >= self.window * 2
    }

    /// Plans hedges for at most so many per cent of the responses; `None` while too little is known.
    ///
    /// Without a slower group, a response is late if it takes much longer than usual and longer than that share.
    pub fn plan(&mut self, percent: u32, now: Instant) -> Option<HedgePlan> {
        self.age(now);
        let allowed = f64::from(percent) / 100.0;
        if self.recent.len() < MIN_RESPONSES {
            return None;
        }
        let typical = self.exceeded_by(0.5);
        let (min, max) = LATE_SHARES;
        let delay = match self.time_before_slow_group(typical, allowed) {
            Some(time) => time,
            None => self
                .exceeded_by(allowed.clamp(min, max))
                .max(typical * LATE_FACTOR),
        };
        Some(HedgePlan {
            delay: delay.max(MIN_DELAY),
            typical,
        })
    }

    /// The time after which second attempts save most; `None` if they save nothing.
    ///
    /// Half of the responses that exceed a time take at least as long as their median, and a second attempt that
    /// starts at that time takes a typical one.
    fn time_before_slow_group(&self, typical: Duration, allowed: f64) -> Option<Duration> {
        let savings = SLOW_SHARES.iter().filter_map(|share| {
            let (time, median_of_later) = (self.exceeded_by(*share), self.exceeded_by(share / 2.0));
            let saved = median_of_later.checked_sub(time + typical)?;
            Some((saved.mul_f64(share.min(allowed)), time))
        });
        let best = savings.max_by_key(|(saved, _)| *saved)?;
        (!best.0.is_zero()).then_some(best.1)
    }

    /// Time that this share of the responses exceeds.
    fn exceeded_by(&self, share: f64) -> Duration {
        let units = self.recent.value_at_quantile(1.0 - share);
        Duration::from_micros(units * UNIT_US)
    }
}
