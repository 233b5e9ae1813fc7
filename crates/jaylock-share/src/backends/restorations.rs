use std::time::{Duration, Instant};

use compact_str::CompactString;
use jaylock_rpc::v1::{Configuration, Evacuation};

/// Time since a restoration from which a new scheduler ignores it; it exceeds the differences between clocks.
const RECENT: Duration = Duration::from_mins(1);

/// Restorations of failure domains, after which their backend servers may be cold.
#[derive(Debug, Default)]
pub struct Restorations {
    // Sorted by domain.
    list: Vec<Restoration>,
    is_configured: bool,
}

#[derive(Debug)]
struct Restoration {
    domain: CompactString,
    // Log index of the order.
    index: u64,
    // Unset if it was long before this scheduler.
    at: Option<Instant>,
}

impl Restorations {
    /// Applies a configuration at some Unix time in ms; returns the domains that were restored since the last one.
    ///
    /// A new scheduler only regards those that were restored lately.
    pub fn update(
        &mut self,
        configuration: &Configuration,
        unix_ms: u64,
        now: Instant,
    ) -> Vec<CompactString> {
        let is_first = !std::mem::replace(&mut self.is_configured, true);
        let known = std::mem::take(&mut self.list);
        let mut new_domains = Vec::new();
        let entries = configuration.evacuations.iter();
        for entry in entries.filter(|entry| entry.since_ms == 0 && entry.restored_ms > 0) {
            let is_same = |k: &&Restoration| k.domain == entry.domain && k.index == entry.index;
            let at = match known.iter().find(is_same) {
                Some(same) => same.at,
                None if is_first && is_old(entry, unix_ms) => None,
                None => {
                    new_domains.push(entry.domain.as_str().into());
                    Some(now)
                }
            };
            self.list.push(Restoration {
                domain: entry.domain.as_str().into(),
                index: entry.index,
                at,
            });
        }
        new_domains
    }

    /// When a domain was restored last, as far as this scheduler knows.
    pub fn find(&self, domain: &str) -> Option<Instant> {
        let search = self
            .list
            .binary_search_by(|known| known.domain.as_str().cmp(domain));
        self.list[search.ok()?].at
    }
}

fn is_old(entry: &Evacuation, unix_ms: u64) -> bool {
    Duration::from_millis(unix_ms.saturating_sub(entry.restored_ms)) >= RECENT
}
