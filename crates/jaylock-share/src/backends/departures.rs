use std::time::Duration;

use compact_str::CompactString;
use jaylock_rpc::v1::{Configuration, Departure};

use crate::backends::backend::MAX_HEARTBEAT_DELAY;

/// The starts of a pool's backend servers that take no requests any more, as the replicated log says.
#[derive(Debug, Default)]
pub struct Departures {
    // Sorted by backend server.
    list: Vec<Departed>,
    // Highest log index of a departure.
    index: u64,
}

#[derive(Debug)]
struct Departed {
    backend: CompactString,
    // The newest start that has departed.
    incarnation: u64,
}

impl Departures {
    /// The departures of a pool's backend servers in a configuration.
    pub fn new(configuration: &Configuration, pool: &str) -> Self {
        let list = of_pool(configuration, pool).map(|departure| Departed {
            backend: departure.backend.as_str().into(),
            incarnation: departure.incarnation,
        });
        let indices = of_pool(configuration, pool).map(|departure| departure.index);
        Self {
            list: list.collect(),
            index: indices.max().unwrap_or(0),
        }
    }

    /// Backend servers of which a newer configuration says at some Unix time in ms that an unknown start has departed, so
    /// lately that heartbeats from before may still arrive.
    pub fn new_unknown(
        &self,
        configuration: &Configuration,
        pool: &str,
        unix_ms: u64,
    ) -> Vec<CompactString> {
        let age = |at_ms: u64| Duration::from_millis(unix_ms.saturating_sub(at_ms));
        let unknown = of_pool(configuration, pool)
            .filter(|departure| departure.unknown && departure.index > self.index)
            .filter(|departure| age(departure.at_ms) < MAX_HEARTBEAT_DELAY);
        unknown
            .map(|departure| departure.backend.as_str().into())
            .collect()
    }

    /// The newest start of a backend server that has departed; 0 if none is known.
    pub fn newest(&self, backend: &str) -> u64 {
        let search = self
            .list
            .binary_search_by(|known| known.backend.as_str().cmp(backend));
        search.map_or(0, |position| self.list[position].incarnation)
    }

    /// Whether a start of a backend server has departed.
    pub fn contains(&self, backend: &str, incarnation: u64) -> bool {
        self.newest(backend) >= incarnation.max(1)
    }
}

fn of_pool<'a>(
    configuration: &'a Configuration,
    pool: &'a str,
) -> impl Iterator<Item = &'a Departure> {
    let all = configuration.departures.iter();
    all.filter(move |departure| departure.pool.is_empty() || departure.pool == pool)
}
