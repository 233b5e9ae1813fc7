//! The newest changes of the configuration, for instances that watch it.

use std::collections::VecDeque;

use bytes::Bytes;
use jaylock_rpc::v1::Change;
use prost::Message;

/// Maximum number of changes kept; a watcher that is further behind gets the whole configuration.
const MAX_CHANGES: usize = 256;

/// Maximum size of the changes kept, in bytes of their encoding.
const MAX_BYTES: usize = 512 << 10;

/// The newest changes without gaps: each applies to the result of the one before it.
#[derive(Debug, Default)]
pub struct RecentChanges {
    changes: VecDeque<RecentChange>,
    /// Size of the changes in their encoding.
    bytes: usize,
}

#[derive(Debug)]
struct RecentChange {
    prior_index: u64,
    /// A message [`Change`].
    encoding: Bytes,
}

impl RecentChanges {
    pub fn push(&mut self, change: &Change) {
        let size = change.encoded_len();
        if size > MAX_BYTES {
            *self = Self::default();
            return;
        }
        self.bytes += size;
        self.changes.push_back(RecentChange {
            prior_index: change.prior_index,
            encoding: change.encode_to_vec().into(),
        });
        while self.changes.len() > MAX_CHANGES || self.bytes > MAX_BYTES {
            let Some(oldest) = self.changes.pop_front() else {
                return;
            };
            self.bytes -= oldest.encoding.len();
        }
    }

    /// Size of the changes in their encoding.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Encodings of all changes since the configuration with `index`, unless they are no longer kept.
    ///
    /// Returns `None` for index 0: such a watcher also lacks the initial members, which are in no
    /// change.
    pub fn after(&self, index: u64) -> Option<impl Iterator<Item = &Bytes>> {
        if index == 0 {
            return None;
        }
        let first = self
            .changes
            .binary_search_by_key(&index, |c| c.prior_index)
            .ok()?;
        Some(self.changes.range(first..).map(|c| &c.encoding))
    }
}
