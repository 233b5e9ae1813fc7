use std::cell::RefCell;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use jaylock_rpc::v1::Configuration;
use jaylock_types::{HedgePlan, ResponseTimes};

use crate::budget::FleetBudget;

/// Time after which a response is forgotten at the earliest; after twice this time it is at the latest.
const WINDOW: Duration = Duration::from_mins(1);
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
        let mut times = ResponseTimes::new(WINDOW, now);
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
        routes[search.ok()?].1.plan(self.percent, now)
    }

    /// Largest number of hedges, in per cent of a service's requests.
    #[must_use]
    pub fn percent(&self) -> u32 {
        self.percent
    }

    /// Takes a hedge from the allowance; returns false without a lease or if this router's part is used up.
    #[must_use]
    pub fn try_spend(&self, service: &str, has_lease: bool) -> bool {
        self.is_enabled() && has_lease && self.allowance.try_withdraw(service)
    }
}
