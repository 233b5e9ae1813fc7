use std::time::{Duration, Instant};

use compact_str::CompactString;
use jaylock_rpc::v1::ColdNotice;
use jaylock_types::millis;

/// Time by which the end of a cold time moves until it is reported again.
const REPORT_STEP: Duration = Duration::from_millis(250);

/// Backend servers that told a router in a response that they are cold.
#[derive(Debug, Default)]
pub struct ColdNotices {
    // Sorted by backend server.
    list: Vec<Known>,
}

#[derive(Debug)]
struct Known {
    backend: CompactString,
    incarnation: u64,
    until: Instant,
}

impl ColdNotices {
    /// Records the remaining cold time in a response; returns the report that is due to the scheduler.
    pub fn record(
        &mut self,
        backend: &str,
        incarnation: u64,
        remaining: Duration,
        now: Instant,
    ) -> Option<ColdNotice> {
        let until = now + remaining;
        self.list.retain(|known| known.until > now);
        if remaining.is_zero() {
            return None;
        }
        let known = Known {
            backend: backend.into(),
            incarnation,
            until,
        };
        let search = self
            .list
            .binary_search_by(|known| known.backend.as_str().cmp(backend));
        let position = match search {
            Ok(position) if !self.list[position].is_extended_by(&known) => return None,
            Ok(position) => {
                self.list[position] = known;
                position
            }
            Err(position) => {
                self.list.insert(position, known);
                position
            }
        };
        Some(self.list[position].report(now))
    }

    /// All notices that still count, for a new scheduler.
    pub fn reports(&mut self, now: Instant) -> Vec<ColdNotice> {
        self.list.retain(|known| known.until > now);
        self.list.iter().map(|known| known.report(now)).collect()
    }
}

impl Known {
    fn is_extended_by(&self, other: &Self) -> bool {
        let is_newer = other.incarnation > self.incarnation;
        let is_same = other.incarnation == self.incarnation;
        is_newer || (is_same && other.until > self.until + REPORT_STEP)
    }

    fn report(&self, now: Instant) -> ColdNotice {
        ColdNotice {
            backend: self.backend.to_string(),
            incarnation: self.incarnation,
            cold_ms: millis(self.until.saturating_duration_since(now)),
        }
    }
}
