use compact_str::CompactString;
use jaylock_rpc::v1::{Ask, LoadedModel};

use crate::backend::BackendSet;

/// Position of a demand in the list of demands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct DemandKey(pub u32);

/// What a request needs of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Need {
    model: CompactString,
    version: CompactString,
    adapter: CompactString,
}

impl Need {
    /// What a request needs.
    pub fn of(ask: &Ask) -> Self {
        Self {
            model: ask.model.as_str().into(),
            version: ask.version.as_str().into(),
            adapter: ask.adapter.as_str().into(),
        }
    }

    /// An empty model, version or adapter means any.
    pub fn is_met(&self, loaded: &[LoadedModel]) -> bool {
        self.model.is_empty() || loaded.iter().any(|one| self.is_met_by(one))
    }

    fn is_met_by(&self, loaded: &LoadedModel) -> bool {
        let any_version = self.version.is_empty() || self.version == loaded.version;
        let has_adapter = || loaded.adapters.iter().any(|a| self.adapter == a.as_str());
        self.model == loaded.model && any_version && (self.adapter.is_empty() || has_adapter())
    }
}

/// The kinds of demand of a pool, each with the backend servers that meet it.
#[derive(Debug, Default)]
pub struct Demands {
    list: Vec<(Need, BackendSet)>,
    // Sorted by need.
    order: Vec<DemandKey>,
}

impl Demands {
    /// Finds the key of what a request needs.
    pub fn find(&self, ask: &Ask) -> Option<DemandKey> {
        self.search(&Need::of(ask)).ok().map(|at| self.order[at])
    }

    /// Adds what a request needs, with the backend servers that meet it.
    pub fn add<'a>(
        &mut self,
        ask: &Ask,
        backends: impl Iterator<Item = (usize, &'a [LoadedModel])>,
    ) -> DemandKey {
        let need = Need::of(ask);
        let at = match self.search(&need) {
            Ok(at) => return self.order[at],
            Err(at) => at,
        };
        let mut set = BackendSet::default();
        for (place, loaded) in backends {
            set.set(place, need.is_met(loaded));
        }
        let key = DemandKey(u32::try_from(self.list.len()).unwrap_or(u32::MAX));
        self.list.push((need, set));
        self.order.insert(at, key);
        key
    }

    /// The backend servers that meet a demand.
    pub fn backends(&self, key: DemandKey) -> &BackendSet {
        &self.list[key.0 as usize].1
    }

    /// Notes what a backend server has loaded.
    pub fn update(&mut self, place: usize, loaded: &[LoadedModel]) {
        for (need, set) in &mut self.list {
            set.set(place, need.is_met(loaded));
        }
    }

    fn search(&self, need: &Need) -> Result<usize, usize> {
        self.order
            .binary_search_by(|key| self.list[key.0 as usize].0.cmp(need))
    }
}
