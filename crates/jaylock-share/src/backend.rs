use std::time::{Duration, Instant};

use compact_str::CompactString;
use jaylock_rpc::v1::{Ask, BackendReport, LoadedModel};

use crate::engine::{EngineState, Load};
use crate::holders::Holders;

/// A set of backend servers, by their positions.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BackendSet {
    words: Vec<u64>,
}

impl BackendSet {
    /// Puts a position into the set or takes it out.
    pub fn set(&mut self, place: usize, member: bool) {
        let word = place / 64;
        if word >= self.words.len() {
            self.words.resize(word + 1, 0);
        }
        let bit = 1 << (place % 64);
        if member {
            self.words[word] |= bit;
        } else {
            self.words[word] &= !bit;
        }
    }

    /// Positions that both sets hold, in order.
    pub fn common<'a>(&'a self, other: &'a Self) -> impl Iterator<Item = usize> + 'a {
        let words = self.words.iter().zip(&other.words);
        words
            .enumerate()
            .flat_map(|(at, (a, b))| bits(a & b).map(move |bit| at * 64 + bit))
    }

    /// Whether any position is in both sets.
    pub fn overlaps(&self, other: &Self) -> bool {
        let mut words = self.words.iter().zip(&other.words);
        words.any(|(a, b)| a & b != 0)
    }

    /// Positions that both sets hold, as a set.
    pub fn intersection(&self, other: &Self) -> Self {
        let words = self.words.iter().zip(&other.words);
        Self {
            words: words.map(|(a, b)| a & b).collect(),
        }
    }

    /// Whether a position is in the set.
    pub fn contains(&self, place: usize) -> bool {
        let word = self.words.get(place / 64).copied().unwrap_or(0);
        word & (1 << (place % 64)) != 0
    }

    /// Whether the set holds nothing.
    pub fn is_empty(&self) -> bool {
        self.words.iter().all(|word| *word == 0)
    }
}

fn bits(mut word: u64) -> impl Iterator<Item = usize> {
    std::iter::from_fn(move || {
        if word == 0 {
            return None;
        }
        let bit = word.trailing_zeros() as usize;
        word &= word - 1;
        Some(bit)
    })
}

/// Time after which a backend server that reports itself full of others' work is tried all the same.
const STUCK_AFTER: Duration = Duration::from_secs(2);

/// Time for which a heartbeat may be under way.
const LATE_HEARTBEAT: Duration = Duration::from_secs(10);

/// A backend server as the scheduler sees it.
#[derive(Debug)]
pub struct Backend {
    pub report: BackendReport,
    pub heard: Instant,
    pub granted: u32,
    pub drained: bool,
    /// What it has to read and keeps, where requests tell their prompts.
    pub engine: EngineState,
    /// Whether a request runs there that must run alone, or waits for it to become empty.
    pub reserved: bool,
    // Work reported there that no grant of this scheduler explains.
    foreign: u32,
    // Since when that work alone fills it.
    full_since: Option<Instant>,
    // Most grants at once since the last report and between the two reports before it.
    peaks: [u32; 2],
    // When it said that it ends; reports that were heard before count no more.
    ended: Option<Instant>,
    // Sorted.
    prefixes: Vec<u64>,
}

impl Backend {
    fn new(report: BackendReport, now: Instant) -> Self {
        Self {
            heard: said(&report, now),
            report,
            granted: 0,
            drained: false,
            engine: EngineState::default(),
            reserved: false,
            foreign: 0,
            full_since: None,
            peaks: [0; 2],
            ended: None,
            prefixes: Vec::new(),
        }
    }

    /// Why the backend server gets nothing new, or an empty text.
    pub fn state(&self, now: Instant, lease: Duration) -> &'static str {
        if self.report.gone {
            "gone"
        } else if self.report.leaving {
            "leaving"
        } else if self.drained {
            "drained"
        } else if now.saturating_duration_since(self.heard) >= lease {
            "lost"
        } else {
            ""
        }
    }

    /// Requests that it would take now.
    pub fn free(&self) -> u32 {
        let used = self.granted.saturating_add(self.foreign);
        self.report.slots.saturating_sub(used)
    }

    /// Whether a request may be tried there although its reports leave no room.
    ///
    /// A report that sticks would else keep it out for ever; one that is really full declines.
    fn is_worth_a_try(&self, now: Instant) -> bool {
        let is_overdue = |since| now.saturating_duration_since(since) >= STUCK_AFTER;
        self.granted == 0 && self.full_since.is_some_and(is_overdue)
    }

    /// Whether it said that it ends before anything else was heard of it here, so lately that a heartbeat from before may
    /// still be under way.
    fn may_have_ended(&self, now: Instant) -> bool {
        let is_late = |ended| now.saturating_duration_since(ended) < LATE_HEARTBEAT;
        self.report.gone && self.report.incarnation == 0 && self.ended.is_some_and(is_late)
    }

    /// Whether reports name so much work of others that nothing of ours has room.
    fn is_full_of_others(&self) -> bool {
        self.foreign >= self.report.slots
    }

    /// Whether nothing is known to run there.
    pub fn is_idle(&self) -> bool {
        self.granted == 0 && self.foreign == 0
    }

    /// Share of its slots that is taken, in 100.
    pub fn load(&self) -> u32 {
        let used = u64::from(self.granted) + u64::from(self.foreign);
        let share = used * 100 / u64::from(self.report.slots.max(1));
        u32::try_from(share).unwrap_or(u32::MAX)
    }

    /// Counts a grant.
    pub fn add_grant(&mut self) {
        self.granted += 1;
        self.peaks[0] = self.peaks[0].max(self.granted);
    }

    /// Counts the end of a grant.
    pub fn remove_grant(&mut self) {
        self.granted = self.granted.saturating_sub(1);
    }

    /// How many of the prompt's prefixes, shortest first, it is believed to hold.
    pub fn matched(&self, prefixes: &[u64]) -> usize {
        let held = |hash: &&u64| self.prefixes.binary_search(hash).is_ok();
        prefixes.iter().take_while(held).count()
    }

    /// Whether a report of the same start is older than what is known, or comes after its end.
    fn is_newer_than(&self, report: &BackendReport) -> bool {
        self.report.gone || report.sequence < self.report.sequence
    }

    /// Forgets what an earlier start kept, and when it was heard.
    fn restart(&mut self, now: Instant, lease: Duration) {
        self.prefixes.clear();
        self.engine.restart();
        self.heard = now.checked_sub(lease).unwrap_or(now);
    }

    fn renew(&mut self, report: BackendReport, now: Instant, most: usize) {
        self.heard = self.heard.max(said(&report, now));
        // Reports lag behind: only work above the most that was granted lately is someone else's.
        let reported = report.running.saturating_add(report.waiting);
        let known = self.peaks[0].max(self.peaks[1]).max(self.granted);
        self.foreign = reported.saturating_sub(known);
        self.peaks = [self.granted, self.peaks[0]];
        let since = self.full_since.unwrap_or(now);
        self.learn_prefixes(&report, most);
        self.report = report;
        self.full_since = self.is_full_of_others().then_some(since);
    }

    fn learn_prefixes(&mut self, report: &BackendReport, most: usize) {
        for hash in &report.evicted {
            if let Ok(at) = self.prefixes.binary_search(hash) {
                self.prefixes.remove(at);
            }
        }
        for hash in &report.cached {
            if let Err(at) = self.prefixes.binary_search(hash) {
                // Evictions get lost; beyond the bound the guesses start afresh.
                if self.prefixes.len() >= most {
                    self.prefixes.clear();
                }
                self.prefixes.insert(at.min(self.prefixes.len()), *hash);
            }
        }
    }
}

/// The backend servers of a pool, each kept under a lease that its reports renew.
#[derive(Debug, Default)]
pub struct Backends {
    list: Vec<Backend>,
    // Sorted by name.
    names: Vec<(CompactString, usize)>,
    // Names of drained backend servers, announced or not, sorted.
    drains: Vec<CompactString>,
    // Those that would take another request.
    open: BackendSet,
    // Those that may take requests, full or not.
    usable: BackendSet,
    holders: Holders,
}

impl Backends {
    /// Takes a report; an error tells the backend server why it is refused.
    pub fn report(
        &mut self,
        report: BackendReport,
        now: Instant,
        lease: Duration,
        most_prefixes: usize,
    ) -> Result<usize, &'static str> {
        let place = self.take_report(report, now, lease, most_prefixes)?;
        self.note_parts(place);
        Ok(place)
    }

    /// Counts a request that is sent to an engine.
    pub fn begin(&mut self, place: usize, ask: &Ask) -> Load {
        let load = self.list[place].engine.begin(ask);
        self.note_parts(place);
        load
    }

    /// Looks up who keeps the parts of a prompt, so that it is known from now on.
    pub fn look_up(&mut self, ask: &Ask) {
        self.holders.look_up(ask, &self.list);
    }

    /// Which engines keep which parts.
    pub fn holders(&self) -> &Holders {
        &self.holders
    }

    fn note_parts(&mut self, place: usize) {
        let changes = self.list[place].engine.take_changes();
        self.holders.note(place, changes);
    }

    fn take_report(
        &mut self,
        report: BackendReport,
        now: Instant,
        lease: Duration,
        most_prefixes: usize,
    ) -> Result<usize, &'static str> {
        if report.slots == 0 {
            return Err("a backend server takes at least one request at once: announce slots > 0");
        }
        let place = match self.find(&report.id) {
            Some(place) => place,
            None => self.add(report.clone(), now),
        };
        let backend = &mut self.list[place];
        let is_live = now.saturating_duration_since(backend.heard) < lease;
        let is_announced = backend.report.slots > 0;
        if backend.report.token_hash != report.token_hash && is_live && is_announced {
            return Err("this name belongs to another backend server: choose another name");
        }
        if report.incarnation < backend.report.incarnation {
            return Err(
                "a newer start of this backend server has announced itself: announce again",
            );
        }
        let said = said(&report, now);
        if backend.ended.is_some_and(|ended| said <= ended) {
            if backend.report.incarnation == 0 {
                // It tells which start has ended.
                backend.report.incarnation = report.incarnation;
            }
            return Ok(place);
        }
        if backend.may_have_ended(now) {
            return Ok(place);
        }
        if report.incarnation == backend.report.incarnation {
            backend.engine.learn(&report.kept);
        }
        if report.incarnation > backend.report.incarnation {
            backend.restart(now, lease);
        } else if backend.is_newer_than(&report) {
            return Ok(place);
        }
        backend.renew(report, now, most_prefixes);
        self.refresh(place, now, lease);
        Ok(place)
    }

    /// Notes that a backend server has ended, known or not.
    pub fn end(&mut self, id: &str, now: Instant, lease: Duration) {
        let place = self.place(id, now);
        let backend = &mut self.list[place];
        backend.report.gone = true;
        backend.ended = Some(now);
        self.refresh(place, now, lease);
    }

    pub fn find(&self, id: &str) -> Option<usize> {
        let at = self
            .names
            .binary_search_by(|(name, _)| name.as_str().cmp(id));
        at.ok().map(|at| self.names[at].1)
    }

    pub fn get(&self, place: usize) -> &Backend {
        &self.list[place]
    }

    pub fn get_mut(&mut self, place: usize) -> &mut Backend {
        &mut self.list[place]
    }

    pub fn len(&self) -> usize {
        self.list.len()
    }

    pub fn iter(&self) -> impl Iterator<Item = &Backend> {
        self.names.iter().map(|(_, place)| &self.list[*place])
    }

    /// Backend servers that would take another request.
    pub fn open(&self) -> &BackendSet {
        &self.open
    }

    /// Computes anew whether a backend server would take another request.
    pub fn refresh(&mut self, place: usize, now: Instant, lease: Duration) {
        let backend = &self.list[place];
        let is_usable = backend.state(now, lease).is_empty();
        let has_room = backend.free() > 0 || backend.is_worth_a_try(now);
        let is_open = is_usable && !backend.reserved && has_room;
        self.usable.set(place, is_usable);
        self.open.set(place, is_open);
    }

    /// Backend servers that may take requests, full or not.
    pub fn usable(&self) -> &BackendSet {
        &self.usable
    }

    /// Slots that are taken and slots that there are, over the usable backend servers.
    pub fn slots(&self) -> (u32, u32) {
        let usable = self
            .usable
            .common(&self.usable)
            .map(|place| &self.list[place]);
        usable.fold((0, 0), |(used, slots), backend| {
            let all = backend.report.slots;
            (used + all - backend.free().min(all), slots + all)
        })
    }

    /// The usable backend servers with their slots.
    pub fn usable_slots(&self) -> Vec<(usize, u32)> {
        let usable = self.usable.common(&self.usable);
        usable
            .map(|place| (place, self.list[place].report.slots))
            .collect()
    }

    /// What each backend server has loaded.
    pub fn loaded(&self) -> impl Iterator<Item = (usize, &[LoadedModel])> {
        let list = self.list.iter().enumerate();
        list.map(|(place, backend)| (place, backend.report.models.as_slice()))
    }

    /// Position of a backend server, which is added as lost when it has not announced itself.
    pub fn place(&mut self, id: &str, now: Instant) -> usize {
        self.find(id).unwrap_or_else(|| {
            let report = BackendReport {
                id: id.into(),
                ..BackendReport::default()
            };
            self.add(report, now)
        })
    }

    /// Takes the names of the backend servers that get nothing new by an operator's decision.
    pub fn set_drains(&mut self, mut drains: Vec<CompactString>) {
        drains.sort_unstable();
        for backend in &mut self.list {
            let id = CompactString::from(backend.report.id.as_str());
            backend.drained = drains.binary_search(&id).is_ok();
        }
        self.drains = drains;
    }

    fn add(&mut self, report: BackendReport, now: Instant) -> usize {
        let place = self.list.len();
        let name = CompactString::from(report.id.as_str());
        let at = self.names.partition_point(|(other, _)| *other < name);
        let mut backend = Backend::new(report, now);
        backend.drained = self.drains.binary_search(&name).is_ok();
        self.names.insert(at, (name, place));
        self.list.push(backend);
        place
    }
}

/// When a backend server said what a report holds.
fn said(report: &BackendReport, now: Instant) -> Instant {
    let age = Duration::from_millis(report.age_ms.into());
    now.checked_sub(age).unwrap_or(now)
}
