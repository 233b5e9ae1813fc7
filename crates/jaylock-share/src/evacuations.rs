use compact_str::CompactString;
use jaylock_rpc::v1::Configuration;

/// Whether an operator has ordered that nothing is sent to the backend servers of a failure domain.
#[must_use]
pub fn is_evacuated(configuration: &Configuration, domain: &str) -> bool {
    let entries = &configuration.evacuations;
    let search = entries.binary_search_by(|entry| entry.domain.as_str().cmp(domain));
    search.is_ok_and(|position| entries[position].since_ms > 0)
}

/// The failure domains to whose backend servers nothing is sent.
#[derive(Debug, Default)]
pub struct Evacuations {
    // Sorted.
    domains: Vec<CompactString>,
    is_total: bool,
}

impl Evacuations {
    /// The evacuated domains of a configuration.
    pub fn new(configuration: &Configuration) -> Self {
        let entries = configuration.evacuations.iter();
        let evacuated = entries.filter(|entry| entry.since_ms > 0);
        let domains = &configuration.domains;
        Self {
            domains: evacuated
                .map(|entry| entry.domain.as_str().into())
                .collect(),
            is_total: !domains.is_empty() && domains.iter().all(|d| is_evacuated(configuration, d)),
        }
    }

    /// Whether a failure domain is evacuated.
    pub fn contains(&self, domain: &str) -> bool {
        let search = self
            .domains
            .binary_search_by(|known| known.as_str().cmp(domain));
        search.is_ok()
    }

    /// Whether all failure domains of the fleet are evacuated, so that no backend server may be used.
    pub fn is_total(&self) -> bool {
        self.is_total
    }
}
