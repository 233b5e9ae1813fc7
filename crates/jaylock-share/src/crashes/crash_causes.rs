use std::cmp::Reverse;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use jaylock_rpc::v1::{Ask, Configuration, CrashCause};
use jaylock_types::{long_millis, unix_ms};

use crate::crashes::causes::{Causes, shared_causes};
use crate::crashes::proven_causes::ProvenCauses;

/// Crashes from which only one request with a cause runs at a time, as a trial.
pub const SUSPECT_CRASHES: u32 = 2;
/// Crashes that lead to a quarantine although other causes may explain them.
const MAX_CRASHES: u32 = 5;
/// Time after a crash in which requests with several suspected causes are not tried, as one that has only one of them
/// shows more.
const JOINT_TRIAL_DELAY: Duration = Duration::from_secs(2);
/// Time for which a crash counts.
const CRASH_MEMORY: Duration = Duration::from_hours(1);
/// Causes that are kept, more than any head can hold; beyond this number the least suspect ones are dropped.
const MAX_ENTRIES: usize = 16_384;
/// Causes of one crash that are logged.
const MAX_LOGGED: usize = 32;
/// Duration of a cause's first quarantine.
const FIRST_QUARANTINE: Duration = Duration::from_mins(1);
/// Ratio between a quarantine and the one before.
const QUARANTINE_FACTOR: u32 = 8;
/// Longest quarantine.
const MAX_QUARANTINE: Duration = Duration::from_hours(24);
/// Time after which a quarantine that the configuration does not show is recorded again.
const RECORD_INTERVAL: Duration = Duration::from_secs(1);

/// What requests of a pool share that crashed backend servers, and is not known to be harmless.
///
/// After two crashes, requests with a cause run one at a time; a complete one clears the cause, and a
/// crash leads to a quarantine. A crash counts if its request was granted after the crash before was
/// known, so that backend servers that end together count once.
#[derive(Debug, Default)]
pub struct CrashCauses {
    // Sorted by hash.
    entries: Vec<Entry>,
    // Hashes of the suspected entries, sorted.
    suspected: Vec<u64>,
    proven: ProvenCauses,
    // Backend servers on which trials run.
    trials: Vec<usize>,
    // Causes that turned out to be harmless while the configuration shows a quarantine.
    cleared: Vec<Cleared>,
}

#[derive(Debug)]
struct Cleared {
    hash: u64,
    last_recording: Option<Instant>,
}

#[derive(Debug)]
struct Entry {
    hash: u64,
    crashes: u32,
    last_crash: Instant,
    // Whether the last crash is longer ago than the delay of joint trials.
    is_old: bool,
    // Backend servers that crashed, at most one for each counted crash.
    backends: Vec<CompactString>,
    // Backend server of the only run, while one runs.
    trial: Option<usize>,
    // Number of quarantines so far.
    quarantines: u32,
    // End of the current quarantine.
    quarantined_until: Option<Instant>,
    // Whether the configuration shows the newest quarantine.
    is_recorded: bool,
    last_recording: Option<Instant>,
}

/// A run that had not begun to answer when its backend server crashed, or was given up shortly before.
#[derive(Debug)]
pub struct Suspect<'a> {
    pub causes: &'a Causes,
    /// Whether it ran as a trial.
    pub is_trial: bool,
    pub granted_at: Instant,
    /// Whether it was given up before the crash.
    pub is_abandoned: bool,
}

impl CrashCauses {
    /// Whether a request may run on a backend server now.
    pub fn admits(&self, ask: &Ask, backend: usize) -> bool {
        if self.suspected.is_empty() {
            return true;
        }
        let hashes = shared_causes(ask).chain([ask.digest]);
        let mut suspects = self.suspects(hashes).peekable();
        let Some(first) = suspects.next() else {
            return true;
        };
        let may_be_tried = if suspects.peek().is_none() {
            first.may_be_tried()
        } else {
            first.may_be_tried_jointly() && suspects.all(Entry::may_be_tried_jointly)
        };
        may_be_tried && !self.trials.contains(&backend)
    }

    /// Time until the quarantine of a request ends; `None` if it is in none.
    pub fn quarantine_time(&self, ask: &Ask, now: Instant) -> Option<Duration> {
        let hashes = shared_causes(ask).chain([ask.digest]);
        let ends = self.suspects(hashes).filter_map(|e| e.quarantined_until);
        ends.max().map(|end| end.saturating_duration_since(now))
    }

    /// Whether any request is in quarantine.
    pub fn has_quarantine(&self) -> bool {
        self.entries.iter().any(|e| e.quarantined_until.is_some())
    }

    /// Records a granted run; returns whether it is a trial.
    pub fn begin_run(&mut self, causes: &Causes, backend: usize) -> bool {
        let suspects = self.suspects(causes.iter());
        let hashes: Vec<u64> = suspects.map(|entry| entry.hash).collect();
        for hash in &hashes {
            if let Ok(position) = self.search(*hash) {
                self.entries[position].trial = Some(backend);
            }
        }
        if !hashes.is_empty() {
            self.trials.push(backend);
        }
        !hashes.is_empty()
    }

    /// Records that the trial on a backend server has ended, whatever its outcome.
    pub fn end_trial(&mut self, backend: usize) {
        for entry in &mut self.entries {
            entry.trial = entry.trial.filter(|index| *index != backend);
        }
        self.trials.retain(|index| *index != backend);
    }

    /// Records that a request was answered, which shows that all its causes are harmless.
    pub fn record_success(&mut self, causes: &Causes, now: Instant) {
        self.proven.add(&causes.shared, now);
        if self.entries.is_empty() {
            return;
        }
        let mut harmless: Vec<u64> = causes.iter().collect();
        harmless.retain(|hash| self.search(*hash).is_ok());
        if harmless.is_empty() {
            return;
        }
        harmless.sort_unstable();
        let is_harmless = |entry: &mut Entry| harmless.binary_search(&entry.hash).is_ok();
        for entry in self.entries.extract_if(.., is_harmless) {
            if entry.quarantines > 0 {
                self.cleared.push(Cleared {
                    hash: entry.hash,
                    last_recording: None,
                });
            }
            if entry.is_suspect() {
                log::info!(
                    target: "share",
                    cause = format!("{:016x}", entry.hash).as_str(), crashes = entry.crashes;
                    "a suspected cause of crashes is harmless"
                );
            }
        }
        self.update_suspected();
    }

    /// Records the crash of a backend server under runs of which one may have caused it.
    pub fn record_crash(&mut self, suspects: &[Suspect], backend: &str, now: Instant) {
        let (attributed, confirmed) = self.attribute(suspects, now);
        self.add_missing(attributed.iter().map(|(hash, _)| *hash), now);
        let count = attributed.len();
        for (number, (hash, granted_at)) in attributed.into_iter().enumerate() {
            let position = self.find_or_add(hash, now);
            let entry = &mut self.entries[position];
            if entry.crashes > 0 && granted_at <= entry.last_crash {
                continue;
            }
            entry.add_crash(backend, now);
            if number < MAX_LOGGED {
                log::info!(
                    target: "share",
                    cause = format!("{hash:016x}").as_str(), backend = backend, crashes = entry.crashes, causes = count;
                    "a backend server crashed under requests with this cause"
                );
            }
        }
        for entry in &mut self.entries {
            let is_due = confirmed == Some(entry.hash) || entry.crashes >= MAX_CRASHES;
            if is_due && entry.quarantined_until.is_none() && entry.last_crash == now {
                entry.quarantine(now);
            }
        }
        self.drop_excess();
        self.update_suspected();
    }

    /// Adds a crash that a router noticed under an earlier scheduler; it leads to a trial at most.
    pub fn restore_crash(&mut self, hashes: &[u64], backend: &str, at: Instant) {
        self.add_missing(hashes.iter().copied(), at);
        for hash in hashes {
            let position = self.find_or_add(*hash, at);
            let entry = &mut self.entries[position];
            let is_known = entry.backends.iter().any(|known| known == backend);
            if !is_known && entry.crashes < SUSPECT_CRASHES {
                entry.add_crash(backend, entry.last_crash.max(at));
            }
        }
        self.drop_excess();
        self.update_suspected();
    }

    /// Applies the quarantines in a configuration.
    pub fn configure(&mut self, configuration: &Configuration, pool: &str, now: Instant) {
        let recorded = configuration.crash_causes.iter();
        let recorded: Vec<&CrashCause> = recorded.filter(|c| c.pool == pool).collect();
        let is_shown = |hash: u64| recorded.binary_search_by_key(&hash, |c| c.hash).is_ok();
        self.cleared.retain(|cleared| is_shown(cleared.hash));
        self.entries.retain(|e| !e.is_recorded || is_shown(e.hash));
        for cause in recorded {
            if self.cleared.iter().any(|c| c.hash == cause.hash) {
                continue;
            }
            let position = self.find_or_add(cause.hash, now);
            let entry = &mut self.entries[position];
            if cause.quarantines < entry.quarantines {
                continue;
            }
            entry.quarantines = cause.quarantines;
            entry.is_recorded = true;
            let remaining = Duration::from_millis(cause.until_ms.saturating_sub(unix_ms()));
            entry.quarantined_until = (!remaining.is_zero()).then(|| now + remaining);
        }
        self.update_suspected();
    }

    /// Takes the changes that the configuration does not show yet and that were not taken lately.
    pub fn unrecorded(&mut self, pool: &str, now: Instant) -> Vec<CrashCause> {
        let is_due = |last: Option<Instant>| {
            last.is_none_or(|last| now.saturating_duration_since(last) >= RECORD_INTERVAL)
        };
        let mut changes = Vec::new();
        for entry in &mut self.entries {
            let end = entry.quarantined_until.filter(|_| !entry.is_recorded);
            let Some(end) = end.filter(|_| is_due(entry.last_recording)) else {
                continue;
            };
            entry.last_recording = Some(now);
            let remaining = end.saturating_duration_since(now);
            changes.push(CrashCause {
                pool: pool.into(),
                hash: entry.hash,
                until_ms: unix_ms().saturating_add(long_millis(remaining)),
                quarantines: entry.quarantines,
                backend: entry
                    .backends
                    .last()
                    .map(ToString::to_string)
                    .unwrap_or_default(),
            });
        }
        for cleared in &mut self.cleared {
            if is_due(cleared.last_recording) {
                cleared.last_recording = Some(now);
                changes.push(CrashCause {
                    pool: pool.into(),
                    hash: cleared.hash,
                    ..CrashCause::default()
                });
            }
        }
        changes
    }

    /// Ends quarantines whose time is over, and forgets old crashes.
    pub fn expire(&mut self, now: Instant) {
        for entry in &mut self.entries {
            entry.quarantined_until = entry.quarantined_until.filter(|end| *end > now);
            let age = now.saturating_duration_since(entry.last_crash);
            entry.is_old = age >= JOINT_TRIAL_DELAY;
        }
        let is_kept = |e: &Entry| {
            let age = now.saturating_duration_since(e.last_crash);
            e.quarantines > 0 || e.trial.is_some() || age < CRASH_MEMORY
        };
        let old_len = self.entries.len();
        self.entries.retain(is_kept);
        if self.entries.len() < old_len {
            self.update_suspected();
        }
    }

    /// The causes to which a crash is attributed, each with the newest grant of a run with it, and the one that
    /// a trial has shown to be the cause.
    ///
    /// Suspected causes in runs that are no trials explain a crash, then those in a trial, then the causes that no
    /// complete answer has shown to be harmless. If all of a run's were, any of them may have changed; those of a run that
    /// was given up are blamed for that only if nothing else ran there.
    fn attribute(&self, suspects: &[Suspect], now: Instant) -> (Vec<(u64, Instant)>, Option<u64>) {
        let (trials, others): (Vec<_>, Vec<_>) = suspects.iter().partition(|s| s.is_trial);
        let tried = self.suspected_in(&trials);
        let mut suspected = self.suspected_in(&others);
        suspected.retain(|hash| tried.binary_search(hash).is_err());
        let mut confirmed = None;
        if suspected.is_empty() {
            confirmed = tried.first().copied().filter(|_| tried.len() == 1);
            suspected = tried;
        }
        let has_run_on = suspects.iter().any(|suspect| !suspect.is_abandoned);
        let mut attributed = Vec::new();
        for suspect in suspects {
            let shared = &suspect.causes.shared;
            let is_proven = |hash: u64| self.proven.contains(hash, now);
            let has_unproven = shared.iter().any(|hash| !is_proven(*hash));
            let is_beside_others = suspect.is_abandoned && has_run_on;
            let may_have_changed = !has_unproven && !is_beside_others;
            let is_attributed = |hash: &u64| {
                if suspected.is_empty() {
                    may_have_changed || !is_proven(*hash)
                } else {
                    suspected.binary_search(hash).is_ok()
                }
            };
            let hashes = suspect.causes.iter().filter(is_attributed);
            attributed.extend(hashes.map(|hash| (hash, suspect.granted_at)));
        }
        // Of equal causes, the one with the newest grant comes first and stays.
        attributed.sort_unstable_by_key(|(hash, granted_at)| (*hash, Reverse(*granted_at)));
        attributed.dedup_by_key(|(hash, _)| *hash);
        (attributed, confirmed)
    }

    /// The suspected causes in some runs, each once.
    fn suspected_in(&self, runs: &[&Suspect]) -> Vec<u64> {
        let entries = runs.iter().flat_map(|run| self.suspects(run.causes.iter()));
        let mut hashes: Vec<u64> = entries.map(|entry| entry.hash).collect();
        hashes.sort_unstable();
        hashes.dedup();
        hashes
    }

    /// The suspected entries among some causes.
    fn suspects(&self, hashes: impl Iterator<Item = u64>) -> impl Iterator<Item = &Entry> {
        let suspected = hashes.filter(|hash| self.suspected.binary_search(hash).is_ok());
        let positions = suspected.filter_map(|hash| self.search(hash).ok());
        positions.map(|position| &self.entries[position])
    }

    fn update_suspected(&mut self) {
        let suspects = self.entries.iter().filter(|entry| entry.is_suspect());
        self.suspected = suspects.map(|entry| entry.hash).collect();
    }

    /// Drops the entries with the fewest and oldest crashes beyond the limit.
    fn drop_excess(&mut self) {
        if self.entries.len() <= MAX_ENTRIES {
            return;
        }
        self.entries
            .sort_unstable_by_key(|e| Reverse((e.quarantines, e.crashes, e.last_crash)));
        self.entries.truncate(MAX_ENTRIES);
        self.entries.sort_unstable_by_key(|entry| entry.hash);
    }

    /// Adds an entry for each hash that has none.
    fn add_missing(&mut self, hashes: impl Iterator<Item = u64>, now: Instant) {
        let missing = hashes.filter(|hash| self.search(*hash).is_err());
        let mut missing: Vec<Entry> = missing.map(|hash| Entry::new(hash, now)).collect();
        self.entries.append(&mut missing);
        // Stable, which merges two sorted runs in linear time.
        self.entries.sort_by_key(|entry| entry.hash);
        self.entries.dedup_by_key(|entry| entry.hash);
    }

    fn find_or_add(&mut self, hash: u64, now: Instant) -> usize {
        self.search(hash).unwrap_or_else(|position| {
            self.entries.insert(position, Entry::new(hash, now));
            position
        })
    }

    fn search(&self, hash: u64) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&hash, |entry| entry.hash)
    }
}

impl Entry {
    fn new(hash: u64, now: Instant) -> Self {
        Self {
            hash,
            crashes: 0,
            last_crash: now,
            is_old: false,
            backends: Vec::new(),
            trial: None,
            quarantines: 0,
            quarantined_until: None,
            is_recorded: false,
            last_recording: None,
        }
    }

    fn is_suspect(&self) -> bool {
        self.quarantines > 0 || self.crashes >= SUSPECT_CRASHES
    }

    /// Whether one request may run now to show whether the cause is harmless.
    fn may_be_tried(&self) -> bool {
        self.quarantined_until.is_none() && self.trial.is_none()
    }

    fn may_be_tried_jointly(&self) -> bool {
        self.may_be_tried() && self.is_old
    }

    fn add_crash(&mut self, backend: &str, at: Instant) {
        self.crashes = self.crashes.saturating_add(1);
        self.last_crash = at;
        self.is_old = false;
        if self.backends.len() >= MAX_CRASHES as usize {
            self.backends.remove(0);
        }
        self.backends.push(backend.into());
    }

    fn quarantine(&mut self, now: Instant) {
        let factor = QUARANTINE_FACTOR.saturating_pow(self.quarantines);
        let duration = FIRST_QUARANTINE.saturating_mul(factor).min(MAX_QUARANTINE);
        self.quarantines = self.quarantines.saturating_add(1);
        self.quarantined_until = Some(now + duration);
        self.is_recorded = false;
        self.last_recording = None;
        log::warn!(
            target: "share",
            cause = format!("{:016x}", self.hash).as_str(), crashes = self.crashes,
            backends = self.backends.join(",").as_str(), quarantines = self.quarantines,
            quarantine_s = duration.as_secs();
            "requests with this cause crash backend servers and are refused"
        );
    }
}
