use std::collections::VecDeque;

use jaylock_rpc::v1::Event;

/// Maximum number of events kept.
const MAX_EVENTS: usize = 1000;

/// The event log, oldest event first.
#[derive(Debug, Default)]
pub struct EventLog {
    events: VecDeque<Event>,
}

impl EventLog {
    pub fn restore(events: Vec<Event>) -> Self {
        Self {
            events: events.into(),
        }
    }

    pub fn push(&mut self, event: Event) {
        self.events.push_back(event);
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// The newest `max` events, oldest first.
    pub fn newest(&self, max: u32) -> Vec<Event> {
        let max = usize::try_from(max).unwrap_or(usize::MAX);
        let start = self.events.len().saturating_sub(max);
        self.events.iter().skip(start).cloned().collect()
    }
}
