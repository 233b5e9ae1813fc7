use std::collections::VecDeque;

use compact_str::CompactString;
use jaylock_rpc::v1::Applied;

use crate::storage::Answer;

/// Answers that are remembered.
const LIMIT: usize = 10_000;

/// Answers to the newest commands, so that a resend gets the first one.
///
/// A resend that comes after its answer was forgotten is not applied twice: under an expected
/// revision it conflicts, and an id that is a UUID of version 7 shows that it is too old. A sender
/// that uses neither must not resend after 10,000 further changes.
#[derive(Debug, Default)]
pub struct Answers {
    /// Sorted by id.
    known: Vec<Known>,
    /// Ids, oldest first.
    order: VecDeque<CompactString>,
    forgotten_ms: u64,
}

#[derive(Debug)]
struct Known {
    id: CompactString,
    applied: Applied,
    at_ms: u64,
}

impl Answers {
    pub fn restore(records: Vec<Answer>, forgotten_ms: u64) -> Self {
        let mut answers = Self {
            forgotten_ms,
            ..Self::default()
        };
        for record in records {
            let applied = record.applied.unwrap_or_default();
            answers.remember(&record.id, applied, record.at_ms);
        }
        answers
    }

    pub fn records(&self) -> Vec<Answer> {
        let known = self.order.iter().filter_map(|id| self.known(id));
        let record = |known: &Known| Answer {
            id: known.id.clone().into(),
            applied: Some(known.applied.clone()),
            at_ms: known.at_ms,
        };
        known.map(record).collect()
    }

    /// Time of the newest answer that was forgotten.
    pub fn forgotten_ms(&self) -> u64 {
        self.forgotten_ms
    }

    pub fn find(&self, id: &str) -> Option<&Applied> {
        self.known(id).map(|known| &known.applied)
    }

    /// Whether a command under this id may have had an answer that was forgotten.
    pub fn is_forgotten(&self, id: &str) -> bool {
        key_time(id).is_some_and(|ms| ms <= self.forgotten_ms)
    }

    pub fn remember(&mut self, id: &str, applied: Applied, at_ms: u64) {
        let Err(at) = self.position(id) else {
            return;
        };
        let id = CompactString::from(id);
        self.order.push_back(id.clone());
        self.known.insert(at, Known { id, applied, at_ms });
        if self.order.len() > LIMIT {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some(id) = self.order.pop_front() else {
            return;
        };
        if let Ok(at) = self.position(&id) {
            let known = self.known.remove(at);
            self.forgotten_ms = self.forgotten_ms.max(known.at_ms);
        }
    }

    fn known(&self, id: &str) -> Option<&Known> {
        self.position(id).ok().map(|at| &self.known[at])
    }

    fn position(&self, id: &str) -> Result<usize, usize> {
        self.known.binary_search_by(|k| k.id.as_str().cmp(id))
    }
}

/// Time within a text that is a UUID of version 7, Unix ms.
pub fn key_time(text: &str) -> Option<u64> {
    let uuid = uuid::Uuid::try_parse(text).ok()?;
    if uuid.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    Some(seconds * 1000 + u64::from(nanos) / 1_000_000)
}
