use std::time::{Duration, Instant};

use jaylock_rpc::v1::end::Outcome;
use jaylock_rpc::v1::{Ask, Crash, End};
use jaylock_types::millis;

use crate::client::held_slot::HeldSlot;
use crate::crashes::causes::Causes;
use crate::crashes::crash_causes::SUSPECT_CRASHES;

/// Time for which a router remembers a crash.
const CRASH_MEMORY: Duration = Duration::from_mins(10);
/// Crashes that a router remembers; beyond this number the oldest is dropped.
const MAX_CRASHES: usize = 64;
/// Causes that all of them have together, 512 KiB; beyond this number the oldest crash is dropped too.
const MAX_CAUSES: usize = 65_536;

/// Crashes of backend servers under a router's own runs.
///
/// A new scheduler learns of them, and while there is none the router itself regards them.
#[derive(Debug, Default)]
pub struct RecentCrashes {
    // Oldest first.
    list: Vec<RecentCrash>,
    // Causes under which enough backend servers crashed, sorted.
    suspected: Vec<u64>,
}

#[derive(Debug)]
struct RecentCrash {
    crash: Crash,
    at: Instant,
}

impl RecentCrashes {
    /// Records what the end of a run shows.
    pub fn record(&mut self, held: &HeldSlot, end: &End, now: Instant) {
        match end.outcome() {
            Outcome::Crashed if !end.answered => self.add(&held.backend, &held.causes, now),
            Outcome::Complete if end.answered => self.clear(&held.causes),
            _ => {}
        }
    }

    /// The crashes that still count, with their ages.
    pub fn list(&mut self, now: Instant) -> Vec<Crash> {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.list.retain(|recent| age(recent.at) < CRASH_MEMORY);
        self.update_suspected();
        let crashes = self.list.iter().map(|recent| Crash {
            age_ms: millis(age(recent.at)),
            ..recent.crash.clone()
        });
        crashes.collect()
    }

    /// Whether enough backend servers crashed under requests like this one that only a scheduler may grant it.
    pub fn is_suspect(&self, ask: &Ask) -> bool {
        let is_suspected = |hash: u64| self.suspected.binary_search(&hash).is_ok();
        !self.suspected.is_empty() && Causes::from_ask(ask).iter().any(is_suspected)
    }

    /// Records a crash under a run with these causes.
    pub fn add(&mut self, backend: &str, causes: &Causes, now: Instant) {
        let crash = Crash {
            backend: backend.into(),
            causes: causes.iter().collect(),
            age_ms: 0,
        };
        self.list.push(RecentCrash { crash, at: now });
        while self.list.len() > MAX_CRASHES || self.count_causes() > MAX_CAUSES {
            self.list.remove(0);
        }
        self.update_suspected();
    }

    /// Removes causes that a complete answer shows to be harmless.
    fn clear(&mut self, causes: &Causes) {
        if self.list.is_empty() {
            return;
        }
        let mut harmless: Vec<u64> = causes.iter().collect();
        harmless.sort_unstable();
        let before = self.count_causes();
        for recent in &mut self.list {
            let is_harmless = |hash: &u64| harmless.binary_search(hash).is_ok();
            recent.crash.causes.retain(|hash| !is_harmless(hash));
        }
        if self.count_causes() < before {
            self.list.retain(|recent| !recent.crash.causes.is_empty());
            self.update_suspected();
        }
    }

    fn count_causes(&self) -> usize {
        let causes = self.list.iter().map(|recent| recent.crash.causes.len());
        causes.sum()
    }

    fn update_suspected(&mut self) {
        let crashes = self.list.iter().map(|recent| &recent.crash);
        let causes = crashes.flat_map(|crash| {
            let backend = crash.backend.as_str();
            crash.causes.iter().map(move |hash| (*hash, backend))
        });
        let mut causes: Vec<(u64, &str)> = causes.collect();
        causes.sort_unstable();
        causes.dedup();
        let same = causes.chunk_by(|a, b| a.0 == b.0);
        let frequent = same.filter(|backends| backends.len() >= SUSPECT_CRASHES as usize);
        self.suspected = frequent.map(|backends| backends[0].0).collect();
    }
}
