use std::time::Duration;

use compact_str::CompactString;
use jaylock_rpc::v1::{BurnMinute, Event};

use crate::clock::Minute;
use crate::minutes::{SINGLE, merged};
use crate::objective::Objective;
use crate::tally::Tally;
use crate::window::Window;

/// Moments that a line of the report names.
const MOST_MOMENTS: usize = 5;
/// Burn rate above which the budget of 3 days is gone within hours.
const FAST_RATE: f64 = 14.4;
/// Burn rate above which the budget of 3 days is gone within half a day.
const SLOW_RATE: f64 = 6.0;
/// Burn rate that uses up the budget in exactly 3 days.
const EVEN_RATE: f64 = 1.0;

/// How the service-level budgets of a fleet burn.
#[derive(Debug, Clone)]
pub struct BurnReport {
    /// When the report was made, in ms since 1970.
    pub at_ms: u64,
    /// One line for each organisation and objective, sorted by both.
    pub lines: Vec<BurnLine>,
}

/// One organisation and one objective.
#[derive(Debug, Clone)]
pub struct BurnLine {
    /// The organisation.
    pub organisation: CompactString,
    /// The objective.
    pub objective: Objective,
    /// Requests of the last 3 days.
    pub total: u64,
    /// Requests of the last 3 days that did not keep the objective.
    pub bad: u64,
    /// Share of the budget that is left; below 0 when more is burnt than there was.
    pub left: f64,
    /// Burn rates, for each window of [`Window::ALL`].
    pub rates: [f64; 4],
    /// Median time of the last 6 hours, whole hours of the clock.
    pub p50: Duration,
    /// Time that 99 in 100 requests of these hours stayed within.
    pub p99: Duration,
    /// Urgency that follows from the burn rates.
    pub alert: Alert,
    /// The minutes that burnt most, worst first.
    pub moments: Vec<Moment>,
    /// Bad requests of each minute of the last 6 hours, oldest first.
    pub history: Vec<u64>,
}

/// A minute that burnt budget, and what the fleet did then.
#[derive(Debug, Clone)]
pub struct Moment {
    /// The minute.
    pub minute: Minute,
    /// Requests of this minute that did not keep the objective.
    pub bad: u64,
    /// Requests of this minute.
    pub total: u64,
    /// Events of this minute and the one before.
    pub events: Vec<Event>,
}

/// How urgent a burn rate is, by a long and a short window together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Alert {
    /// The budget lasts.
    Fine,
    /// The budget ends early: 3 days and 6 hours above 1.
    Drift,
    /// 6 hours and 1 hour above 6.
    Slow,
    /// 1 hour and 5 minutes above 14.4.
    Fast,
}

impl Alert {
    /// The word in reports.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Fine => "fine",
            Self::Drift => "drift",
            Self::Slow => "slow burn",
            Self::Fast => "fast burn",
        }
    }

    fn of(rates: [f64; 4]) -> Self {
        let [five, hour, six, days] = rates;
        if hour > FAST_RATE && five > FAST_RATE {
            return Self::Fast;
        }
        if six > SLOW_RATE && hour > SLOW_RATE {
            return Self::Slow;
        }
        if days > EVEN_RATE && six > EVEN_RATE {
            return Self::Drift;
        }
        Self::Fine
    }
}

impl BurnReport {
    /// Adds up what the instances of a fleet hold; the same entry may come from several of them.
    #[must_use]
    pub fn new(minutes: Vec<BurnMinute>, objectives: &[Objective], now_ms: u64) -> Self {
        let entries = merged(minutes);
        let mut pairs: Vec<(&str, &str)> = entries.iter().map(pair).collect();
        pairs.sort_unstable();
        pairs.dedup();
        let now = Minute::of_ms(now_ms);
        let line = |(organisation, name): (&str, &str)| {
            let objective = objectives.iter().find(|o| o.name == name)?;
            let own = entries.iter().filter(|e| pair(e) == (organisation, name));
            Some(BurnLine::new(
                organisation,
                objective,
                &own.collect::<Vec<_>>(),
                now,
            ))
        };
        Self {
            at_ms: now_ms,
            lines: pairs.into_iter().filter_map(line).collect(),
        }
    }

    /// Adds to each moment what the record of repairs says about it.
    #[must_use]
    pub fn with_events(mut self, events: &[Event]) -> Self {
        for line in &mut self.lines {
            for moment in &mut line.moments {
                let first = moment.minute.before(1);
                let lies_within = |event: &&Event| {
                    let minute = Minute::of_ms(event.at_ms);
                    minute >= first && minute <= moment.minute
                };
                moment.events = events.iter().filter(lies_within).cloned().collect();
            }
        }
        self
    }
}

impl BurnLine {
    fn new(
        organisation: &str,
        objective: &Objective,
        entries: &[&BurnMinute],
        now: Minute,
    ) -> Self {
        let allowed = 1.0 - f64::from(objective.target_ppm) / 1e6;
        let sums = Window::ALL.map(|window| window.sum(entries.iter().copied(), now));
        let rates = [0, 1, 2, 3].map(|place: usize| bad_share(&sums[place]) / allowed);
        let [.., days] = &sums;
        let times = Window::SixHours.times(entries.iter().copied(), now);
        Self {
            organisation: organisation.into(),
            objective: objective.clone(),
            total: days.total(),
            bad: days.bad,
            left: 1.0 - bad_share(days) / allowed,
            rates,
            p50: times.quantile(0.5),
            p99: times.quantile(0.99),
            alert: Alert::of(rates),
            moments: moments(entries),
            history: history(entries, now),
        }
    }
}

fn pair(entry: &BurnMinute) -> (&str, &str) {
    (&entry.organisation, &entry.objective)
}

#[allow(clippy::cast_precision_loss)]
fn bad_share(tally: &Tally) -> f64 {
    match tally.total() {
        0 => 0.0,
        total => tally.bad as f64 / total as f64,
    }
}

/// The minutes with the most bad requests, over all instances.
fn moments(entries: &[&BurnMinute]) -> Vec<Moment> {
    let mut found: Vec<Moment> = Vec::new();
    for entry in entries.iter().filter(|e| e.span == SINGLE) {
        let minute = Minute(entry.minute);
        let place = found.binary_search_by_key(&minute, |m| m.minute);
        let place = place.unwrap_or_else(|place| {
            let moment = Moment {
                minute,
                bad: 0,
                total: 0,
                events: Vec::new(),
            };
            found.insert(place, moment);
            place
        });
        found[place].bad += entry.bad;
        found[place].total += entry.good + entry.bad;
    }
    found.retain(|moment| moment.bad > 0);
    found.sort_by_key(|moment| std::cmp::Reverse((moment.bad, moment.minute)));
    found.truncate(MOST_MOMENTS);
    found
}

fn history(entries: &[&BurnMinute], now: Minute) -> Vec<u64> {
    let length = Window::SixHours.minutes();
    let first = now.before(length - 1);
    let bad_of = |minute: u64| {
        let own = entries
            .iter()
            .filter(|e| e.span == SINGLE && e.minute == minute);
        own.map(|e| e.bad).sum()
    };
    (first.0..=now.0).map(bad_of).collect()
}
