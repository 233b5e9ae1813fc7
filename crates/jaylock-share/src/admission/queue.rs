use std::collections::VecDeque;
use std::time::{Duration, Instant};

use jaylock_rpc::v1::Ask;

use crate::admission::cost::SizeClass;
use crate::admission::wait::turn_cost;
use crate::backends::requirement::RequirementKey;
use crate::scheduler::router::RouterKey;

/// A request that waits for a slot.
#[derive(Debug)]
pub struct WaitingRequest {
    pub router: RouterKey,
    pub ask: Ask,
    pub requirement: RequirementKey,
    pub size_class: SizeClass,
    pub arrived_at: Instant,
}

impl WaitingRequest {
    /// How long the request has waited.
    pub fn waited(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.arrived_at)
    }

    pub fn matches(&self, router: RouterKey, ticket: u64) -> bool {
        self.router == router && self.ask.ticket == ticket
    }
}

/// The waiting requests of one organisation, short ones first.
#[derive(Debug, Default)]
pub struct Queue {
    // Sorted by requirement; empty queues are removed.
    queues: Vec<RequirementQueue>,
    len: usize,
    /// What all waiting requests cost in their turns.
    cost: u64,
}

impl Queue {
    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// What all waiting requests cost in their turns.
    pub fn cost(&self) -> u64 {
        self.cost
    }

    /// The distinct requirements of the waiting requests.
    pub fn requirements(&self) -> impl Iterator<Item = RequirementKey> + '_ {
        self.queues.iter().map(|queue| queue.requirement)
    }

    /// Adds a request; one that continues a stream or must avoid a backend server precedes the others.
    pub fn push(&mut self, waiting: WaitingRequest, is_short: bool) {
        self.len += 1;
        self.cost += turn_cost(&waiting.ask);
        let index = self
            .queues
            .binary_search_by_key(&waiting.requirement, |queue| queue.requirement);
        let index = index.unwrap_or_else(|index| {
            self.queues
                .insert(index, RequirementQueue::new(waiting.requirement));
            index
        });
        let queue = &mut self.queues[index];
        if continues_stream(&waiting.ask) || !waiting.ask.avoid.is_empty() {
            queue.resumed.push_back(waiting);
        } else if is_short {
            queue.short.push_back(waiting);
        } else {
            queue.long.push_back(waiting);
        }
    }

    /// Takes the next request with this requirement for which `fits` returns true.
    ///
    /// A long request that has waited for `max_wait` takes turns with the short ones.
    pub fn take(
        &mut self,
        requirement: RequirementKey,
        now: Instant,
        max_wait: Duration,
        fits: impl Fn(&WaitingRequest) -> bool,
    ) -> Option<WaitingRequest> {
        let index = self
            .queues
            .binary_search_by_key(&requirement, |queue| queue.requirement)
            .ok()?;
        let taken = self.queues[index].take(now, max_wait, fits)?;
        self.record_removal(index, &taken);
        Some(taken)
    }

    /// The waiting requests, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &WaitingRequest> {
        let queues = self.queues.iter();
        queues.flat_map(|queue| queue.resumed.iter().chain(&queue.short).chain(&queue.long))
    }

    /// Removes the request that a router identifies by this ticket.
    pub fn remove(&mut self, router: RouterKey, ticket: u64) -> Option<WaitingRequest> {
        for index in 0..self.queues.len() {
            if let Some(found) = self.queues[index].remove(|w| w.matches(router, ticket)) {
                self.record_removal(index, &found);
                return Some(found);
            }
        }
        None
    }

    /// Removes and returns the requests for which `is_removed` returns true.
    pub fn drain(&mut self, is_removed: impl Fn(&WaitingRequest) -> bool) -> Vec<WaitingRequest> {
        let mut removed = Vec::new();
        for index in (0..self.queues.len()).rev() {
            while let Some(found) = self.queues[index].remove(&is_removed) {
                removed.push(found);
            }
        }
        self.len -= removed.len();
        self.cost -= removed.iter().map(|w| turn_cost(&w.ask)).sum::<u64>();
        self.queues.retain(|queue| !queue.is_empty());
        removed
    }

    fn record_removal(&mut self, index: usize, removed: &WaitingRequest) {
        self.len -= 1;
        self.cost -= turn_cost(&removed.ask);
        if self.queues[index].is_empty() {
            self.queues.remove(index);
        }
    }
}

/// Whether a part of the response was forwarded before, by this router or another one.
pub fn continues_stream(ask: &Ask) -> bool {
    ask.served > 0 || ask.begun_stream.is_some()
}

#[derive(Debug)]
struct RequirementQueue {
    requirement: RequirementKey,
    resumed: VecDeque<WaitingRequest>,
    short: VecDeque<WaitingRequest>,
    long: VecDeque<WaitingRequest>,
    is_long_next: bool,
}

impl RequirementQueue {
    fn new(requirement: RequirementKey) -> Self {
        Self {
            requirement,
            resumed: VecDeque::new(),
            short: VecDeque::new(),
            long: VecDeque::new(),
            is_long_next: true,
        }
    }

    fn is_empty(&self) -> bool {
        self.resumed.is_empty() && self.short.is_empty() && self.long.is_empty()
    }

    fn take(
        &mut self,
        now: Instant,
        max_wait: Duration,
        fits: impl Fn(&WaitingRequest) -> bool,
    ) -> Option<WaitingRequest> {
        if let Some(found) = remove_first(&mut self.resumed, &fits) {
            return Some(found);
        }
        let is_overdue =
            |w: &WaitingRequest| now.saturating_duration_since(w.arrived_at) >= max_wait;
        let prefers_long = self.is_long_next && self.long.front().is_some_and(is_overdue);
        if prefers_long && let Some(found) = remove_first(&mut self.long, &fits) {
            self.is_long_next = false;
            return Some(found);
        }
        if let Some(found) = remove_first(&mut self.short, &fits) {
            self.is_long_next = true;
            return Some(found);
        }
        remove_first(&mut self.long, &fits)
    }

    fn remove(&mut self, is_match: impl Fn(&WaitingRequest) -> bool) -> Option<WaitingRequest> {
        remove_first(&mut self.resumed, &is_match)
            .or_else(|| remove_first(&mut self.short, &is_match))
            .or_else(|| remove_first(&mut self.long, &is_match))
    }
}

fn remove_first(
    queue: &mut VecDeque<WaitingRequest>,
    is_match: impl Fn(&WaitingRequest) -> bool,
) -> Option<WaitingRequest> {
    let index = queue.iter().position(is_match)?;
    queue.remove(index)
}
