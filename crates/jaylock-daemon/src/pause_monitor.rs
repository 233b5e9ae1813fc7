use std::cell::Cell;
use std::time::{Duration, Instant};

/// Longest time between two observations of a process that was not suspended.
///
/// A caller that got no reply for this long has asked another instance.
const MAX_PAUSE: Duration = Duration::from_secs(1);
/// Time after a pause in which calls may be read that arrived during the pause.
const BACKLOG_TIME: Duration = Duration::from_secs(1);

/// Tells whether a call may have arrived long before it was read, as the process was suspended.
///
/// Addresses the load of a suspended instance that resumes with calls in its sockets, whose callers have gone to
/// another instance.
#[derive(Debug, Default)]
pub struct PauseMonitor {
    observed_at: Cell<Option<Instant>>,
    resumed_at: Cell<Option<Instant>>,
}

impl PauseMonitor {
    /// Records that the process is running.
    pub fn observe(&self, now: Instant) {
        let previous = self.observed_at.replace(Some(now));
        let is_pause = |at: Instant| now.saturating_duration_since(at) > MAX_PAUSE;
        if previous.is_some_and(is_pause) {
            self.resumed_at.set(Some(now));
        }
    }

    /// Whether a call that is read now may have arrived during a pause.
    pub fn may_read_old_calls(&self, now: Instant) -> bool {
        // Before the instance serves, nothing observes the time between two calls.
        if self.observed_at.get().is_some() {
            self.observe(now);
        }
        let is_recent = |at: Instant| now.saturating_duration_since(at) < BACKLOG_TIME;
        self.resumed_at.get().is_some_and(is_recent)
    }
}
