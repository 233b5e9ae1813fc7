use std::time::{Duration, Instant};

/// Backend servers that equal requests may put at risk: those that crashed, and those that run one.
///
/// A request that crashes engines may be sent through many routers at the same moment; it then
/// crashes no more than these.
const MAX_AT_RISK: usize = 2;

/// Time for which a crash counts, in which routers record it in the log; as long as their suspicion.
const CRASH_MEMORY: Duration = Duration::from_mins(1);

/// Backend servers that equal requests run on or have crashed, by fingerprint.
///
/// The log refuses such requests only after a router has recorded the crash and the others have applied the
/// record. The scheduler hears of every end, so that it bounds the crashes in the meantime.
#[derive(Debug, Default)]
pub struct Duplicates {
    // Sorted by fingerprint and backend server.
    entries: Vec<DuplicateRuns>,
    last_era: u64,
}

#[derive(Debug)]
struct DuplicateRuns {
    fingerprint: u64,
    backend: usize,
    // Runs since the last crash.
    runs: u32,
    // Tells runs since the last crash from those before it, all of which report the same crash.
    era: u64,
    crashes: usize,
    last_crash: Option<Instant>,
}

impl Duplicates {
    /// Whether a request with this fingerprint may run on a backend server; 0 means no fingerprint.
    pub fn admits(&self, fingerprint: u64, backend: usize) -> bool {
        let is_running = self
            .search(fingerprint, backend)
            .is_ok_and(|index| self.entries[index].runs > 0);
        fingerprint == 0 || is_running || self.at_risk(fingerprint) < MAX_AT_RISK
    }

    /// Adds a run that begins, and returns the era that its end must name.
    pub fn add(&mut self, fingerprint: u64, backend: usize) -> u64 {
        if fingerprint == 0 {
            return 0;
        }
        let index = match self.search(fingerprint, backend) {
            Ok(index) => index,
            Err(index) => {
                let entry = DuplicateRuns {
                    fingerprint,
                    backend,
                    runs: 0,
                    era: self.next_era(),
                    crashes: 0,
                    last_crash: None,
                };
                self.entries.insert(index, entry);
                index
            }
        };
        let entry = &mut self.entries[index];
        entry.runs += 1;
        entry.era
    }

    /// Removes a run that has ended.
    pub fn remove(&mut self, fingerprint: u64, backend: usize, era: u64) {
        let Some(index) = self.search_era(fingerprint, backend, era) else {
            return;
        };
        self.entries[index].runs -= 1;
        if self.entries[index].is_empty() {
            self.entries.remove(index);
        }
    }

    /// Counts the crash of a backend server, once for all runs that it ended.
    pub fn record_crash(&mut self, fingerprint: u64, backend: usize, era: u64, now: Instant) {
        let Some(index) = self.search_era(fingerprint, backend, era) else {
            return;
        };
        let next_era = self.next_era();
        let entry = &mut self.entries[index];
        entry.runs = 0;
        entry.era = next_era;
        entry.crashes += 1;
        entry.last_crash = Some(now);
    }

    /// Counts the crash of a backend server that was found after a run there had ended, unless it was counted before.
    pub fn record_late_crash(&mut self, fingerprint: u64, backend: usize, era: u64, now: Instant) {
        if fingerprint != 0 && self.search(fingerprint, backend).is_err() {
            let era = self.add(fingerprint, backend);
            self.record_crash(fingerprint, backend, era, now);
            return;
        }
        self.record_crash(fingerprint, backend, era, now);
    }

    /// Forgets the crashes under a fingerprint, as an isolated run has shown that it causes none.
    pub fn clear(&mut self, fingerprint: u64) {
        self.forget(|entry| entry.fingerprint == fingerprint);
    }

    /// Forgets the crashes that no longer count.
    pub fn expire(&mut self, now: Instant) {
        let is_old = |crash: Instant| now.saturating_duration_since(crash) >= CRASH_MEMORY;
        self.forget(|entry| entry.last_crash.is_some_and(is_old));
    }

    fn forget(&mut self, is_forgotten: impl Fn(&DuplicateRuns) -> bool) {
        for entry in self.entries.iter_mut().filter(|entry| is_forgotten(entry)) {
            entry.crashes = 0;
            entry.last_crash = None;
        }
        self.entries.retain(|entry| !entry.is_empty());
    }

    fn at_risk(&self, fingerprint: u64) -> usize {
        let first = self
            .entries
            .partition_point(|entry| entry.fingerprint < fingerprint);
        let same = self.entries[first..]
            .iter()
            .take_while(|entry| entry.fingerprint == fingerprint);
        same.map(|entry| entry.crashes + usize::from(entry.runs > 0))
            .sum()
    }

    fn next_era(&mut self) -> u64 {
        self.last_era += 1;
        self.last_era
    }

    fn search(&self, fingerprint: u64, backend: usize) -> Result<usize, usize> {
        let key = (fingerprint, backend);
        self.entries
            .binary_search_by_key(&key, |entry| (entry.fingerprint, entry.backend))
    }

    fn search_era(&self, fingerprint: u64, backend: usize, era: u64) -> Option<usize> {
        let index = self.search(fingerprint, backend).ok()?;
        (self.entries[index].era == era).then_some(index)
    }
}

impl DuplicateRuns {
    fn is_empty(&self) -> bool {
        self.runs == 0 && self.crashes == 0
    }
}
