//! The newest changes of the configuration, for instances that follow it.

use std::collections::VecDeque;

use jaylock_rpc::v1::Change;

/// Changes that are at hand; a watcher that is further behind gets the whole configuration.
const MOST: usize = 256;

/// The newest changes, each made to the configuration of the one before.
#[derive(Debug, Default)]
pub struct Recent {
    changes: VecDeque<Change>,
}

impl Recent {
    /// Adds the newest change.
    pub fn push(&mut self, change: Change) {
        if self.changes.len() == MOST {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
    }

    /// All changes to the configuration of an index, unless they are no longer at hand.
    ///
    /// Index 0 has none: a watcher that holds nothing does not know the first members either.
    pub fn after(&self, index: u64) -> Option<Vec<Change>> {
        if index == 0 {
            return None;
        }
        let first = self
            .changes
            .binary_search_by_key(&index, |c| c.prior_index)
            .ok()?;
        Some(self.changes.range(first..).cloned().collect())
    }
}
