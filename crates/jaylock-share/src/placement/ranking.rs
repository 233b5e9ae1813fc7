use std::time::Instant;

use crate::backends::backend_set::BackendSet;
use crate::backends::list::Backends;
use crate::placement::slowness::Slowness;

/// The usable engines of a pool ranked by the time for their pending prefill, for one decision.
///
/// Times are in tokens that take as long at the pool's pace. So engines of equal pace are ranked by tokens.
#[derive(Debug)]
pub struct EngineRanking {
    /// Time for the pending prefill of each usable engine, with its index; the least first.
    order: Vec<(u64, usize)>,
    /// Slowness of each backend server, by index.
    slowness: Vec<Slowness>,
    /// Slowness of the fastest engine in the order.
    least_slowness: Slowness,
    /// Usable engines without pending prefill.
    idle: BackendSet,
}

impl EngineRanking {
    /// Ranks all usable engines whose limits admit a request.
    pub fn new(backends: &Backends, now: Instant) -> Self {
        let usable = backends.usable();
        let indices = usable.common(usable);
        let indices = indices.filter(|index| !backends.get(*index).is_limited);
        let slowness = backends.slowness(now);
        let pending = |index: usize| slowness[index].scale(pending_prefill(backends, index));
        let mut order: Vec<_> = indices.map(|index| (pending(index), index)).collect();
        order.sort_unstable();
        let mut idle = BackendSet::default();
        for (_, index) in order
            .iter()
            .take_while(|(pending_prefill, _)| *pending_prefill == 0)
        {
            idle.set(*index, true);
        }
        let fastest = order.iter().map(|(_, index)| slowness[*index]).min();
        Self {
            order,
            least_slowness: fastest.unwrap_or(Slowness::USUAL),
            slowness,
            idle,
        }
    }

    /// Updates the rank of an engine that was given a request.
    pub fn update(&mut self, backends: &Backends, index: usize) {
        let Some(position) = self.order.iter().position(|(_, known)| *known == index) else {
            return;
        };
        self.order.remove(position);
        let pending = self.scale(index, pending_prefill(backends, index));
        let entry = (pending, index);
        let position = self.order.partition_point(|other| *other < entry);
        self.order.insert(position, entry);
        self.idle.set(index, entry.0 == 0);
    }

    /// Time for these tokens at an engine, in tokens at the pool's pace.
    pub fn scale(&self, index: usize, tokens: u64) -> u64 {
        self.slowness[index].scale(tokens)
    }

    /// Time for these tokens at the fastest engine, in tokens at the pool's pace.
    pub fn least_time(&self, tokens: u64) -> u64 {
        self.least_slowness.scale(tokens)
    }

    /// Time for the pending prefill of each engine in tokens at the pool's pace, with its index; the least first.
    pub fn order(&self) -> impl Iterator<Item = (u64, usize)> + '_ {
        self.order.iter().copied()
    }

    /// Counts the usable engines in a set, and those of them without pending prefill.
    pub fn count_usable_and_idle(
        &self,
        backends: &Backends,
        engines: &BackendSet,
    ) -> (usize, usize) {
        let all = engines.common(backends.usable()).count();
        (all, engines.common(&self.idle).count())
    }
}

fn pending_prefill(backends: &Backends, index: usize) -> u64 {
    backends.get(index).engine.pending_prefill()
}
