use std::time::Duration;

use compact_str::CompactString;
use jaylock_rpc::v1::{BurnMinute, Event};

use crate::clock::Minute;
use crate::minutes::{MINUTE_SPAN_MINUTES, merged};
use crate::objective::Objective;
use crate::tally::Tally;
use crate::window::Window;

/// Maximum number of peaks in a line of the report.
const MAX_PEAKS: usize = 5;
/// Burn rate that uses up the budget of 3 days in 5 hours.
const FAST_BURN_RATE: f64 = 14.4;
/// Burn rate that uses up the budget of 3 days in 12 hours.
const SLOW_BURN_RATE: f64 = 6.0;
/// Burn rate that uses up the budget in exactly 3 days.
const DRIFT_BURN_RATE: f64 = 1.0;

/// A report on how fast a fleet uses up its error budgets.
#[derive(Debug, Clone)]
pub struct BurnReport {
    /// Creation time, in ms since the Unix epoch.
    pub at_ms: u64,
    /// One line for each organisation and objective, sorted by both.
    pub lines: Vec<BurnLine>,
}

/// The report on one organisation and objective.
#[derive(Debug, Clone)]
pub struct BurnLine {
    /// The organisation.
    pub organisation: CompactString,
    /// The objective.
    pub objective: Objective,
    /// Requests of the last 3 days.
    pub total: u64,
    /// Requests of the last 3 days that missed the objective.
    pub bad: u64,
    /// Remaining share of the budget; below 0 when the budget is exceeded.
    pub budget_left: f64,
    /// Burn rate for each window of [`Window::ALL`].
    pub rates: [f64; 4],
    /// Median time over the last 6 hours, extended to full clock hours.
    pub p50: Duration,
    /// 99th percentile of the time over the same hours.
    pub p99: Duration,
    /// Alert level derived from the burn rates.
    pub alert: Alert,
    /// The minutes with the most bad requests, worst first.
    pub peaks: Vec<Peak>,
    /// Bad requests of each minute of the last 6 hours, oldest first.
    pub history: Vec<u64>,
}

/// A minute with bad requests, and the events of the fleet around it.
#[derive(Debug, Clone)]
pub struct Peak {
    /// The minute.
    pub minute: Minute,
    /// Requests of this minute that missed the objective.
    pub bad: u64,
    /// Requests of this minute.
    pub total: u64,
    /// Events of this minute and the preceding one.
    pub events: Vec<Event>,
}

/// Alert level by burn rates; each level requires a long and a short window above its rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Alert {
    /// The budget is not used up early.
    Fine,
    /// Rates of 3 days and 6 hours above 1: the budget is used up early.
    Drift,
    /// Rates of 6 hours and 1 hour above 6.
    Slow,
    /// Rates of 1 hour and 5 minutes above 14.4.
    Fast,
}

impl Alert {
    /// Name in reports.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Fine => "fine",
            Self::Drift => "drift",
            Self::Slow => "slow burn",
            Self::Fast => "fast burn",
        }
    }

    fn from_rates(rates: [f64; 4]) -> Self {
        let [five_minutes, hour, six_hours, three_days] = rates;
        if hour > FAST_BURN_RATE && five_minutes > FAST_BURN_RATE {
            return Self::Fast;
        }
        if six_hours > SLOW_BURN_RATE && hour > SLOW_BURN_RATE {
            return Self::Slow;
        }
        if three_days > DRIFT_BURN_RATE && six_hours > DRIFT_BURN_RATE {
            return Self::Drift;
        }
        Self::Fine
    }
}

impl BurnReport {
    /// Creates a report from the entries of all instances; several of them may hold the same entry.
    #[must_use]
    pub fn new(minutes: Vec<BurnMinute>, objectives: &[Objective], now_ms: u64) -> Self {
        let entries = merged(minutes);
        let mut keys: Vec<(&str, &str)> = entries.iter().map(line_key).collect();
        keys.sort_unstable();
        keys.dedup();
        let now = Minute::from_ms(now_ms);
        let line = |(organisation, name): (&str, &str)| {
            let objective = objectives.iter().find(|o| o.name == name)?;
            let matching = entries
                .iter()
                .filter(|e| line_key(e) == (organisation, name));
            Some(BurnLine::new(
                organisation,
                objective,
                &matching.collect::<Vec<_>>(),
                now,
            ))
        };
        Self {
            at_ms: now_ms,
            lines: keys.into_iter().filter_map(line).collect(),
        }
    }

    /// Adds to each peak the events of the same minute and the preceding one.
    #[must_use]
    pub fn with_events(mut self, events: &[Event]) -> Self {
        for line in &mut self.lines {
            for peak in &mut line.peaks {
                let first = peak.minute.minus(1);
                let is_near = |event: &&Event| {
                    let minute = Minute::from_ms(event.at_ms);
                    minute >= first && minute <= peak.minute
                };
                peak.events = events.iter().filter(is_near).cloned().collect();
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
        let allowed_share = 1.0 - f64::from(objective.target_ppm) / 1e6;
        let sums = Window::ALL.map(|window| window.sum(entries.iter().copied(), now));
        let rates = [0, 1, 2, 3].map(|index: usize| bad_share(&sums[index]) / allowed_share);
        let [.., three_days] = &sums;
        let times = Window::SixHours.times(entries.iter().copied(), now);
        Self {
            organisation: organisation.into(),
            objective: objective.clone(),
            total: three_days.total(),
            bad: three_days.bad,
            budget_left: 1.0 - bad_share(three_days) / allowed_share,
            rates,
            p50: times.quantile(0.5),
            p99: times.quantile(0.99),
            alert: Alert::from_rates(rates),
            peaks: peaks(entries),
            history: history(entries, now),
        }
    }
}

fn line_key(entry: &BurnMinute) -> (&str, &str) {
    (&entry.organisation, &entry.objective)
}

#[allow(clippy::cast_precision_loss)]
fn bad_share(tally: &Tally) -> f64 {
    match tally.total() {
        0 => 0.0,
        total => tally.bad as f64 / total as f64,
    }
}

/// The minutes with the most bad requests, summed over all instances.
fn peaks(entries: &[&BurnMinute]) -> Vec<Peak> {
    let mut found: Vec<Peak> = Vec::new();
    for entry in entries.iter().filter(|e| e.span == MINUTE_SPAN_MINUTES) {
        let minute = Minute(entry.minute);
        let index = found.binary_search_by_key(&minute, |p| p.minute);
        let index = index.unwrap_or_else(|index| {
            let peak = Peak {
                minute,
                bad: 0,
                total: 0,
                events: Vec::new(),
            };
            found.insert(index, peak);
            index
        });
        found[index].bad += entry.bad;
        found[index].total += entry.good + entry.bad;
    }
    found.retain(|peak| peak.bad > 0);
    found.sort_by_key(|peak| std::cmp::Reverse((peak.bad, peak.minute)));
    found.truncate(MAX_PEAKS);
    found
}

fn history(entries: &[&BurnMinute], now: Minute) -> Vec<u64> {
    let length = Window::SixHours.minutes();
    let first = now.minus(length - 1);
    let bad_of = |minute: u64| {
        let matching = entries
            .iter()
            .filter(|e| e.span == MINUTE_SPAN_MINUTES && e.minute == minute);
        matching.map(|e| e.bad).sum()
    };
    (first.0..=now.0).map(bad_of).collect()
}
