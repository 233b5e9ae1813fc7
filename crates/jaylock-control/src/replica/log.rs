use std::collections::VecDeque;

use crate::storage::{EncodedEntry, FRAME_TARGET_BYTES};

/// Maximum number of entries in one message.
const MAX_BATCH_ENTRIES: usize = 512;

/// Size of the entries after which no further entry is added to a message.
const BATCH_TARGET_BYTES: u64 = FRAME_TARGET_BYTES as u64;

/// Log entries in memory, which follow a base entry that is part of a snapshot.
#[derive(Debug, Default)]
pub struct Log {
    base_index: u64,
    base_term: u64,
    /// Where the entries begin among all bytes ever counted.
    base_offset: u64,
    entries: VecDeque<LogEntry>,
    /// Index of the last entry synced to the disk.
    synced: u64,
}

/// An entry, and where it ends among all bytes ever counted.
#[derive(Debug)]
struct LogEntry {
    entry: EncodedEntry,
    end_offset: u64,
}

/// How much of the log is kept before its last applied entry, for replicas that are slightly behind.
#[derive(Debug, Clone, Copy)]
pub struct Retention {
    /// Maximum number of entries.
    pub entries: u64,
    /// Maximum size of the entries in bytes.
    pub bytes: u64,
}

impl Log {
    /// An empty log whose base is an entry that is already on the disk in a snapshot.
    pub fn starting_after(index: u64, term: u64) -> Self {
        Self {
            base_index: index,
            base_term: term,
            synced: index,
            ..Self::default()
        }
    }

    /// Builds a log from entries read from the disk, in the order in which they were written.
    ///
    /// Those of an earlier term than the base can't follow it: they are what the log held before a snapshot was installed.
    /// Returns `None` when an entry is missing.
    pub fn restore(index: u64, term: u64, entries: Vec<EncodedEntry>) -> Option<Self> {
        let mut log = Self::starting_after(index, term);
        for entry in entries {
            if entry.index() <= log.base_index || entry.term() < log.base_term {
                log.truncate(log.base_index);
                continue;
            }
            if entry.index() > log.last_index() + 1 {
                return None;
            }
            log.truncate(entry.index() - 1);
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
        self.entries
            .back()
            .map_or(self.base_term, |e| e.entry.term())
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
        self.get(index).map(EncodedEntry::term)
    }

    pub fn get(&self, index: u64) -> Option<&EncodedEntry> {
        let offset = index.checked_sub(self.base_index + 1)?;
        let found = self.entries.get(usize::try_from(offset).ok()?)?;
        Some(&found.entry)
    }

    /// Size of all entries in bytes.
    pub fn bytes(&self) -> u64 {
        self.end_offset(self.last_index()) - self.base_offset
    }

    /// Size of the entries up to an index in bytes.
    pub fn bytes_until(&self, index: u64) -> u64 {
        self.end_offset(index) - self.base_offset
    }

    /// Size of the entries after an index in bytes.
    pub fn bytes_after(&self, index: u64) -> u64 {
        self.end_offset(self.last_index()) - self.end_offset(index)
    }

    pub fn push(&mut self, entry: EncodedEntry) {
        debug_assert_eq!(entry.index(), self.last_index() + 1);
        let end_offset = self.end_offset(self.last_index()) + entry.bytes().len() as u64;
        self.entries.push_back(LogEntry { entry, end_offset });
    }

    /// Removes the entries after `index`.
    pub fn truncate(&mut self, index: u64) {
        self.entries.truncate(self.position_after(index));
        self.synced = self.synced.min(self.last_index());
    }

    /// Removes the entries up to `index` and moves the base there.
    pub fn compact(&mut self, index: u64) {
        while self.base_index < index {
            let Some(removed) = self.entries.pop_front() else {
                return;
            };
            self.base_index = removed.entry.index();
            self.base_term = removed.entry.term();
            self.base_offset = removed.end_offset;
        }
    }

    /// The index up to which entries may be removed once those up to `applied` are in a snapshot.
    pub fn compaction_index(&self, applied: u64, retention: Retention) -> u64 {
        let end = self.end_offset(applied);
        let is_removable = |e: &LogEntry| {
            let index = e.entry.index();
            let is_too_old = index + retention.entries <= applied;
            index <= applied && (is_too_old || end - e.start_offset() > retention.bytes)
        };
        self.base_index + self.entries.partition_point(is_removable) as u64
    }

    /// The entries after an index that fit in one message.
    pub fn batch(&self, after: u64) -> Vec<EncodedEntry> {
        let start = self.end_offset(after);
        let fits = |e: &&LogEntry| e.start_offset() - start < BATCH_TARGET_BYTES;
        let candidates = self.iter_after(after).take(MAX_BATCH_ENTRIES);
        candidates
            .take_while(fits)
            .map(|e| e.entry.clone())
            .collect()
    }

    /// All entries after an index.
    pub fn entries_after(&self, after: u64) -> impl Iterator<Item = &EncodedEntry> {
        self.iter_after(after).map(|e| &e.entry)
    }

    fn iter_after(&self, after: u64) -> impl Iterator<Item = &LogEntry> {
        self.entries.iter().skip(self.position_after(after))
    }

    /// Position of the first entry after an index.
    fn position_after(&self, index: u64) -> usize {
        let count = index.saturating_sub(self.base_index);
        usize::try_from(count).unwrap_or(usize::MAX)
    }

    /// Where the entries up to an index end among all bytes ever counted.
    fn end_offset(&self, index: u64) -> u64 {
        let count = self.position_after(index).min(self.entries.len());
        let last = count.checked_sub(1).map(|at| &self.entries[at]);
        last.map_or(self.base_offset, |e| e.end_offset)
    }
}

impl LogEntry {
    fn start_offset(&self) -> u64 {
        self.end_offset - self.entry.bytes().len() as u64
    }
}
