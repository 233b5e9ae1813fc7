use std::collections::VecDeque;

use jaylock_rpc::v1::Entry;

/// Entries of one message at most.
const BATCH_ENTRIES: usize = 512;

/// Bytes of one message, about.
const BATCH_BYTES: usize = 1 << 20;

/// The entries after a base, in memory.
#[derive(Debug, Default)]
pub struct Log {
    base_index: u64,
    base_term: u64,
    entries: VecDeque<Entry>,
    /// Last index on the disk.
    synced: u64,
}

impl Log {
    /// An empty log after an entry that is on the disk in some other form.
    pub fn after(index: u64, term: u64) -> Self {
        Self {
            base_index: index,
            base_term: term,
            entries: VecDeque::new(),
            synced: index,
        }
    }

    /// A log with entries read from disk, in the order in which they were written.
    ///
    /// `None` when one is missing between.
    pub fn restore(index: u64, term: u64, entries: Vec<Entry>) -> Option<Self> {
        let mut log = Self::after(index, term);
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

    /// Term of an entry; `None` before the base and after the end.
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

    /// Drops what stands after an index.
    pub fn truncate(&mut self, index: u64) {
        let kept = index.saturating_sub(self.base_index);
        self.entries
            .truncate(usize::try_from(kept).unwrap_or(usize::MAX));
        self.synced = self.synced.min(self.last_index());
    }

    /// Forgets what stands up to an index.
    pub fn forget(&mut self, index: u64) {
        while self.base_index < index {
            let Some(entry) = self.entries.pop_front() else {
                return;
            };
            self.base_index = entry.index;
            self.base_term = entry.term;
        }
    }

    /// Entries after an index, as many as one message takes.
    pub fn batch(&self, after: u64) -> Vec<Entry> {
        let mut bytes = 0;
        let skipped = usize::try_from(after.saturating_sub(self.base_index)).unwrap_or(usize::MAX);
        let fits = |entry: &&Entry| {
            let before = bytes;
            bytes += prost::Message::encoded_len(*entry);
            before < BATCH_BYTES
        };
        let rest = self.entries.iter().skip(skipped).take(BATCH_ENTRIES);
        rest.take_while(fits).cloned().collect()
    }

    /// Every entry after an index.
    pub fn rest(&self, after: u64) -> Vec<Entry> {
        let skipped = usize::try_from(after.saturating_sub(self.base_index)).unwrap_or(usize::MAX);
        self.entries.iter().skip(skipped).cloned().collect()
    }
}
