use jaylock_rpc::v1::Ask;

use crate::backend::{Backend, BackendSet};
use crate::engine::CacheChange;

/// Parts that are remembered; beyond it those that nobody keeps are forgotten, and then all.
const MAX_PARTS: usize = 32_768;

/// Which engines keep which parts, for the parts that prompts share with others.
///
/// For pools of hundreds of engines: a decision then looks at the few that keep a part and at the least busy ones.
#[derive(Debug, Default)]
pub struct CacheIndex {
    // Sorted by hash.
    list: Vec<(u64, BackendSet)>,
}

impl CacheIndex {
    /// Engines that keep a part; none where it was never looked up.
    pub fn engines(&self, hash: u64) -> Option<&BackendSet> {
        let at = self.find(hash).ok()?;
        Some(&self.list[at].1)
    }

    /// Looks up who keeps the shared parts of a prompt.
    pub fn index_parts(&mut self, ask: &Ask, backends: &[Backend]) {
        for part in shared_parts(ask) {
            if let Err(at) = self.find(part) {
                let mut set = BackendSet::default();
                for (index, backend) in backends.iter().enumerate() {
                    set.set(index, backend.engine.has_part(part));
                }
                self.list.insert(at, (part, set));
            }
        }
        if self.list.len() > MAX_PARTS {
            self.list.retain(|(_, engines)| !engines.is_empty());
        }
        if self.list.len() > MAX_PARTS {
            self.list.clear();
        }
    }

    /// Notes what an engine has begun or ceased to keep.
    pub fn apply_changes(&mut self, index: usize, changes: Vec<CacheChange>) {
        for change in changes {
            if let Ok(at) = self.find(change.hash) {
                self.list[at].1.set(index, change.is_cached);
            }
        }
    }

    fn find(&self, hash: u64) -> Result<usize, usize> {
        self.list.binary_search_by_key(&hash, |(known, _)| *known)
    }
}

/// Hashes of the parts that other prompts may share: all but the last, which is the request's own.
pub fn shared_parts(ask: &Ask) -> impl Iterator<Item = u64> + '_ {
    let shared = ask.parts.len().saturating_sub(1).max(1);
    ask.parts.iter().take(shared).map(|part| part.hash)
}
