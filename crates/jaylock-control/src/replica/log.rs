use std::collections::VecDeque;

use jaylock_rpc::v1::Entry;

/// Maximum number of entries in one message.
const MAX_BATCH_ENTRIES: usize = 512;

/// Size of the entries after which no further entry is added to a message.
const BATCH_TARGET_BYTES: usize = 1 << 20;

/// Log entries in memory, which follow a base entry that is part of a snapshot.
#[derive(Debug, Default)]
pub struct Log {
    base_index: u64,
    base_term: u64,
    entries: VecDeque<Entry>,
    /// Index of the last entry synced to the disk.
    synced: u64,
}

impl Log {
    /// An empty log whose base is an entry that is already on the disk in a snapshot.
    pub fn starting_after(index: u64, term: u64) -> Self {
        Self {
            base_index: index,
            base_term: term,
            entries: VecDeque::new(),
            synced: index,
        }
    }

    /// Builds a log from entries read from the disk, in the order in which they were written.
    ///
    /// Returns `None` when an entry is missing.
    pub fn restore(index: u64, term: u64, entries: Vec<Entry>) -> Option<Self> {
        let mut log = Self::starting_after(index, term);
        for entry in entries {
            if entry.index <= log.base_index {
                continue;
            }
            if entry.index > log.last_index() + 1 {
                return None;
            }
            log.truncate(entry.index - 1);
            log.push(entry);
        }
        log.synced = log.last_index();
        Some(log)
    }

    pub fn base_index(&self) -> u64 {
        self.base_index
    }

    pub fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    pub fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    pub fn synced(&self) -> u64 {
        self.synced
    }

    pub fn set_synced(&mut self, index: u64) {
        self.synced = index.min(self.last_index());
    }

    /// Term of the entry at `index`; `None` before the base and after the end.
    pub fn term(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|e| e.term)
    }

    pub fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base_index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.entries.push_back(entry);
    }

    /// Removes the entries after `index`.
    pub fn truncate(&mut self, index: u64) {
        let count = index.saturating_sub(self.base_index);
        self.entries
            .truncate(usize::try_from(count).unwrap_or(usize::MAX));
        self.synced = self.synced.min(self.last_index());
    }

    /// Removes the entries up to `index` and moves the base there.
    pub fn compact(&mut self, index: u64) {
        while self.base_index < index {
            let Some(entry) = self.entries.pop_front() else {
                return;
            };
            self.base_index = entry.index;
            self.base_term = entry.term;
        }
    }

    /// The entries after an index that fit in one message.
    pub fn batch(&self, after: u64) -> Vec<Entry> {
        let mut bytes = 0;
        let skipped = usize::try_from(after.saturating_sub(self.base_index)).unwrap_or(usize::MAX);
        let fits = |entry: &&Entry| {
            let before = bytes;
            bytes += prost::Message::encoded_len(*entry);
            before < BATCH_TARGET_BYTES
        };
        let candidates = self.entries.iter().skip(skipped).take(MAX_BATCH_ENTRIES);
        candidates.take_while(fits).cloned().collect()
    }

    /// All entries after an index.
    pub fn entries_after(&self, after: u64) -> Vec<Entry> {
        let skipped = usize::try_from(after.saturating_sub(self.base_index)).unwrap_or(usize::MAX);
        self.entries.iter().skip(skipped).cloned().collect()
    }
}
