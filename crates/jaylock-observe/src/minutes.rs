use compact_str::CompactString;
use jaylock_rpc::v1::BurnMinute;
use jaylock_types::Incarnation;

use crate::clock::Minute;
use crate::objective::{Judgement, ObjectiveKind};
use crate::tally::Tally;

/// Minutes for which each single minute is kept.
pub const MINUTES_KEPT: u64 = 6 * 60 + 5;
/// Minutes for which the totals of hours are kept.
pub const HOURS_KEPT: u64 = 3 * 24 * 60 + 60;
/// Minutes in an hour, the span of its total.
pub const HOUR: u32 = 60;
/// Span of a single minute.
pub const SINGLE: u32 = 1;
/// Most entries that are kept, those of other instances included.
const MOST_KEPT: usize = 30_000;
/// Most entries that wait for the next handover.
const MOST_FRESH: usize = 4_000;

/// Counts of the minute and the hour in progress, and what was finished before.
pub struct Minutes {
    instance: CompactString,
    incarnation: Incarnation,
    minute: Minute,
    running: Vec<Running>,
    hours: Vec<Running>,
    kept: Vec<BurnMinute>,
    /// Finished since the last handover.
    fresh: Vec<BurnMinute>,
}

struct Running {
    organisation: CompactString,
    kind: ObjectiveKind,
    tally: Tally,
}

impl Minutes {
    /// Starts with no counts.
    pub fn new(instance: &str, incarnation: Incarnation, minute: Minute) -> Self {
        Self {
            instance: instance.into(),
            incarnation,
            minute,
            running: Vec::new(),
            hours: Vec::new(),
            kept: Vec::new(),
            fresh: Vec::new(),
        }
    }

    /// Counts what a request says about an objective.
    pub fn count(&mut self, now: Minute, organisation: &str, judgement: &Judgement) {
        self.turn(now);
        for list in [&mut self.running, &mut self.hours] {
            let tally = entry(list, organisation, judgement.kind);
            tally.count(judgement.is_good, judgement.time);
        }
    }

    /// Finishes the minute in progress when it is over.
    pub fn turn(&mut self, now: Minute) {
        if now <= self.minute {
            return;
        }
        let ended = std::mem::replace(&mut self.minute, now);
        let mut finished = Vec::new();
        for running in std::mem::take(&mut self.running) {
            finished.push(self.message(ended, SINGLE, &running));
            // The hour's total grows with each minute; whoever holds it keeps the largest.
            let hour = find(&self.hours, &running.organisation, running.kind);
            if let Ok(place) = hour {
                finished.push(self.message(ended.hour(), HOUR, &self.hours[place]));
            }
        }
        if now.hour() != ended.hour() {
            self.hours.clear();
        }
        self.fresh.extend(finished.iter().cloned());
        let excess = self.fresh.len().saturating_sub(MOST_FRESH);
        self.fresh.drain(..excess);
        self.keep(finished);
        self.forget(now);
    }

    /// Adds entries, of this or other instances; of two for the same the larger one stays.
    pub fn keep(&mut self, minutes: Vec<BurnMinute>) {
        for minute in minutes {
            keep_larger(&mut self.kept, minute);
        }
        let excess = self.kept.len().saturating_sub(MOST_KEPT);
        self.kept.drain(..excess);
    }

    /// Entries finished since the last call, for handing to other instances.
    pub fn take(&mut self, now: Minute) -> Vec<BurnMinute> {
        self.turn(now);
        std::mem::take(&mut self.fresh)
    }

    /// All entries from a minute on, those in progress included.
    pub fn since(&self, first: Minute) -> Vec<BurnMinute> {
        let end = |m: &BurnMinute| m.minute + u64::from(m.span);
        let kept = self.kept.iter().filter(|m| end(m) > first.0);
        let mut found: Vec<BurnMinute> = kept.cloned().collect();
        for running in &self.running {
            found.push(self.message(self.minute, SINGLE, running));
        }
        for hour in &self.hours {
            let hour = self.message(self.minute.hour(), HOUR, hour);
            keep_larger(&mut found, hour);
        }
        found
    }

    /// An entry to keep and send; only the totals of hours carry a histogram.
    fn message(&self, minute: Minute, span: u32, running: &Running) -> BurnMinute {
        let histogram = if span == HOUR {
            running.tally.histogram()
        } else {
            Vec::new()
        };
        BurnMinute {
            minute: minute.0,
            span,
            organisation: running.organisation.to_string(),
            objective: running.kind.name().into(),
            good: running.tally.good,
            bad: running.tally.bad,
            histogram,
            instance: self.instance.to_string(),
            incarnation: self.incarnation.0,
        }
    }

    fn forget(&mut self, now: Minute) {
        let minutes = now.before(MINUTES_KEPT).0;
        let hours = now.before(HOURS_KEPT).0;
        self.kept
            .retain(|m| m.minute >= if m.span == SINGLE { minutes } else { hours });
    }
}

/// Puts an entry into a sorted list; of two for the same the larger one stays.
pub fn keep_larger(list: &mut Vec<BurnMinute>, minute: BurnMinute) {
    match list.binary_search_by(|known| key(known).cmp(&key(&minute))) {
        Ok(place) if total(&list[place]) < total(&minute) => list[place] = minute,
        Ok(_) => {}
        Err(place) => list.insert(place, minute),
    }
}

/// Sorts entries of many instances; of several for the same the largest stays.
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

fn entry<'a>(list: &'a mut Vec<Running>, organisation: &str, kind: ObjectiveKind) -> &'a mut Tally {
    let place = find(list, organisation, kind).unwrap_or_else(|place| {
        let running = Running {
            organisation: organisation.into(),
            kind,
            tally: Tally::default(),
        };
        list.insert(place, running);
        place
    });
    &mut list[place].tally
}

fn find(list: &[Running], organisation: &str, kind: ObjectiveKind) -> Result<usize, usize> {
    list.binary_search_by(|r| (r.organisation.as_str(), r.kind).cmp(&(organisation, kind)))
}
