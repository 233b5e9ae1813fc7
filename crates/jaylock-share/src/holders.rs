use jaylock_rpc::v1::Ask;

use crate::backend::{Backend, BackendSet};
use crate::engine::Change;

/// Parts that are remembered; beyond it those that nobody keeps are forgotten, and then all.
const MOST_PARTS: usize = 32_768;

/// Which engines keep which parts, for the parts that prompts share with others.
///
/// For pools of hundreds of engines: a decision then looks at the few that keep a part and at the least busy ones.
#[derive(Debug, Default)]
pub struct Holders {
    // Sorted by hash.
    list: Vec<(u64, BackendSet)>,
}

impl Holders {
    /// Engines that keep a part; none where it was never looked up.
    pub fn of(&self, hash: u64) -> Option<&BackendSet> {
        let at = self.find(hash).ok()?;
        Some(&self.list[at].1)
    }

    /// Looks up who keeps the shared parts of a prompt.
    pub fn look_up(&mut self, ask: &Ask, backends: &[Backend]) {
        for part in shared_parts(ask) {
            if let Err(at) = self.find(part) {
                let mut set = BackendSet::default();
                for (place, backend) in backends.iter().enumerate() {
                    set.set(place, backend.engine.keeps(part));
                }
                self.list.insert(at, (part, set));
            }
        }
        if self.list.len() > MOST_PARTS {
            self.list.retain(|(_, holders)| !holders.is_empty());
        }
        if self.list.len() > MOST_PARTS {
            self.list.clear();
        }
    }

    /// Notes what an engine has begun or ceased to keep.
    pub fn note(&mut self, place: usize, changes: Vec<Change>) {
        for change in changes {
            if let Ok(at) = self.find(change.hash) {
                self.list[at].1.set(place, change.is_kept);
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
