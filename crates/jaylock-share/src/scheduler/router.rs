use std::time::{Duration, Instant};

use compact_str::CompactString;
use jaylock_rpc::v1::{BackendVerdict, Grant, Hello, SchedulerFrame};
use jaylock_types::StreamId;

use crate::admission::account::AccountKey;
use crate::admission::cost::SizeClass;
use crate::backends::backend_set::BackendSet;
use crate::crashes::causes::Causes;
use crate::encoding::AddressTable;
use crate::placement::engine::RequestLoad;
use crate::scheduler::contact::Contact;
use crate::scheduler::division::SlotShare;

/// Identifies a router at a scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RouterKey(u32);

/// A granted slot, until its end is reported.
#[derive(Debug)]
pub struct Run {
    pub ticket: u64,
    pub account: AccountKey,
    /// Index of the backend server.
    pub backend_index: usize,
    pub size_class: SizeClass,
    /// Service charged so far, in tokens, including the precharge.
    pub charged_tokens: u64,
    /// Service reported so far, in tokens; starts with the prompt if the request lists its parts.
    pub tokens: u64,
    pub is_isolated: bool,
    /// Fingerprint of the request; 0 for runs that an earlier scheduler granted.
    pub fingerprint: u64,
    /// Era of equal runs at the backend server, which a crash there ends.
    pub era: u64,
    /// What the request shares with others and may crash backend servers.
    pub causes: Causes,
    /// Whether it is the only run with a suspected cause, which shows whether the cause is harmless.
    pub is_trial: bool,
    /// When the first progress was reported.
    pub began_at: Option<Instant>,
    /// Whether the run has shown that it crashes nothing.
    pub is_proven: bool,
    /// Load on a model engine, for requests that list the parts of their prompts.
    pub load: Option<RequestLoad>,
    /// When the slot was granted.
    pub granted_at: Instant,
    /// Pending prefill of the engine at the grant, including this request's prompt, in tokens.
    pub prefill_ahead: u64,
    /// Stream that the request begins or continues, if it has an identifier.
    pub stream: Option<StreamId>,
    /// Version of the software that runs it.
    pub software: CompactString,
}

/// Time for which a start of a backend server wants nothing from a router.
#[derive(Debug, Clone, Copy)]
pub struct Pause {
    /// Index of the backend server.
    pub index: usize,
    pub incarnation: u64,
    pub until: Instant,
}

/// The scheduler's state of one router.
#[derive(Debug)]
pub struct Router {
    pub id: CompactString,
    pub incarnation: u64,
    pub domain: CompactString,
    /// When the router's stream was lost; `None` while the router is attached.
    pub detached_at: Option<Instant>,
    /// When the router was last heard.
    pub contact: Contact,
    /// When the last message was sent to the router.
    pub last_sent: Instant,
    /// Slots that the router may use without a scheduler; `None` until its stream has told it.
    pub fallback: Option<Vec<SlotShare>>,
    /// Backend servers that want nothing from this router for a time.
    pub pauses: Vec<Pause>,
    /// The next message to the router.
    pub frame: SchedulerFrame,
    addresses: AddressTable,
    /// Names that the stream has defined, by their numbers.
    pub names: Vec<String>,
    // Sorted by ticket.
    runs: Vec<Run>,
    // Sorted by ticket.
    waiting: Vec<(u64, AccountKey)>,
}

impl Router {
    /// Whether a message to the router is due.
    pub fn is_due(&self, now: Instant, heartbeat: Duration) -> bool {
        let is_idle = now.saturating_duration_since(self.last_sent) >= heartbeat;
        self.frame != SchedulerFrame::default() || (is_idle && !self.waiting.is_empty())
    }

    /// Discards the state of an earlier stream.
    pub fn reset_stream(&mut self) {
        self.frame = SchedulerFrame::default();
        self.addresses = AddressTable::default();
        self.names = Vec::new();
        self.fallback = None;
    }

    /// Adds a pause; a longer one of the same start of the backend server stays as it is.
    pub fn add_pause(&mut self, pause: Pause) {
        let same = self.pauses.iter_mut().find(|p| p.index == pause.index);
        match same {
            Some(known) if known.incarnation == pause.incarnation => {
                known.until = known.until.max(pause.until);
            }
            Some(known) => *known = pause,
            None => self.pauses.push(pause),
        }
    }

    /// Indices of the backend servers that want nothing from this router.
    pub fn paused(&self) -> BackendSet {
        let mut paused = BackendSet::default();
        for pause in &self.pauses {
            paused.set(pause.index, true);
        }
        paused
    }

    /// Ends the pauses of earlier starts of a backend server.
    pub fn end_pauses_before(&mut self, index: usize, incarnation: u64) {
        self.pauses
            .retain(|pause| pause.index != index || pause.incarnation >= incarnation);
    }

    /// Removes the pauses that are over.
    pub fn end_pauses(&mut self, now: Instant) {
        self.pauses.retain(|pause| pause.until > now);
    }

    /// Adds a grant to the next message.
    pub fn add_grant(&mut self, mut grant: Grant) {
        self.addresses.omit_known(&mut grant);
        self.frame.grants.push(grant);
    }

    /// Adds a granted slot.
    pub fn add_run(&mut self, run: Run) {
        let index = self.runs.partition_point(|other| other.ticket < run.ticket);
        self.runs.insert(index, run);
    }

    pub fn run_mut(&mut self, ticket: u64) -> Option<&mut Run> {
        let index = self
            .runs
            .binary_search_by_key(&ticket, |run| run.ticket)
            .ok()?;
        Some(&mut self.runs[index])
    }

    pub fn remove_run(&mut self, ticket: u64) -> Option<Run> {
        let index = self
            .runs
            .binary_search_by_key(&ticket, |run| run.ticket)
            .ok()?;
        Some(self.runs.remove(index))
    }

    /// The router's granted slots.
    pub fn runs(&self) -> impl Iterator<Item = &Run> {
        self.runs.iter()
    }

    /// The router's granted slots, to change them.
    pub fn runs_mut(&mut self) -> impl Iterator<Item = &mut Run> {
        self.runs.iter_mut()
    }

    /// Records the account in whose queue a ticket waits; returns false if the ticket waits already.
    pub fn add_waiting(&mut self, ticket: u64, account: AccountKey) -> bool {
        match self
            .waiting
            .binary_search_by_key(&ticket, |(known, _)| *known)
        {
            Ok(_) => false,
            Err(index) => {
                self.waiting.insert(index, (ticket, account));
                true
            }
        }
    }

    pub fn remove_waiting(&mut self, ticket: u64) -> Option<AccountKey> {
        let index = self
            .waiting
            .binary_search_by_key(&ticket, |(known, _)| *known)
            .ok()?;
        Some(self.waiting.remove(index).1)
    }

    /// Adds a verdict on a backend server to the next message, in place of an older one.
    pub fn add_verdict(&mut self, verdict: BackendVerdict) {
        self.frame
            .verdicts
            .retain(|other| other.backend != verdict.backend);
        self.frame.verdicts.push(verdict);
    }

    /// Takes all waiting tickets, with their accounts.
    pub fn take_waiting(&mut self) -> Vec<(u64, AccountKey)> {
        std::mem::take(&mut self.waiting)
    }
}

/// The routers that are or recently were attached.
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

    /// Adds a router that is not known.
    pub fn add(&mut self, hello: &Hello, now: Instant) -> RouterKey {
        let key = RouterKey(self.next);
        self.next += 1;
        let router = Router {
            id: hello.router.as_str().into(),
            incarnation: hello.incarnation,
            domain: hello.domain.as_str().into(),
            detached_at: None,
            contact: Contact::new(hello.keeps_contact, now),
            last_sent: now,
            fallback: None,
            pauses: Vec::new(),
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
        self.search(key).map(|index| &self.list[index].1)
    }

    pub fn get_mut(&mut self, key: RouterKey) -> Option<&mut Router> {
        self.search(key).map(|index| &mut self.list[index].1)
    }

    pub fn remove(&mut self, key: RouterKey) -> Option<Router> {
        self.search(key).map(|index| self.list.remove(index).1)
    }

    pub fn iter(&self) -> impl Iterator<Item = (RouterKey, &Router)> {
        self.list.iter().map(|(key, router)| (*key, router))
    }

    /// Number of attached routers.
    pub fn attached_count(&self) -> usize {
        let attached = self.iter().filter(|(_, r)| r.detached_at.is_none());
        attached.count()
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
