use std::time::{Duration, Instant};

use jaylock_rpc::v1::BackendReport;
use jaylock_types::millis;

use crate::backends::backend::MAX_HEARTBEAT_DELAY;
use crate::scheduler::division::without_events;

/// Time between two removals of old reports.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);

/// Newest report of each backend server that announced itself to a router, for a new scheduler.
#[derive(Debug, Default)]
pub struct RecentReports {
    // Sorted by name.
    list: Vec<TimedReport>,
    // When old ones were dropped.
    pruned_at: Option<Instant>,
}

/// A report and when it was received.
#[derive(Debug)]
struct TimedReport {
    report: BackendReport,
    received_at: Instant,
}

impl RecentReports {
    /// Records a report unless a newer one is known, and drops those that are older than `retention`.
    ///
    /// Cache events are sent once; a resent report contains none.
    pub fn record(&mut self, report: &BackendReport, retention: Duration, now: Instant) {
        let since = |at: Instant| now.saturating_duration_since(at);
        if self.pruned_at.is_none_or(|at| since(at) >= PRUNE_INTERVAL) {
            self.pruned_at = Some(now);
            self.list
                .retain(|known| since(known.received_at) < retention);
        }
        let search = self
            .list
            .binary_search_by(|known| known.report.id.cmp(&report.id));
        let mut timed = TimedReport {
            report: without_events(report),
            received_at: now,
        };
        match search {
            Ok(index) if self.list[index].is_newer_than(report, now) => {}
            Ok(index) => {
                let known = &self.list[index].report;
                if timed.report.gone && timed.report.incarnation == 0 {
                    // The end of a backend server is reported without its start.
                    timed.report.incarnation = known.incarnation;
                }
                self.list[index] = timed;
            }
            Err(index) => self.list.insert(index, timed),
        }
    }

    /// Whether a report says only that a backend server is still there, and how busy it is.
    pub fn is_known(&self, report: &BackendReport) -> bool {
        let is_cold = |report: &BackendReport| report.cold_ms.is_some_and(|ms| ms > 0);
        let has_events = !report.kept.is_empty() || !report.evicted.is_empty();
        !report.gone
            && !has_events
            && self.find(&report.id).is_some_and(|known| {
                known.incarnation == report.incarnation
                    && known.address == report.address
                    && known.domain == report.domain
                    && known.software == report.software
                    && known.models == report.models
                    && known.slots == report.slots
                    && known.leaving == report.leaving
                    && known.gone == report.gone
                    && is_cold(known) == is_cold(report)
            })
    }

    /// The newest report of a backend server.
    pub fn find(&self, id: &str) -> Option<&BackendReport> {
        let search = self
            .list
            .binary_search_by(|known| known.report.id.as_str().cmp(id));
        search.ok().map(|index| &self.list[index].report)
    }

    /// All reports with their ages.
    pub fn list(&self, now: Instant) -> Vec<BackendReport> {
        self.list.iter().map(|timed| timed.with_age(now)).collect()
    }
}

impl TimedReport {
    /// Whether another report was sent before this one.
    ///
    /// After an end, only a newer start is reported; what the start was may not be known.
    fn is_newer_than(&self, other: &BackendReport, now: Instant) -> bool {
        let known = &self.report;
        if other.gone {
            return other.incarnation > 0 && other.incarnation < known.incarnation;
        }
        if !known.gone {
            return (other.incarnation, other.sequence) < (known.incarnation, known.sequence);
        }
        let age = now.saturating_duration_since(self.received_at);
        let may_precede_end = known.incarnation == 0 && age < MAX_HEARTBEAT_DELAY;
        other.incarnation <= known.incarnation || may_precede_end
    }

    fn with_age(&self, now: Instant) -> BackendReport {
        let age = now.saturating_duration_since(self.received_at);
        BackendReport {
            age_ms: millis(age),
            ..self.report.clone()
        }
    }
}
