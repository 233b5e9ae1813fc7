use std::cell::RefCell;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use hdrhistogram::Histogram;
use jaylock_rpc::v1::Configuration;

use crate::budget::FleetBudget;

/// Time after which a response is forgotten at the earliest; after twice this time it is at the latest.
const WINDOW: Duration = Duration::from_mins(1);
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
/// Hedges that all routers together may send for a service at once.
const FLEET_BURST: u32 = 16;
/// Thousandths in one per cent.
const PERMILLE_PER_PERCENT: u32 = 10;

/// Decides which requests get a second attempt at another backend server beside the first one.
///
/// This is for loads in which single backend servers take several times as long as the others for a moment, so that
/// another one would respond first. If all respond late, the delays grow with their responses, and until then the
/// allowance bounds the extra attempts.
#[derive(Debug)]
pub struct Hedging {
    /// Largest number of hedges, in per cent of a service's requests; 0 if none are sent.
    percent: u32,
    allowance: FleetBudget,
    /// Sorted by route.
    routes: RefCell<Vec<(CompactString, ResponseTimes)>>,
}

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

impl Hedging {
    /// Allows hedges for this share of each service's requests over the whole fleet, in per cent.
    #[must_use]
    pub fn new(percent: u32) -> Self {
        let burst = if percent == 0 { 0 } else { FLEET_BURST };
        Self {
            percent,
            allowance: FleetBudget::new(burst, percent * PERMILLE_PER_PERCENT),
            routes: RefCell::default(),
        }
    }

    /// Whether any request may be hedged.
    #[must_use]
    pub fn is_enabled(&self) -> bool {
        self.percent > 0
    }

    /// Adds a request for a service to the allowance.
    pub fn record_request(&self, service: &str, configuration: &Configuration) {
        if self.is_enabled() {
            self.allowance.update(configuration);
            self.allowance.deposit(service);
        }
    }

    /// Records how long a route's response took from the first attempt on; `now` is its end.
    ///
    /// If a second attempt won, the times of both are added, as the first one would have taken longer: otherwise
    /// hedges would hide the slow responses that they are sent for.
    pub fn record_response(&self, route: &str, time: Duration, now: Instant) {
        if !self.is_enabled() {
            return;
        }
        let mut routes = self.routes.borrow_mut();
        if let Ok(position) = routes.binary_search_by(|r| r.0.as_str().cmp(route)) {
            routes[position].1.record(time, now);
            return;
        }
        // Routes that were removed from the configuration are forgotten here.
        routes.retain(|r| !r.1.is_outdated(now));
        let position = routes.partition_point(|r| r.0.as_str() < route);
        let mut times = ResponseTimes::new(now);
        times.record(time, now);
        routes.insert(position, (route.into(), times));
    }

    /// When an attempt for a route that starts now gets a second one; `None` while too little is known.
    #[must_use]
    pub fn plan(&self, route: &str, now: Instant) -> Option<HedgePlan> {
        if !self.is_enabled() {
            return None;
        }
        let mut routes = self.routes.borrow_mut();
        let search = routes.binary_search_by(|r| r.0.as_str().cmp(route));
        let times = &mut routes[search.ok()?].1;
        times.age(now);
        times.plan(f64::from(self.percent) / 100.0)
    }

    /// Takes a hedge from the allowance; returns false without a lease or if this router's part is used up.
    #[must_use]
    pub fn try_spend(&self, service: &str, has_lease: bool) -> bool {
        self.is_enabled() && has_lease && self.allowance.try_withdraw(service)
    }
}

/// Response times of a route in the current window of time and the one before it.
#[derive(Debug)]
struct ResponseTimes {
    /// When the current window began.
    began: Instant,
    current: Histogram<u32>,
    /// Both windows.
    recent: Histogram<u32>,
}

impl ResponseTimes {
    fn new(now: Instant) -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_UNITS, DIGITS);
        let histogram = histogram.expect("the bounds are valid");
        Self {
            began: now,
            current: histogram.clone(),
            recent: histogram,
        }
    }

    fn record(&mut self, time: Duration, now: Instant) {
        self.age(now);
        let units = time.as_micros() / u128::from(UNIT_US);
        let units = u64::try_from(units).unwrap_or(MAX_UNITS).min(MAX_UNITS);
        self.current.saturating_record(units);
        self.recent.saturating_record(units);
    }

    /// Begins a new window if the current one is over, and forgets the one before it.
    fn age(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.began);
        if age < WINDOW {
            return;
        }
        if age < 2 * WINDOW {
            std::mem::swap(&mut self.recent, &mut self.current);
        } else {
            self.recent.reset();
        }
        self.current.reset();
        self.began = now;
    }

    fn is_outdated(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.began) >= 2 * WINDOW
    }

    /// Plans hedges for at most `allowed` of the responses.
    ///
    /// Without a slower group, a response is late if it takes much longer than usual and longer than that share.
    fn plan(&self, allowed: f64) -> Option<HedgePlan> {
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
