use std::collections::VecDeque;
use std::time::{Duration, Instant};

use compact_str::CompactString;

use crate::client::held_slot::HeldSlot;
use crate::crashes::causes::Causes;

/// Time for which a run is kept, in which its backend server is checked.
const MEMORY: Duration = Duration::from_secs(5);
/// Runs that are kept; beyond this number the oldest gives way.
const MAX_RUNS: usize = 256;
/// Causes that all of them have together, 512 KiB; beyond this number the oldest run gives way too.
const MAX_CAUSES: usize = 65_536;

/// Own runs that a router gave up, and that may still crash their backend servers.
#[derive(Debug, Default)]
pub struct GivenUpRuns {
    // In the order in which they ended.
    list: VecDeque<GivenUpRun>,
    // Causes that all of them have.
    causes: usize,
}

/// A run that was given up.
#[derive(Debug)]
pub struct GivenUpRun {
    pub backend: CompactString,
    pub incarnation: u64,
    pub causes: Causes,
    ticket: u64,
    ended_at: Instant,
}

impl GivenUpRuns {
    /// Adds a run, and forgets the oldest.
    pub fn add(&mut self, held: &HeldSlot, now: Instant) {
        let age = |run: &GivenUpRun| now.saturating_duration_since(run.ended_at);
        while self.list.front().is_some_and(|run| age(run) >= MEMORY) {
            self.remove(0);
        }
        let causes = held.causes.count();
        while self.list.len() >= MAX_RUNS || self.causes + causes > MAX_CAUSES {
            if self.remove(0).is_none() {
                break;
            }
        }
        self.causes += causes;
        self.list.push_back(GivenUpRun {
            backend: held.backend.clone(),
            incarnation: held.incarnation,
            causes: held.causes.clone(),
            ticket: held.ticket,
            ended_at: now,
        });
    }

    fn remove(&mut self, position: usize) -> Option<GivenUpRun> {
        let run = self.list.remove(position)?;
        self.causes -= run.causes.count();
        Some(run)
    }

    /// Takes a run.
    pub fn take(&mut self, ticket: u64) -> Option<GivenUpRun> {
        let position = self.list.iter().position(|run| run.ticket == ticket)?;
        self.remove(position)
    }

    /// Takes all runs at a backend server.
    pub fn take_all(&mut self, backend: &str) -> VecDeque<GivenUpRun> {
        let list = std::mem::take(&mut self.list);
        let is_there = |run: &GivenUpRun| run.backend == backend;
        let (taken, kept): (VecDeque<_>, _) = list.into_iter().partition(is_there);
        self.list = kept;
        self.causes -= taken.iter().map(|run| run.causes.count()).sum::<usize>();
        taken
    }
}
