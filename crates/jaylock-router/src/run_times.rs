use std::cell::RefCell;
use std::time::{Duration, Instant};

use compact_str::CompactString;

/// Time after which a longest run is forgotten at the earliest; after twice this time it is at the latest.
const WINDOW: Duration = Duration::from_mins(1);

/// The longest recent runs of each route, from the grant of the first slot to the end of the response.
#[derive(Debug, Default)]
pub struct RunTimes {
    /// Sorted by route.
    routes: RefCell<Vec<(CompactString, LongestRun)>>,
}

/// The longest run of two successive windows of time.
#[derive(Debug, Clone, Copy)]
struct LongestRun {
    /// When the current window began.
    began: Instant,
    current: Duration,
    previous: Option<Duration>,
}

impl RunTimes {
    /// Records a complete run that ended at `now`.
    pub fn record(&self, route: &str, duration: Duration, now: Instant) {
        let mut routes = self.routes.borrow_mut();
        if let Ok(at) = routes.binary_search_by(|r| r.0.as_str().cmp(route)) {
            routes[at].1.record(duration, now);
            return;
        }
        // Routes that were removed from the configuration are forgotten here.
        routes.retain(|r| r.1.longest(now).is_some());
        let at = routes.partition_point(|r| r.0.as_str() < route);
        routes.insert(at, (route.into(), LongestRun::new(duration, now)));
    }

    /// The longest recent run of a route; `None` if none ended lately.
    pub fn longest(&self, route: &str, now: Instant) -> Option<Duration> {
        let routes = self.routes.borrow();
        let at = routes.binary_search_by(|r| r.0.as_str().cmp(route)).ok()?;
        routes[at].1.longest(now)
    }
}

impl LongestRun {
    fn new(duration: Duration, now: Instant) -> Self {
        Self {
            began: now,
            current: duration,
            previous: None,
        }
    }

    fn record(&mut self, duration: Duration, now: Instant) {
        let age = now.saturating_duration_since(self.began);
        if age < WINDOW {
            self.current = self.current.max(duration);
            return;
        }
        let previous = (age < 2 * WINDOW).then_some(self.current);
        *self = Self {
            previous,
            ..Self::new(duration, now)
        };
    }

    fn longest(&self, now: Instant) -> Option<Duration> {
        let age = now.saturating_duration_since(self.began);
        match age {
            age if age < WINDOW => {
                Some(self.previous.map_or(self.current, |p| p.max(self.current)))
            }
            age if age < 2 * WINDOW => Some(self.current),
            _ => None,
        }
    }
}
