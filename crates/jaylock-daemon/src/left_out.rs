use std::cell::Cell;
use std::time::{Duration, Instant};

/// Time between two lines about entries that are left out.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Logs the entries that name no backend server to use, with at most one line in an interval.
#[derive(Debug, Default)]
pub struct LeftOutLog {
    /// Entries since the last line.
    count: Cell<u64>,
    logged_at: Cell<Option<Instant>>,
}

impl LeftOutLog {
    /// Counts an entry, and logs it with the number of those since the last line if one is due.
    pub fn record(&self, id: &str, reason: &str, now: Instant) {
        self.count.set(self.count.get() + 1);
        let is_recent = |at: Instant| now.saturating_duration_since(at) < LOG_INTERVAL;
        if self.logged_at.get().is_some_and(is_recent) {
            return;
        }
        log::warn!(
            target: "operator",
            backend = id, entries = self.count.take(), reason = reason;
            "an entry names no backend server to use and is left out: look for its writer"
        );
        self.logged_at.set(Some(now));
    }
}
