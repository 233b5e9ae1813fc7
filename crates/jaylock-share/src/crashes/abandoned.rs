use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::crashes::causes::Causes;
use crate::crashes::crash_causes::Suspect;
use crate::scheduler::router::{RouterKey, Run};

/// Longest time after its end in which a run may crash its backend server.
const CRASH_DELAY: Duration = Duration::from_secs(3);
/// Time for which a run is kept, as the crash may show only when the backend server starts again.
const MEMORY: Duration = Duration::from_secs(15);
/// Runs that are kept; beyond this number the oldest gives way.
const MAX_ABANDONED: usize = 4096;
/// Causes that all of them have together, 2 MiB; beyond this number the oldest run gives way too.
const MAX_CAUSES: usize = 262_144;
/// Time after its end for which a trial counts as running, in which a router checks the backend server.
const TRIAL_HOLD: Duration = Duration::from_millis(1500);

/// Runs that their routers gave up, for a caller who left, a deadline or another attempt, before they showed that they crash
/// nothing: some backend servers go on.
#[derive(Debug, Default)]
pub struct AbandonedRuns {
    // In the order in which they ended.
    list: VecDeque<AbandonedRun>,
    // Causes that all of them have.
    causes: usize,
}

/// A run that was given up.
#[derive(Debug)]
pub struct AbandonedRun {
    pub backend_index: usize,
    pub fingerprint: u64,
    pub era: u64,
    pub granted_at: Instant,
    /// Whether its trial has not been ended yet.
    pub holds_trial: bool,
    router: RouterKey,
    ticket: u64,
    causes: Causes,
    is_trial: bool,
    ended_at: Instant,
}

impl AbandonedRuns {
    /// Adds a run; returns those that give way.
    pub fn add(&mut self, run: AbandonedRun) -> Vec<AbandonedRun> {
        self.causes += run.causes.count();
        self.list.push_back(run);
        let mut dropped = Vec::new();
        while self.list.len() > MAX_ABANDONED || self.causes > MAX_CAUSES {
            dropped.extend(self.pop_oldest());
        }
        dropped
    }

    fn pop_oldest(&mut self) -> Option<AbandonedRun> {
        let oldest = self.list.pop_front()?;
        self.causes -= oldest.causes.count();
        Some(oldest)
    }

    /// Takes a run of a router.
    pub fn take(&mut self, router: RouterKey, ticket: u64) -> Option<AbandonedRun> {
        let is_meant = |run: &AbandonedRun| run.router == router && run.ticket == ticket;
        let position = self.list.iter().position(is_meant)?;
        let run = self.list.remove(position)?;
        self.causes -= run.causes.count();
        Some(run)
    }

    /// Takes all runs at a backend server, first those that ended too long before `since` to have crashed it then or later.
    pub fn take_all(
        &mut self,
        backend_index: usize,
        since: Instant,
    ) -> (Vec<AbandonedRun>, Vec<AbandonedRun>) {
        let mut taken = Vec::new();
        let mut kept = VecDeque::with_capacity(self.list.len());
        for run in self.list.drain(..) {
            if run.backend_index == backend_index {
                self.causes -= run.causes.count();
                taken.push(run);
            } else {
                kept.push_back(run);
            }
        }
        self.list = kept;
        taken
            .into_iter()
            .partition(|run| run.ended_at + CRASH_DELAY < since)
    }

    /// Forgets the oldest runs, and returns the backend servers whose trials are over.
    pub fn expire(&mut self, now: Instant) -> Vec<usize> {
        let age = |run: &AbandonedRun| now.saturating_duration_since(run.ended_at);
        while self.list.front().is_some_and(|run| age(run) >= MEMORY) {
            self.pop_oldest();
        }
        let mut ended = Vec::new();
        let is_due = |run: &&mut AbandonedRun| {
            run.holds_trial && now.saturating_duration_since(run.ended_at) >= TRIAL_HOLD
        };
        for run in self.list.iter_mut().filter(is_due) {
            run.holds_trial = false;
            ended.push(run.backend_index);
        }
        ended
    }
}

impl AbandonedRun {
    pub fn new(router: RouterKey, run: &Run, now: Instant) -> Self {
        Self {
            backend_index: run.backend_index,
            fingerprint: run.fingerprint,
            era: run.era,
            granted_at: run.granted_at,
            holds_trial: run.is_trial,
            router,
            ticket: run.ticket,
            causes: run.causes.clone(),
            is_trial: run.is_trial,
            ended_at: now,
        }
    }

    pub fn as_suspect(&self) -> Suspect<'_> {
        Suspect {
            causes: &self.causes,
            is_trial: self.is_trial,
            granted_at: self.granted_at,
            is_abandoned: true,
        }
    }
}
