use std::time::{Duration, Instant};

use compact_str::CompactString;
use jaylock_rpc::v1::WorkTime;
use jaylock_types::{BoundedLog, NamedWorkTime, WorkPercent};

use crate::placement::pace::WORK_TIME_LIFETIME;

/// Part of the reported time by which another one must differ to be reported. Smaller differences move an engine
/// by less than one prompt in the ranking.
const NOTABLE_PERCENT: u32 = 25;
/// Time after which an unusual time that is still named is reported again, as the scheduler gives the report less
/// weight with its age.
const REPEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Shortest time between two reports for a backend server. Routers of the target deployments read a response of one
/// backend server every 10 s; this bounds those of a router that reads many, of a server whose figure jumps.
const MIN_INTERVAL: Duration = Duration::from_millis(50);

/// Times for work that backend servers named in responses to a router, as far as they were reported.
#[derive(Debug, Default)]
pub struct NamedWorkTimes {
    // Sorted by backend server.
    list: Vec<Reported>,
    invalid: BoundedLog,
}

#[derive(Debug)]
struct Reported {
    backend: CompactString,
    incarnation: u64,
    percent: WorkPercent,
    at: Instant,
}

impl NamedWorkTimes {
    /// Records what a response names; returns the report that is due to the scheduler.
    pub fn record(
        &mut self,
        backend: &str,
        incarnation: u64,
        named: NamedWorkTime,
        now: Instant,
    ) -> Option<WorkTime> {
        let NamedWorkTime::Percent(percent) = named else {
            self.log_invalid(backend, now);
            return None;
        };
        let is_recent = |r: &Reported| now.saturating_duration_since(r.at) < WORK_TIME_LIFETIME;
        self.list.retain(is_recent);
        let search = self
            .list
            .binary_search_by(|reported| reported.backend.as_str().cmp(backend));
        let reported = Reported {
            backend: backend.into(),
            incarnation,
            percent,
            at: now,
        };
        match search {
            Ok(index) if !reported.is_due_after(&self.list[index]) => return None,
            Ok(index) => self.list[index] = reported,
            Err(_) if !is_notable(WorkPercent::USUAL, percent) => return None,
            Err(index) => self.list.insert(index, reported),
        }
        Some(WorkTime {
            backend: backend.into(),
            incarnation,
            percent: percent.get(),
            age_ms: 0,
        })
    }

    fn log_invalid(&mut self, backend: &str, now: Instant) {
        if let Some(responses) = self.invalid.record(now) {
            log::warn!(
                target: "share",
                backend = backend, responses = responses;
                "a backend server names no valid time for work, which is ignored"
            );
        }
    }
}

impl Reported {
    fn is_due_after(&self, earlier: &Self) -> bool {
        if self.incarnation != earlier.incarnation {
            return true;
        }
        let age = self.at.saturating_duration_since(earlier.at);
        let is_unusual = is_notable(WorkPercent::USUAL, self.percent);
        age >= MIN_INTERVAL
            && (is_notable(earlier.percent, self.percent) || (is_unusual && age >= REPEAT_INTERVAL))
    }
}

fn is_notable(reported: WorkPercent, percent: WorkPercent) -> bool {
    let difference = reported.get().abs_diff(percent.get());
    difference * 100 >= reported.get() * NOTABLE_PERCENT
}
