//! Departures of backend servers, which must not be forgotten when the processes that heard of them end.

use jaylock_rpc::v1::{Configuration, Departure};

/// Time for which a departure is kept, longer than any report from before it may be on its way.
const RETENTION_MS: u64 = 10 * 60 * 1000;
/// Departures that are kept; beyond this number the oldest gives way.
const MAX_DEPARTURES: usize = 4096;

/// Whether a start of a backend server is known to have departed.
#[must_use]
pub fn has_departed(configuration: &Configuration, backend: &str, incarnation: u64) -> bool {
    let list = &configuration.departures;
    let search = list.binary_search_by(|known| known.backend.as_str().cmp(backend));
    search.is_ok_and(|position| incarnation <= list[position].incarnation)
}

/// Adds a departure, and drops those that are too old.
pub fn put_departure(next: &mut Configuration, departure: &Departure, index: u64, at_ms: u64) {
    let list = &mut next.departures;
    list.retain(|known| known.at_ms.saturating_add(RETENTION_MS) > at_ms);
    let mut entry = Departure {
        index,
        at_ms,
        ..departure.clone()
    };
    match list.binary_search_by(|known| known.backend.cmp(&entry.backend)) {
        Ok(position) => {
            entry.incarnation = entry.incarnation.max(list[position].incarnation);
            list[position] = entry;
        }
        Err(position) => list.insert(position, entry),
    }
    if list.len() > MAX_DEPARTURES {
        let ages = list.iter().enumerate();
        let oldest = ages.min_by_key(|(_, known)| known.index);
        let position = oldest.map_or(0, |(position, _)| position);
        list.remove(position);
    }
}
