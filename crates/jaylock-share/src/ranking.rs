use crate::backend_set::BackendSet;
use crate::backends::Backends;

/// The usable engines of a pool ranked by pending prefill, for one decision.
#[derive(Debug)]
pub struct EngineRanking {
    /// Pending prefill of each usable engine in tokens, with its index; the least first.
    order: Vec<(u64, usize)>,
    /// Usable engines without pending prefill.
    idle: BackendSet,
}

impl EngineRanking {
    /// Ranks all usable engines whose limits admit a request.
    pub fn new(backends: &Backends) -> Self {
        let usable = backends.usable();
        let indices = usable.common(usable);
        let indices = indices.filter(|index| !backends.get(*index).is_limited);
        let mut order: Vec<_> = indices
            .map(|index| (pending_prefill(backends, index), index))
            .collect();
        order.sort_unstable();
        let mut idle = BackendSet::default();
        for (_, index) in order
            .iter()
            .take_while(|(pending_prefill, _)| *pending_prefill == 0)
        {
            idle.set(*index, true);
        }
        Self { order, idle }
    }

    /// Updates the rank of an engine that was given a request.
    pub fn update(&mut self, backends: &Backends, index: usize) {
        let Some(position) = self.order.iter().position(|(_, known)| *known == index) else {
            return;
        };
        self.order.remove(position);
        let entry = (pending_prefill(backends, index), index);
        let position = self.order.partition_point(|other| *other < entry);
        self.order.insert(position, entry);
        self.idle.set(index, entry.0 == 0);
    }

    /// Pending prefill of each engine in tokens, with its index; the least first.
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
