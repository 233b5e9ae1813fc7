//! When second attempts beside slow ones shorten responses, by the responses of all routers.
//!
//! The load: a hundred routers get less than one repeatable request a second each, so that none of them knows for minutes which of its
//! responses are slow, while all together know it after some seconds.

use std::time::{Duration, Instant};

use compact_str::CompactString;
use jaylock_rpc::v1::{ResponseTimes as Report, RouteHedging};
use jaylock_types::ResponseTimes;

use crate::scheduler::allocator::Allocator;
use crate::scheduler::router::RouterKey;

/// Time after which a response is forgotten at the earliest; after twice this time it is at the latest.
const WINDOW: Duration = Duration::from_secs(10);
/// Time between two messages to the routers.
const INTERVAL: Duration = Duration::from_secs(1);
/// Time after its last report for which a router is told.
const INTEREST: Duration = Duration::from_secs(20);
/// Most routes that are tracked; each takes 14 KiB.
const MAX_ROUTES: usize = 64;
/// Unit of the reported times, in microseconds.
const UNIT_US: u64 = 100;
/// Longest response time that is believed.
const MAX_TIME: Duration = Duration::from_mins(1);
/// Most per cent that a router may name.
const MAX_PERCENT: u32 = 20;

/// Response times of the routes whose requests may be hedged.
#[derive(Debug, Default)]
pub struct FleetResponses {
    // Sorted by route.
    routes: Vec<RouteResponses>,
    // Routers that report, with the time of their last report; sorted by key.
    routers: Vec<(RouterKey, Instant)>,
    told_at: Option<Instant>,
}

#[derive(Debug)]
struct RouteResponses {
    route: CompactString,
    percent: u32,
    times: ResponseTimes,
}

impl FleetResponses {
    /// Adds what a router reports.
    pub fn record(&mut self, router: RouterKey, report: &Report, now: Instant) {
        match self.routers.binary_search_by_key(&router, |(key, _)| *key) {
            Ok(index) => self.routers[index].1 = now,
            Err(index) => self.routers.insert(index, (router, now)),
        }
        let Some(responses) = self.route(report, now) else {
            return;
        };
        responses.percent = report.hedge_percent.min(MAX_PERCENT);
        for units in &report.times {
            let time = Duration::from_micros(u64::from(*units) * UNIT_US);
            responses.times.record(time.min(MAX_TIME), now);
        }
    }

    /// The routers that are to be told now, and what they are told.
    pub fn take_due(&mut self, now: Instant) -> (Vec<RouterKey>, Vec<RouteHedging>) {
        let is_recent = |at: Instant, time: Duration| now.saturating_duration_since(at) < time;
        if self.told_at.is_some_and(|at| is_recent(at, INTERVAL)) || self.routers.is_empty() {
            return (Vec::new(), Vec::new());
        }
        self.told_at = Some(now);
        self.routers.retain(|(_, at)| is_recent(*at, INTEREST));
        self.routes.retain(|r| !r.times.is_outdated(now));
        let hedging = self.routes.iter_mut().filter_map(|r| r.hedging(now));
        let hedging: Vec<RouteHedging> = hedging.collect();
        if hedging.is_empty() {
            return (Vec::new(), hedging);
        }
        (self.routers.iter().map(|(key, _)| *key).collect(), hedging)
    }

    fn route(&mut self, report: &Report, now: Instant) -> Option<&mut RouteResponses> {
        let search = self
            .routes
            .binary_search_by(|r| r.route.as_str().cmp(&report.route));
        let index = match search {
            Ok(index) => index,
            Err(_) if self.routes.len() >= MAX_ROUTES => return None,
            Err(index) => {
                let responses = RouteResponses {
                    route: report.route.as_str().into(),
                    percent: 0,
                    times: ResponseTimes::new(WINDOW, now),
                };
                self.routes.insert(index, responses);
                index
            }
        };
        Some(&mut self.routes[index])
    }
}

impl RouteResponses {
    fn hedging(&mut self, now: Instant) -> Option<RouteHedging> {
        let plan = self.times.plan(self.percent, now)?;
        let micros = |time: Duration| u32::try_from(time.as_micros()).unwrap_or(u32::MAX);
        Some(RouteHedging {
            route: self.route.to_string(),
            delay_us: micros(plan.delay),
            typical_us: micros(plan.typical),
        })
    }
}

impl Allocator {
    /// Tells the routers that report response times when hedges shorten responses.
    pub(crate) fn tell_hedging(&mut self, now: Instant) {
        let (routers, hedging) = self.fleet_responses.take_due(now);
        for key in routers {
            if let Some(router) = self.routers.get_mut(key) {
                router.frame.hedging.clone_from(&hedging);
            }
        }
    }
}
