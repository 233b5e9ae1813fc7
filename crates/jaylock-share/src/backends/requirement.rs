use compact_str::CompactString;
use jaylock_rpc::v1::{Ask, BackendReport, LoadedModel};

use crate::backends::backend_set::BackendSet;

/// Index of a requirement in the list of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequirementKey(pub u32);

/// What a request needs at a backend server: a model, and the software that began its stream.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Requirement {
    model: ModelRequirement,
    software: Option<CompactString>,
}

/// Model, version and adapter that a request needs; an empty one means any.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct ModelRequirement {
    model: CompactString,
    version: CompactString,
    adapter: CompactString,
}

impl Requirement {
    /// Returns the requirement of a request.
    pub fn from_ask(ask: &Ask) -> Self {
        Self {
            model: ModelRequirement {
                model: ask.model.as_str().into(),
                version: ask.version.as_str().into(),
                adapter: ask.adapter.as_str().into(),
            },
            software: ask.software.as_deref().map(Into::into),
        }
    }

    /// Whether a backend server meets the requirement.
    pub fn is_met(&self, report: &BackendReport) -> bool {
        self.allows_software(&report.software) && self.model.is_met(&report.models)
    }

    /// Whether a slot that met another requirement, at a backend server with this software, meets this one.
    pub fn is_met_by_slot(&self, other: &Self, software: &str) -> bool {
        self.allows_software(software) && self.model == other.model
    }

    fn allows_software(&self, software: &str) -> bool {
        self.software.as_ref().is_none_or(|s| s == software)
    }
}

impl ModelRequirement {
    fn is_met(&self, loaded_models: &[LoadedModel]) -> bool {
        self.model.is_empty() || loaded_models.iter().any(|model| self.is_met_by(model))
    }

    fn is_met_by(&self, loaded_model: &LoadedModel) -> bool {
        let is_version_met = self.version.is_empty() || self.version == loaded_model.version;
        let has_adapter = || {
            loaded_model
                .adapters
                .iter()
                .any(|a| self.adapter == a.as_str())
        };
        self.model == loaded_model.model
            && is_version_met
            && (self.adapter.is_empty() || has_adapter())
    }
}

/// The requirements of a pool's requests, each with the backend servers that meet it.
#[derive(Debug, Default)]
pub struct Requirements {
    list: Vec<(Requirement, BackendSet)>,
    // Sorted by requirement.
    order: Vec<RequirementKey>,
}

impl Requirements {
    /// Finds the key of a request's requirement.
    pub fn find(&self, ask: &Ask) -> Option<RequirementKey> {
        self.search(&Requirement::from_ask(ask))
            .ok()
            .map(|position| self.order[position])
    }

    /// Adds the requirement of a request, with the backend servers that meet it.
    pub fn add<'a>(
        &mut self,
        ask: &Ask,
        backends: impl Iterator<Item = (usize, &'a BackendReport)>,
    ) -> RequirementKey {
        let requirement = Requirement::from_ask(ask);
        let position = match self.search(&requirement) {
            Ok(position) => return self.order[position],
            Err(position) => position,
        };
        let mut set = BackendSet::default();
        for (index, report) in backends {
            set.set(index, requirement.is_met(report));
        }
        let key = RequirementKey(u32::try_from(self.list.len()).unwrap_or(u32::MAX));
        self.list.push((requirement, set));
        self.order.insert(position, key);
        key
    }

    /// The backend servers that meet a requirement.
    pub fn backends(&self, key: RequirementKey) -> &BackendSet {
        &self.list[key.0 as usize].1
    }

    /// Whether a requirement names a version of the software.
    pub fn needs_software(&self, key: RequirementKey) -> bool {
        self.list[key.0 as usize].0.software.is_some()
    }

    /// Updates whether a backend server meets each requirement.
    pub fn update(&mut self, index: usize, report: &BackendReport) {
        for (requirement, set) in &mut self.list {
            set.set(index, requirement.is_met(report));
        }
    }

    fn search(&self, requirement: &Requirement) -> Result<usize, usize> {
        self.order
            .binary_search_by(|key| self.list[key.0 as usize].0.cmp(requirement))
    }
}
