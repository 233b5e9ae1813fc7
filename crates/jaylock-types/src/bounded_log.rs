use std::time::{Duration, Instant};

/// Time between two lines about the same kind of event.
const INTERVAL: Duration = Duration::from_secs(1);

/// Counts events that are logged with at most one line in an interval.
#[derive(Debug, Default)]
pub struct BoundedLog {
    /// Events since the last line.
    count: u64,
    logged_at: Option<Instant>,
}

impl BoundedLog {
    /// Counts an event; returns the number of those since the last line if a line is due.
    pub fn record(&mut self, now: Instant) -> Option<u64> {
        self.count += 1;
        let is_recent = |at: Instant| now.saturating_duration_since(at) < INTERVAL;
        if self.logged_at.is_some_and(is_recent) {
            return None;
        }
        self.logged_at = Some(now);
        Some(std::mem::take(&mut self.count))
    }
}
