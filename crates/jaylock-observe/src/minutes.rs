use compact_str::CompactString;
use jaylock_rpc::v1::BurnMinute;
use jaylock_types::Incarnation;

use crate::clock::Minute;
use crate::objective::{ObjectiveKind, ObjectiveResult};
use crate::tally::Tally;

/// Retention of single minutes, in minutes.
pub const MINUTE_RETENTION_MINUTES: u64 = 6 * 60 + 5;
/// Retention of hourly totals, in minutes.
pub const HOUR_RETENTION_MINUTES: u64 = 3 * 24 * 60 + 60;
/// Span of an hourly total, in minutes.
pub const HOUR_SPAN_MINUTES: u32 = 60;
/// Span of an entry for a single minute, in minutes.
pub const MINUTE_SPAN_MINUTES: u32 = 1;
/// Maximum number of stored entries, including those of other instances.
const MAX_STORED: usize = 30_000;
/// Maximum number of entries that wait for replication to other instances.
const MAX_PENDING: usize = 4_000;

/// Stores the counts of the current minute and hour, and finished entries of all instances.
pub struct MinuteStore {
    instance: CompactString,
    incarnation: Incarnation,
    /// The current minute.
    minute: Minute,
    minute_counts: Vec<Counts>,
    hour_counts: Vec<Counts>,
    /// Finished entries, sorted by key.
    stored: Vec<BurnMinute>,
    /// Finished entries that are not yet replicated.
    pending: Vec<BurnMinute>,
}

/// Counts of one organisation and objective.
struct Counts {
    organisation: CompactString,
    kind: ObjectiveKind,
    tally: Tally,
}

impl MinuteStore {
    /// Creates an empty store whose counts start at a minute.
    pub fn new(instance: &str, incarnation: Incarnation, minute: Minute) -> Self {
        Self {
            instance: instance.into(),
            incarnation,
            minute,
            minute_counts: Vec::new(),
            hour_counts: Vec::new(),
            stored: Vec::new(),
            pending: Vec::new(),
        }
    }

    /// Counts the result of a request for an objective.
    pub fn record(&mut self, now: Minute, organisation: &str, result: &ObjectiveResult) {
        self.advance(now);
        for list in [&mut self.minute_counts, &mut self.hour_counts] {
            let tally = tally_mut(list, organisation, result.kind);
            tally.record(result.is_good, result.time);
        }
    }

    /// Finishes the current minute when it is over.
    pub fn advance(&mut self, now: Minute) {
        if now <= self.minute {
            return;
        }
        let ended = std::mem::replace(&mut self.minute, now);
        let mut finished = Vec::new();
        for counts in std::mem::take(&mut self.minute_counts) {
            finished.push(self.message(ended, MINUTE_SPAN_MINUTES, &counts));
            // The hourly total grows with each minute; instances that store it keep the largest.
            let hour = find(&self.hour_counts, &counts.organisation, counts.kind);
            if let Ok(index) = hour {
                finished.push(self.message(
                    ended.hour_start(),
                    HOUR_SPAN_MINUTES,
                    &self.hour_counts[index],
                ));
            }
        }
        if now.hour_start() != ended.hour_start() {
            self.hour_counts.clear();
        }
        self.pending.extend(finished.iter().cloned());
        let excess = self.pending.len().saturating_sub(MAX_PENDING);
        self.pending.drain(..excess);
        self.store(finished);
        self.remove_expired(now);
    }

    /// Stores entries of this or other instances; of two with the same key, the larger is kept.
    pub fn store(&mut self, minutes: Vec<BurnMinute>) {
        for minute in minutes {
            insert_larger(&mut self.stored, minute);
        }
        let excess = self.stored.len().saturating_sub(MAX_STORED);
        self.stored.drain(..excess);
    }

    /// Takes the entries finished since the last call, for replication to other instances.
    pub fn take_pending(&mut self, now: Minute) -> Vec<BurnMinute> {
        self.advance(now);
        std::mem::take(&mut self.pending)
    }

    /// All entries from a minute on, including those of the current minute and hour.
    pub fn since(&self, first: Minute) -> Vec<BurnMinute> {
        let end = |m: &BurnMinute| m.minute + u64::from(m.span);
        let stored = self.stored.iter().filter(|m| end(m) > first.0);
        let mut found: Vec<BurnMinute> = stored.cloned().collect();
        for counts in &self.minute_counts {
            found.push(self.message(self.minute, MINUTE_SPAN_MINUTES, counts));
        }
        for counts in &self.hour_counts {
            let hour = self.message(self.minute.hour_start(), HOUR_SPAN_MINUTES, counts);
            insert_larger(&mut found, hour);
        }
        found
    }

    /// Creates an entry to store and send; only hourly totals have a histogram.
    fn message(&self, minute: Minute, span: u32, counts: &Counts) -> BurnMinute {
        let histogram = if span == HOUR_SPAN_MINUTES {
            counts.tally.encode_histogram()
        } else {
            Vec::new()
        };
        BurnMinute {
            minute: minute.0,
            span,
            organisation: counts.organisation.to_string(),
            objective: counts.kind.name().into(),
            good: counts.tally.good,
            bad: counts.tally.bad,
            histogram,
            instance: self.instance.to_string(),
            incarnation: self.incarnation.0,
        }
    }

    fn remove_expired(&mut self, now: Minute) {
        let minute = now.minus(MINUTE_RETENTION_MINUTES).0;
        let hour = now.minus(HOUR_RETENTION_MINUTES).0;
        self.stored.retain(|m| {
            m.minute
                >= if m.span == MINUTE_SPAN_MINUTES {
                    minute
                } else {
                    hour
                }
        });
    }
}

/// Inserts an entry into a sorted list; of two with the same key, the larger is kept.
pub fn insert_larger(list: &mut Vec<BurnMinute>, minute: BurnMinute) {
    match list.binary_search_by(|known| key(known).cmp(&key(&minute))) {
        Ok(index) if total(&list[index]) < total(&minute) => list[index] = minute,
        Ok(_) => {}
        Err(index) => list.insert(index, minute),
    }
}

/// Sorts entries of many instances; of those with the same key, the largest is kept.
pub fn merged(mut minutes: Vec<BurnMinute>) -> Vec<BurnMinute> {
    let larger_first = |one: &BurnMinute, other: &BurnMinute| total(other).cmp(&total(one));
    minutes.sort_unstable_by(|one, other| {
        let by_key = key(one).cmp(&key(other));
        by_key.then_with(|| larger_first(one, other))
    });
    minutes.dedup_by(|later, first| key(later) == key(first));
    minutes
}

type Key<'a> = (u64, u32, &'a str, &'a str, &'a str, u64);

fn key(minute: &BurnMinute) -> Key<'_> {
    (
        minute.minute,
        minute.span,
        &minute.organisation,
        &minute.objective,
        &minute.instance,
        minute.incarnation,
    )
}

fn total(minute: &BurnMinute) -> u64 {
    minute.good + minute.bad
}

fn tally_mut<'a>(
    list: &'a mut Vec<Counts>,
    organisation: &str,
    kind: ObjectiveKind,
) -> &'a mut Tally {
    let index = find(list, organisation, kind).unwrap_or_else(|index| {
        let counts = Counts {
            organisation: organisation.into(),
            kind,
            tally: Tally::default(),
        };
        list.insert(index, counts);
        index
    });
    &mut list[index].tally
}

fn find(list: &[Counts], organisation: &str, kind: ObjectiveKind) -> Result<usize, usize> {
    list.binary_search_by(|c| (c.organisation.as_str(), c.kind).cmp(&(organisation, kind)))
}
