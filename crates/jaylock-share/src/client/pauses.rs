use std::time::{Duration, Instant};

/// What a router may still believe after it stood still, as its process or machine was suspended.
#[derive(Debug, Default)]
pub struct Pauses {
    // `None` until the router is watched.
    active_at: Option<Instant>,
    is_stream_outdated: bool,
    is_list_outdated: bool,
}

impl Pauses {
    /// Begins to watch for pauses; from here on the router is active again and again.
    pub fn watch(&mut self, now: Instant) {
        self.active_at.get_or_insert(now);
    }

    /// Records that the router is active; returns the time for which it stood still, if that was over `max_pause`.
    pub fn observe(&mut self, now: Instant, max_pause: Duration) -> Option<Duration> {
        let active_at = self.active_at.as_mut()?;
        let pause = now.saturating_duration_since(*active_at);
        *active_at = now;
        let is_long = pause > max_pause;
        self.is_stream_outdated |= is_long;
        self.is_list_outdated |= is_long;
        is_long.then_some(pause)
    }

    /// Records that a new stream to a scheduler was opened.
    pub fn open_stream(&mut self) {
        self.is_stream_outdated = false;
    }

    /// Records that a scheduler has told the backend servers and their versions.
    pub fn renew_list(&mut self) {
        self.is_list_outdated = false;
    }

    /// Whether messages in the stream may have been sent before a pause.
    pub fn is_stream_outdated(&self) -> bool {
        self.is_stream_outdated
    }

    /// Whether the list of backend servers is from before a pause.
    pub fn is_list_outdated(&self) -> bool {
        self.is_list_outdated
    }
}
