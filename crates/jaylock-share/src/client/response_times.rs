//! What a router knows of the response times of routes whose requests may be hedged.

use std::time::{Duration, Instant};

use compact_str::CompactString;
use jaylock_rpc::v1::{ResponseTimes, RouteHedging};
use jaylock_types::HedgePlan;

/// Time over which response times are collected for one message.
const WINDOW: Duration = Duration::from_secs(1);
/// Most response times of a route in one message; further ones tell nothing new.
const MAX_TIMES: usize = 256;
/// Unit of the reported times, in microseconds.
const UNIT_US: u128 = 100;
/// Time for which a scheduler's plan is valid, which it repeats each second.
const PLAN_TIME: Duration = Duration::from_secs(3);

/// Own response times that are not reported yet, and the plans of the scheduler for the whole fleet.
#[derive(Debug, Default)]
pub struct RouteResponses {
    // Sorted by route.
    unreported: Vec<ResponseTimes>,
    due: Option<Instant>,
    // Sorted by route.
    plans: Vec<(CompactString, HedgePlan)>,
    planned_at: Option<Instant>,
}

impl RouteResponses {
    /// Records how long a response took.
    pub fn record(&mut self, route: &str, hedge_percent: u32, time: Duration, now: Instant) {
        let search = self
            .unreported
            .binary_search_by(|r| r.route.as_str().cmp(route));
        let index = search.unwrap_or_else(|index| {
            let times = ResponseTimes {
                route: route.into(),
                hedge_percent,
                times: Vec::new(),
            };
            self.unreported.insert(index, times);
            index
        });
        let times = &mut self.unreported[index].times;
        if times.len() < MAX_TIMES {
            times.push(u32::try_from(time.as_micros() / UNIT_US).unwrap_or(u32::MAX));
        }
        self.due.get_or_insert(now + WINDOW);
    }

    /// When a message is due.
    pub fn due(&self) -> Option<Instant> {
        self.due
    }

    /// Takes what is to be reported, once a message is due.
    pub fn take_due(&mut self, now: Instant) -> Vec<ResponseTimes> {
        if self.due.is_none_or(|due| now < due) {
            return Vec::new();
        }
        self.due = None;
        std::mem::take(&mut self.unreported)
    }

    /// Replaces the plans by those of the scheduler, if it sends any.
    pub fn apply(&mut self, hedging: &[RouteHedging], now: Instant) {
        if hedging.is_empty() {
            return;
        }
        let plan = |route: &RouteHedging| HedgePlan {
            delay: Duration::from_micros(route.delay_us.into()),
            typical: Duration::from_micros(route.typical_us.into()),
        };
        let plans = hedging.iter().map(|r| (r.route.as_str().into(), plan(r)));
        self.plans = plans.collect();
        self.plans.sort_by(|(a, _), (b, _)| a.cmp(b));
        self.planned_at = Some(now);
    }

    /// The scheduler's plan for a route, while it is valid.
    pub fn plan(&self, route: &str, now: Instant) -> Option<HedgePlan> {
        let age = now.saturating_duration_since(self.planned_at?);
        let search = self
            .plans
            .binary_search_by(|(id, _)| id.as_str().cmp(route));
        (age < PLAN_TIME).then_some(self.plans[search.ok()?].1)
    }
}
