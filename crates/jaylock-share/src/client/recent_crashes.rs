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

/// Crashes of backend servers under a router's own runs.
///
/// A new scheduler learns of them, and while there is none the router itself regards them.
#[derive(Debug, Default)]
pub struct RecentCrashes {
    // Oldest first.
    list: Vec<RecentCrash>,
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
        let crashes = self.list.iter().map(|recent| Crash {
            age_ms: millis(age(recent.at)),
            ..recent.crash.clone()
        });
        crashes.collect()
    }

    /// Whether enough backend servers crashed under requests like this one that only a scheduler may grant it.
    pub fn is_suspect(&self, ask: &Ask) -> bool {
        let is_frequent = |hash: u64| {
            let crashes = self.list.iter().map(|recent| &recent.crash);
            let with_cause = crashes.filter(|crash| crash.causes.contains(&hash));
            let mut backends: Vec<&str> = with_cause.map(|c| c.backend.as_str()).collect();
            backends.sort_unstable();
            backends.dedup();
            backends.len() >= SUSPECT_CRASHES as usize
        };
        !self.list.is_empty() && Causes::from_ask(ask).iter().any(is_frequent)
    }

    /// Records a crash under a run with these causes.
    pub fn add(&mut self, backend: &str, causes: &Causes, now: Instant) {
        if self.list.len() >= MAX_CRASHES {
            self.list.remove(0);
        }
        let crash = Crash {
            backend: backend.into(),
            causes: causes.iter().collect(),
            age_ms: 0,
        };
        self.list.push(RecentCrash { crash, at: now });
    }

    /// Removes causes that a complete answer shows to be harmless.
    fn clear(&mut self, causes: &Causes) {
        for recent in &mut self.list {
            let is_harmless = |hash: &u64| causes.iter().any(|other| other == *hash);
            recent.crash.causes.retain(|hash| !is_harmless(hash));
        }
        self.list.retain(|recent| !recent.crash.causes.is_empty());
    }
}
