use std::collections::VecDeque;

use compact_str::CompactString;
use jaylock_rpc::v1::Applied;

use crate::storage::StoredResult;

/// Maximum number of results kept.
const MAX_RESULTS: usize = 10_000;

/// Results of the newest commands, so that a retry gets the result of the first try.
///
/// A retry whose result was evicted is not applied twice if the command has an expected revision,
/// which then conflicts, or an id that is a UUID of version 7, which shows that the command is too
/// old. A sender that uses neither must not retry after 10,000 further changes.
#[derive(Debug, Default)]
pub struct Results {
    /// Sorted by id.
    entries: Vec<CachedResult>,
    /// Ids, oldest first.
    order: VecDeque<CompactString>,
    evicted_ms: u64,
}

#[derive(Debug)]
struct CachedResult {
    id: CompactString,
    applied: Applied,
    at_ms: u64,
}

impl Results {
    pub fn restore(records: Vec<StoredResult>, evicted_ms: u64) -> Self {
        let mut results = Self {
            evicted_ms,
            ..Self::default()
        };
        for record in records {
            let applied = record.applied.unwrap_or_default();
            results.insert(&record.id, applied, record.at_ms);
        }
        results
    }

    pub fn to_records(&self) -> Vec<StoredResult> {
        let entries = self.order.iter().filter_map(|id| self.entry(id));
        let record = |entry: &CachedResult| StoredResult {
            id: entry.id.clone().into(),
            applied: Some(entry.applied.clone()),
            at_ms: entry.at_ms,
        };
        entries.map(record).collect()
    }

    /// Time of the newest result that was evicted.
    pub fn evicted_ms(&self) -> u64 {
        self.evicted_ms
    }

    pub fn find(&self, id: &str) -> Option<&Applied> {
        self.entry(id).map(|entry| &entry.applied)
    }

    /// Whether the result of a command with this id may have been evicted.
    pub fn may_be_evicted(&self, id: &str) -> bool {
        uuid_time_ms(id).is_some_and(|ms| ms <= self.evicted_ms)
    }

    pub fn insert(&mut self, id: &str, applied: Applied, at_ms: u64) {
        let Err(position) = self.position(id) else {
            return;
        };
        let id = CompactString::from(id);
        self.order.push_back(id.clone());
        self.entries
            .insert(position, CachedResult { id, applied, at_ms });
        if self.order.len() > MAX_RESULTS {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        let Some(id) = self.order.pop_front() else {
            return;
        };
        if let Ok(position) = self.position(&id) {
            let entry = self.entries.remove(position);
            self.evicted_ms = self.evicted_ms.max(entry.at_ms);
        }
    }

    fn entry(&self, id: &str) -> Option<&CachedResult> {
        self.position(id)
            .ok()
            .map(|position| &self.entries[position])
    }

    fn position(&self, id: &str) -> Result<usize, usize> {
        self.entries.binary_search_by(|k| k.id.as_str().cmp(id))
    }
}

/// Time embedded in a version 7 UUID, in Unix ms; `None` for other texts.
pub fn uuid_time_ms(text: &str) -> Option<u64> {
    let uuid = uuid::Uuid::try_parse(text).ok()?;
    if uuid.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    Some(seconds * 1000 + u64::from(nanos) / 1_000_000)
}
