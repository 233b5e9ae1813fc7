use std::collections::VecDeque;

use jaylock_rpc::v1::Event;

/// Events that are kept.
const LIMIT: usize = 1000;

/// The record of repairs, oldest first.
#[derive(Debug, Default)]
pub struct Events {
    list: VecDeque<Event>,
}

impl Events {
    pub fn restore(events: Vec<Event>) -> Self {
        Self {
            list: events.into(),
        }
    }

    pub fn push(&mut self, event: Event) {
        self.list.push_back(event);
        if self.list.len() > LIMIT {
            self.list.pop_front();
        }
    }

    pub fn newest(&self, most: u32) -> Vec<Event> {
        let most = usize::try_from(most).unwrap_or(usize::MAX);
        let skipped = self.list.len().saturating_sub(most);
        self.list.iter().skip(skipped).cloned().collect()
    }
}
