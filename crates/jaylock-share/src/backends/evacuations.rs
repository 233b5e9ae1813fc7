use compact_str::CompactString;
use jaylock_control::is_evacuated;
use jaylock_rpc::v1::Configuration;

/// The failure domains to whose backend servers nothing is sent.
#[derive(Debug, Default)]
pub struct Evacuations {
    // Sorted by domain.
    orders: Vec<Order>,
    is_total: bool,
}

/// The last order about a failure domain.
#[derive(Debug)]
struct Order {
    domain: CompactString,
    // Log index.
    index: u64,
    is_evacuated: bool,
}

impl Evacuations {
    /// The orders of a configuration.
    pub fn new(configuration: &Configuration) -> Self {
        let orders = configuration.evacuations.iter().map(|entry| Order {
            domain: entry.domain.as_str().into(),
            index: entry.index,
            is_evacuated: entry.since_ms > 0,
        });
        let mut domains = configuration.domains.iter();
        Self {
            orders: orders.collect(),
            is_total: !configuration.domains.is_empty()
                && domains.all(|domain| is_evacuated(configuration, domain)),
        }
    }

    /// Whether a failure domain is evacuated.
    pub fn contains(&self, domain: &str) -> bool {
        self.find(domain).is_some_and(|order| order.is_evacuated)
    }

    /// Log index of the last order about a failure domain; `None` if there was none.
    pub fn index(&self, domain: &str) -> Option<u64> {
        self.find(domain).map(|order| order.index)
    }

    /// Whether all failure domains of the fleet are evacuated, so that no backend server may be used.
    pub fn is_total(&self) -> bool {
        self.is_total
    }

    fn find(&self, domain: &str) -> Option<&Order> {
        let search = self
            .orders
            .binary_search_by(|order| order.domain.as_str().cmp(domain));
        search.ok().map(|position| &self.orders[position])
    }
}
