use std::time::{Duration, Instant};

use compact_str::CompactString;
use jaylock_rpc::v1::{BackendVerdict, Grant, Hello, SchedulerFrame};

use crate::account::AccountKey;
use crate::cost::SizeClass;
use crate::encoding::AddressTable;
use crate::engine::RequestLoad;

/// Names a router at a scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RouterKey(u32);

/// A granted slot, until its end is heard.
#[derive(Debug)]
pub struct Run {
    pub ticket: u64,
    pub account: AccountKey,
    /// Position of the backend server.
    pub backend_index: usize,
    pub size_class: SizeClass,
    pub charged_tokens: u64,
    pub tokens: u64,
    pub is_isolated: bool,
    /// As in the ask; 0 for runs that an earlier scheduler granted.
    pub fingerprint: u64,
    /// What it takes of a model engine, where its prompt is told.
    pub load: Option<RequestLoad>,
    /// When it was granted, and the tokens that the engine had to read until its prompt was read.
    pub granted_at: Instant,
    pub prefill_ahead: u64,
}

/// A router as the scheduler sees it.
#[derive(Debug)]
pub struct Router {
    pub id: CompactString,
    pub incarnation: u64,
    pub domain: CompactString,
    /// When its stream was lost.
    pub lost_at: Option<Instant>,
    /// When it was sent a message last.
    pub last_sent: Instant,
    /// Positions of the backend servers it may use without a scheduler, with slots.
    pub fallback: Vec<(usize, u32)>,
    /// What is to be sent to it next.
    pub frame: SchedulerFrame,
    addresses: AddressTable,
    /// Names that its stream has told, by their numbers.
    pub names: Vec<String>,
    // Sorted by ticket.
    runs: Vec<Run>,
    // Sorted by ticket.
    waiting: Vec<(u64, AccountKey)>,
}

impl Router {
    /// Whether it is to be sent a message.
    pub fn is_due(&self, now: Instant, heartbeat: Duration) -> bool {
        let is_silent = now.saturating_duration_since(self.last_sent) >= heartbeat;
        self.frame != SchedulerFrame::default() || (is_silent && !self.waiting.is_empty())
    }

    /// Forgets what an earlier stream has told.
    pub fn reset_stream(&mut self) {
        self.frame = SchedulerFrame::default();
        self.addresses = AddressTable::default();
        self.names = Vec::new();
        self.fallback = Vec::new();
    }

    /// Adds a grant that is to be sent.
    pub fn add_grant(&mut self, mut grant: Grant) {
        self.addresses.omit_known(&mut grant);
        self.frame.grants.push(grant);
    }

    /// Adds a granted slot.
    pub fn add_run(&mut self, run: Run) {
        let at = self.runs.partition_point(|other| other.ticket < run.ticket);
        self.runs.insert(at, run);
    }

    pub fn run_mut(&mut self, ticket: u64) -> Option<&mut Run> {
        let at = self
            .runs
            .binary_search_by_key(&ticket, |run| run.ticket)
            .ok()?;
        Some(&mut self.runs[at])
    }

    pub fn remove_run(&mut self, ticket: u64) -> Option<Run> {
        let at = self
            .runs
            .binary_search_by_key(&ticket, |run| run.ticket)
            .ok()?;
        Some(self.runs.remove(at))
    }

    /// Tickets of its granted slots.
    pub fn run_tickets(&self) -> Vec<u64> {
        self.runs.iter().map(|run| run.ticket).collect()
    }

    /// Notes where a ticket waits; false when it waits already.
    pub fn add_waiting(&mut self, ticket: u64, account: AccountKey) -> bool {
        match self
            .waiting
            .binary_search_by_key(&ticket, |(known, _)| *known)
        {
            Ok(_) => false,
            Err(at) => {
                self.waiting.insert(at, (ticket, account));
                true
            }
        }
    }

    pub fn remove_waiting(&mut self, ticket: u64) -> Option<AccountKey> {
        let at = self
            .waiting
            .binary_search_by_key(&ticket, |(known, _)| *known)
            .ok()?;
        Some(self.waiting.remove(at).1)
    }

    /// Adds what a backend server is to be told, in place of an older verdict.
    pub fn add_verdict(&mut self, verdict: BackendVerdict) {
        self.frame
            .verdicts
            .retain(|other| other.backend != verdict.backend);
        self.frame.verdicts.push(verdict);
    }

    /// Forgets all that waits and tells what it was.
    pub fn take_waiting(&mut self) -> Vec<(u64, AccountKey)> {
        std::mem::take(&mut self.waiting)
    }
}

/// The routers that are or were lately attached.
#[derive(Debug, Default)]
pub struct Routers {
    // Sorted by key.
    list: Vec<(RouterKey, Router)>,
    next: u32,
}

impl Routers {
    /// Finds a router by its name.
    pub fn find(&self, id: &str) -> Option<RouterKey> {
        let found = self.list.iter().find(|(_, router)| router.id == id);
        found.map(|(key, _)| *key)
    }

    /// Adds a router that was not known.
    pub fn add(&mut self, hello: &Hello, now: Instant) -> RouterKey {
        let key = RouterKey(self.next);
        self.next += 1;
        let router = Router {
            id: hello.router.as_str().into(),
            incarnation: hello.incarnation,
            domain: hello.domain.as_str().into(),
            lost_at: None,
            last_sent: now,
            fallback: Vec::new(),
            frame: SchedulerFrame::default(),
            addresses: AddressTable::default(),
            names: Vec::new(),
            runs: Vec::new(),
            waiting: Vec::new(),
        };
        self.list.push((key, router));
        key
    }

    pub fn get(&self, key: RouterKey) -> Option<&Router> {
        self.search(key).map(|at| &self.list[at].1)
    }

    pub fn get_mut(&mut self, key: RouterKey) -> Option<&mut Router> {
        self.search(key).map(|at| &mut self.list[at].1)
    }

    pub fn remove(&mut self, key: RouterKey) -> Option<Router> {
        self.search(key).map(|at| self.list.remove(at).1)
    }

    pub fn iter(&self) -> impl Iterator<Item = (RouterKey, &Router)> {
        self.list.iter().map(|(key, router)| (*key, router))
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = (RouterKey, &mut Router)> {
        self.list.iter_mut().map(|(key, router)| (*key, router))
    }

    fn search(&self, key: RouterKey) -> Option<usize> {
        self.list
            .binary_search_by_key(&key, |(known, _)| *known)
            .ok()
    }
}
