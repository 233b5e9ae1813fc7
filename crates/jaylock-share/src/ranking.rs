use crate::backend::{BackendSet, Backends};

/// The engines of a pool as one decision sees them.
#[derive(Debug)]
pub struct EngineRanking {
    /// Usable engines with the tokens that each has to read, the least first.
    order: Vec<(u64, usize)>,
    /// Usable engines that have nothing to read.
    idle: BackendSet,
}

impl EngineRanking {
    /// Looks at every engine.
    pub fn new(backends: &Backends) -> Self {
        let usable = backends.usable();
        let indices = usable.common(usable);
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

    /// Notes that an engine was given something to read.
    pub fn update(&mut self, backends: &Backends, index: usize) {
        let Some(at) = self.order.iter().position(|(_, known)| *known == index) else {
            return;
        };
        self.order.remove(at);
        let entry = (pending_prefill(backends, index), index);
        let at = self.order.partition_point(|other| *other < entry);
        self.order.insert(at, entry);
        self.idle.set(index, entry.0 == 0);
    }

    /// Engines with the tokens that each has to read, the least first.
    pub fn order(&self) -> impl Iterator<Item = (u64, usize)> + '_ {
        self.order.iter().copied()
    }

    /// How many of some engines there are, and how many of them have nothing to read.
    pub fn count_idle(&self, backends: &Backends, engines: &BackendSet) -> (usize, usize) {
        let all = engines.common(backends.usable()).count();
        (all, engines.common(&self.idle).count())
    }
}

fn pending_prefill(backends: &Backends, index: usize) -> u64 {
    backends.get(index).engine.pending_prefill()
}
