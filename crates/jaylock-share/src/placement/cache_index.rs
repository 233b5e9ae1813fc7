use jaylock_rpc::v1::Ask;

use crate::backends::backend::Backend;
use crate::backends::backend_set::BackendSet;
use crate::placement::engine::CacheChange;

/// Parts that are indexed; beyond this number those that no engine caches are dropped, and then all.
const MAX_PARTS: usize = 32_768;

/// Index of the engines that cache each part, for parts that prompts share.
///
/// With hundreds of engines a decision then examines only those that cache a part and the least loaded ones.
#[derive(Debug, Default)]
pub struct CacheIndex {
    // Sorted by hash.
    list: Vec<(u64, BackendSet)>,
}

impl CacheIndex {
    /// Engines that cache a part; `None` if the part is not indexed.
    pub fn engines(&self, hash: u64) -> Option<&BackendSet> {
        let position = self.find(hash).ok()?;
        Some(&self.list[position].1)
    }

    /// Adds the shared parts of a prompt to the index.
    pub fn index_parts(&mut self, ask: &Ask, backends: &[Backend]) {
        for part in shared_parts(ask) {
            if let Err(position) = self.find(part) {
                let mut set = BackendSet::default();
                for (index, backend) in backends.iter().enumerate() {
                    set.set(index, backend.engine.has_part(part));
                }
                self.list.insert(position, (part, set));
            }
        }
        if self.list.len() > MAX_PARTS {
            self.list.retain(|(_, engines)| !engines.is_empty());
        }
        if self.list.len() > MAX_PARTS {
            self.list.clear();
        }
    }

    /// Applies changes of an engine's cache.
    pub fn apply_changes(&mut self, index: usize, changes: Vec<CacheChange>) {
        for change in changes {
            if let Ok(position) = self.find(change.hash) {
                self.list[position].1.set(index, change.is_cached);
            }
        }
    }

    fn find(&self, hash: u64) -> Result<usize, usize> {
        self.list.binary_search_by_key(&hash, |(known, _)| *known)
    }
}

/// Hashes of the parts that other prompts may share: all but the last one, which is the request's own.
///
/// A single part counts as shared.
pub fn shared_parts(ask: &Ask) -> impl Iterator<Item = u64> + '_ {
    let shared = ask.parts.len().saturating_sub(1).max(1);
    ask.parts.iter().take(shared).map(|part| part.hash)
}
