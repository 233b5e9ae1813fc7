use std::collections::VecDeque;
use std::time::{Duration, Instant};

use jaylock_rpc::v1::Ask;

use crate::cost::Shape;
use crate::requirement::RequirementKey;
use crate::router::RouterKey;

/// A request that waits for a slot.
#[derive(Debug)]
pub struct Waiting {
    pub router: RouterKey,
    pub ask: Ask,
    pub requirement: RequirementKey,
    pub shape: Shape,
    pub arrived: Instant,
}

impl Waiting {
    pub fn is(&self, router: RouterKey, ticket: u64) -> bool {
        self.router == router && self.ask.ticket == ticket
    }
}

/// The waiting requests of one organisation, short ones first.
#[derive(Debug, Default)]
pub struct Queue {
    // Sorted by demand; empty lines are removed.
    lines: Vec<Line>,
    len: usize,
}

impl Queue {
    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// What the waiting requests need, one entry for each kind.
    pub fn requirements(&self) -> impl Iterator<Item = RequirementKey> + '_ {
        self.lines.iter().map(|line| line.requirement)
    }

    /// Adds a request; one that was already served in part goes before the others.
    pub fn push(&mut self, waiting: Waiting, is_short: bool) {
        self.len += 1;
        let at = self
            .lines
            .binary_search_by_key(&waiting.requirement, |line| line.requirement);
        let at = at.unwrap_or_else(|at| {
            self.lines.insert(at, Line::new(waiting.requirement));
            at
        });
        let line = &mut self.lines[at];
        if waiting.ask.served > 0 || !waiting.ask.avoid.is_empty() {
            line.resumed.push_back(waiting);
        } else if is_short {
            line.short.push_back(waiting);
        } else {
            line.long.push_back(waiting);
        }
    }

    /// Takes the next request with this demand that `fits`.
    ///
    /// A long request that has waited for `longest` takes turns with the short ones.
    pub fn take(
        &mut self,
        requirement: RequirementKey,
        now: Instant,
        longest: Duration,
        fits: impl Fn(&Waiting) -> bool,
    ) -> Option<Waiting> {
        let at = self
            .lines
            .binary_search_by_key(&requirement, |line| line.requirement)
            .ok()?;
        let taken = self.lines[at].take(now, longest, fits)?;
        self.removed(at);
        Some(taken)
    }

    /// Removes a request whose caller gave up.
    pub fn remove(&mut self, router: RouterKey, ticket: u64) -> Option<Waiting> {
        for at in 0..self.lines.len() {
            if let Some(found) = self.lines[at].remove(|w| w.is(router, ticket)) {
                self.removed(at);
                return Some(found);
            }
        }
        None
    }

    /// Removes the requests that `gone` names.
    pub fn drain(&mut self, gone: impl Fn(&Waiting) -> bool) -> Vec<Waiting> {
        let mut is_drained = Vec::new();
        for at in (0..self.lines.len()).rev() {
            while let Some(found) = self.lines[at].remove(&gone) {
                is_drained.push(found);
            }
        }
        self.len -= is_drained.len();
        self.lines.retain(|line| !line.is_empty());
        is_drained
    }

    fn removed(&mut self, at: usize) {
        self.len -= 1;
        if self.lines[at].is_empty() {
            self.lines.remove(at);
        }
    }
}

#[derive(Debug)]
struct Line {
    requirement: RequirementKey,
    resumed: VecDeque<Waiting>,
    short: VecDeque<Waiting>,
    long: VecDeque<Waiting>,
    long_is_next: bool,
}

impl Line {
    fn new(requirement: RequirementKey) -> Self {
        Self {
            requirement,
            resumed: VecDeque::new(),
            short: VecDeque::new(),
            long: VecDeque::new(),
            long_is_next: true,
        }
    }

    fn is_empty(&self) -> bool {
        self.resumed.is_empty() && self.short.is_empty() && self.long.is_empty()
    }

    fn take(
        &mut self,
        now: Instant,
        longest: Duration,
        fits: impl Fn(&Waiting) -> bool,
    ) -> Option<Waiting> {
        if let Some(found) = remove_first(&mut self.resumed, &fits) {
            return Some(found);
        }
        let overdue = |w: &Waiting| now.saturating_duration_since(w.arrived) >= longest;
        let long_first = self.long_is_next && self.long.front().is_some_and(overdue);
        if long_first && let Some(found) = remove_first(&mut self.long, &fits) {
            self.long_is_next = false;
            return Some(found);
        }
        if let Some(found) = remove_first(&mut self.short, &fits) {
            self.long_is_next = true;
            return Some(found);
        }
        remove_first(&mut self.long, &fits)
    }

    fn remove(&mut self, matches: impl Fn(&Waiting) -> bool) -> Option<Waiting> {
        remove_first(&mut self.resumed, &matches)
            .or_else(|| remove_first(&mut self.short, &matches))
            .or_else(|| remove_first(&mut self.long, &matches))
    }
}

fn remove_first(
    lane: &mut VecDeque<Waiting>,
    matches: impl Fn(&Waiting) -> bool,
) -> Option<Waiting> {
    let at = lane.iter().position(matches)?;
    lane.remove(at)
}
