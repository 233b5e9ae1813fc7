use std::time::{Duration, Instant};

use compact_str::CompactString;
use jaylock_rpc::v1::{Ask, BackendReport, ColdNotice, Configuration};

use crate::backends::backend::{Backend, MAX_HEARTBEAT_DELAY, report_time};
use crate::backends::backend_set::BackendSet;
use crate::backends::cold::{ColdPolicy, ColdSettings};
use crate::backends::departures::Departures;
use crate::backends::evacuations::Evacuations;
use crate::backends::restorations::Restorations;
use crate::placement::cache_index::CacheIndex;
use crate::placement::engine::RequestLoad;
use crate::placement::pace::update_paces;
use crate::placement::slowness::Slowness;
use crate::scheduler::division::SlotShare;

/// Slots that may be used.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct SlotCount {
    pub taken: u32,
    pub all: u32,
}

/// The backend servers of a pool, each under a lease that its reports renew.
#[derive(Debug, Default)]
pub struct Backends {
    list: Vec<Backend>,
    // Sorted by id.
    indices_by_id: Vec<(CompactString, usize)>,
    // Names of drained backend servers, announced or not; sorted.
    drains: Vec<CompactString>,
    departures: Departures,
    evacuations: Evacuations,
    restorations: Restorations,
    cold_policy: ColdPolicy,
    // Backend servers that would take another request.
    available: BackendSet,
    // Backend servers that may take requests, full or not.
    usable: BackendSet,
    // Taken and total slots of each backend server, by index; none if it isn't usable.
    slots: Vec<SlotCount>,
    // The sum over all backend servers.
    total: SlotCount,
    cache_index: CacheIndex,
    /// Estimated delay of a first event besides prefill.
    first_event_delay: Duration,
}

impl Backends {
    /// Applies a report; an error says why the backend server is refused.
    pub fn apply_report(
        &mut self,
        report: BackendReport,
        now: Instant,
        lease: Duration,
        max_prefixes: usize,
    ) -> Result<usize, &'static str> {
        let index = self.update_report(report, now, lease, max_prefixes)?;
        self.update_cache_index(index);
        Ok(index)
    }

    /// Records a request that is sent to an engine.
    pub fn add_request(&mut self, index: usize, ask: &Ask) -> RequestLoad {
        let load = self.list[index].engine.add_request(ask);
        self.update_cache_index(index);
        load
    }

    /// Adds the shared parts of a prompt to the cache index.
    pub fn index_parts(&mut self, ask: &Ask) {
        self.cache_index.index_parts(ask, &self.list);
    }

    /// Index of the engines that cache each part.
    pub fn cache_index(&self) -> &CacheIndex {
        &self.cache_index
    }

    fn update_cache_index(&mut self, index: usize) {
        let changes = self.list[index].engine.take_changes();
        self.cache_index.apply_changes(index, changes);
    }

    fn update_report(
        &mut self,
        report: BackendReport,
        now: Instant,
        lease: Duration,
        max_prefixes: usize,
    ) -> Result<usize, &'static str> {
        if report.slots == 0 {
            return Err("a backend server takes at least one request at once: announce slots > 0");
        }
        let index = match self.find(&report.id) {
            Some(index) => index,
            None => self.add(report.clone(), now),
        };
        let backend = &mut self.list[index];
        let is_live = now.saturating_duration_since(backend.last_report) < lease;
        let is_announced = backend.report.slots > 0;
        if backend.report.token_hash != report.token_hash && is_live && is_announced {
            return Err("this name belongs to another backend server: choose another name");
        }
        if report.incarnation < backend.report.incarnation {
            return Err(
                "a newer start of this backend server has announced itself: announce again",
            );
        }
        let report_time = report_time(&report, now);
        if backend
            .ended_at
            .is_some_and(|ended_at| report_time <= ended_at)
        {
            if backend.report.incarnation == 0 {
                // This report shows which incarnation has ended.
                backend.report.incarnation = report.incarnation;
            }
            return Ok(index);
        }
        if backend.may_have_ended(now) {
            return Ok(index);
        }
        if report.incarnation == backend.report.incarnation {
            backend.engine.add_cached_parts(&report.kept);
        }
        if report.incarnation > backend.report.incarnation {
            backend.restart(now, lease);
        } else if backend.supersedes(&report) {
            return Ok(index);
        }
        backend.renew(report, now, max_prefixes);
        backend.orders.is_evacuated = self.evacuations.contains(&backend.report.domain);
        self.refresh(index, now, lease);
        Ok(index)
    }

    /// Records that a start of a backend server has ended, known or not; 0 stands for the newest start that is known.
    ///
    /// Returns which start has ended.
    pub fn mark_ended(
        &mut self,
        id: &str,
        incarnation: u64,
        at: Instant,
        now: Instant,
        lease: Duration,
    ) -> u64 {
        let index = self.find_or_add(id, now);
        let backend = &mut self.list[index];
        // A report that came long after the end of an unknown start is one of a newer start.
        let is_long_after =
            backend.last_report.saturating_duration_since(at) >= MAX_HEARTBEAT_DELAY;
        let is_newer_start = backend.report.incarnation > incarnation;
        if is_newer_start && (incarnation > 0 || is_long_after) {
            return incarnation;
        }
        backend.report.incarnation = backend.report.incarnation.max(incarnation);
        backend.report.gone = true;
        backend.ended_at = Some(at);
        let ended = backend.report.incarnation;
        self.refresh(index, now, lease);
        ended
    }

    /// Applies the departures that the replicated log holds, also to backend servers that report later.
    pub fn set_departures(
        &mut self,
        configuration: &Configuration,
        pool: &str,
        unix_ms: u64,
        now: Instant,
        lease: Duration,
    ) {
        let unknown = self.departures.new_unknown(configuration, pool, unix_ms);
        self.departures = Departures::new(configuration, pool);
        for backend in &mut self.list {
            let departed = self.departures.newest(&backend.report.id);
            backend.left_incarnation = backend.left_incarnation.max(departed);
        }
        for backend in unknown {
            self.mark_ended(&backend, 0, now, now, lease);
        }
    }

    pub fn find(&self, id: &str) -> Option<usize> {
        let position = self
            .indices_by_id
            .binary_search_by(|(name, _)| name.as_str().cmp(id));
        position.ok().map(|position| self.indices_by_id[position].1)
    }

    pub fn get(&self, index: usize) -> &Backend {
        &self.list[index]
    }

    pub fn get_mut(&mut self, index: usize) -> &mut Backend {
        &mut self.list[index]
    }

    pub fn len(&self) -> usize {
        self.list.len()
    }

    pub fn iter(&self) -> impl Iterator<Item = &Backend> {
        self.indices_by_id
            .iter()
            .map(|(_, index)| &self.list[*index])
    }

    /// Backend servers that would take another request.
    pub fn available(&self) -> &BackendSet {
        &self.available
    }

    /// Recomputes whether a backend server may take requests and would take another one.
    pub fn refresh(&mut self, index: usize, now: Instant, lease: Duration) {
        let backend = &mut self.list[index];
        let has_lost_cache = backend.update_limits(&self.cold_policy, now);
        let is_usable = backend.unusable_reason(now, lease).is_empty();
        let has_free_slot = backend.free_slots() > 0 || backend.may_probe(now);
        let takes_requests = has_free_slot && !backend.is_limited;
        let is_available = is_usable && !backend.is_reserved && takes_requests;
        self.usable.set(index, is_usable);
        self.available.set(index, is_available);
        self.count_slots(index, is_usable);
        if has_lost_cache {
            self.update_cache_index(index);
        }
    }

    /// Slowness of each backend server now, by index.
    pub fn slowness(&self, now: Instant) -> Vec<Slowness> {
        let list = self.list.iter();
        list.map(|backend| backend.pace.slowness(now)).collect()
    }

    /// Estimated delay of a first event besides prefill.
    pub fn first_event_delay(&self) -> Duration {
        self.first_event_delay
    }

    /// Recomputes the paces of the usable backend servers.
    pub fn update_paces(&mut self) {
        let usable = &self.usable;
        let list = self.list.iter_mut().enumerate();
        let paces = list.filter(|(index, _)| usable.contains(*index));
        let mut paces: Vec<_> = paces.map(|(_, backend)| &mut backend.pace).collect();
        self.first_event_delay = update_paces(&mut paces);
    }

    /// Backend servers that may take requests, full or not.
    pub fn usable(&self) -> &BackendSet {
        &self.usable
    }

    /// Whether a request waits in vain for unusable backend servers: all that were eligible have left or are evacuated,
    /// or a version that is gone does not return for a stream that it began.
    pub fn wait_is_vain(&self, ask: &Ask, eligible: &BackendSet) -> bool {
        let mut indices = eligible.common(eligible);
        let mut have_left = || indices.all(|index| self.list[index].has_left());
        ask.software.is_some()
            || (!eligible.is_empty() && have_left())
            || self.are_evacuated(eligible)
    }

    /// Whether a request must not be sent to any of the eligible backend servers that have not left.
    pub fn are_evacuated(&self, eligible: &BackendSet) -> bool {
        let remaining = eligible.common(eligible).map(|index| &self.list[index]);
        let mut remaining = remaining.filter(|backend| !backend.has_left()).peekable();
        let is_any_left = remaining.peek().is_some();
        self.is_evacuated() || (is_any_left && remaining.all(|backend| backend.orders.is_evacuated))
    }

    /// Whether all failure domains are evacuated.
    pub fn is_evacuated(&self) -> bool {
        self.evacuations.is_total()
    }

    /// Taken and total slots of the usable backend servers.
    pub fn slots(&self) -> SlotCount {
        self.total
    }

    /// Updates the sum of the slots, which each decision reads.
    fn count_slots(&mut self, index: usize, is_usable: bool) {
        let backend = &self.list[index];
        let all = backend.report.slots;
        let count = SlotCount {
            taken: all - backend.free_slots().min(all),
            all,
        };
        let count = if is_usable {
            count
        } else {
            SlotCount::default()
        };
        let before = std::mem::replace(&mut self.slots[index], count);
        self.total.taken = self.total.taken + count.taken - before.taken;
        self.total.all = self.total.all + count.all - before.all;
    }

    /// The usable backend servers with their slots, each of which takes so many prompt tokens a second, without those that are cold or were lately.
    pub fn usable_slots(&self, prompt_tokens: u64) -> Vec<SlotShare> {
        let usable = self.usable.common(&self.usable);
        let usable = usable.filter(|index| self.list[*index].cold.is_warm());
        let is_cold_limited = self.cold_policy.settings.is_some();
        let share = |index: usize| {
            let report = &self.list[index].report;
            SlotShare {
                index,
                incarnation: report.incarnation,
                slots: report.slots,
                prompt_tokens,
                is_warm: is_cold_limited,
            }
        };
        usable.map(share).collect()
    }

    /// The newest report of each backend server.
    pub fn reports(&self) -> impl Iterator<Item = (usize, &BackendReport)> {
        let list = self.list.iter().enumerate();
        list.map(|(index, backend)| (index, &backend.report))
    }

    /// Index of a backend server, which is added without slots if it has not announced itself.
    pub fn find_or_add(&mut self, id: &str, now: Instant) -> usize {
        self.find(id).unwrap_or_else(|| {
            let report = BackendReport {
                id: id.into(),
                ..BackendReport::default()
            };
            self.add(report, now)
        })
    }

    /// Replaces the names of the backend servers that an operator has drained.
    pub fn set_drains(&mut self, mut drains: Vec<CompactString>) {
        drains.sort_unstable();
        for backend in &mut self.list {
            let id = CompactString::from(backend.report.id.as_str());
            backend.orders.is_drained = drains.binary_search(&id).is_ok();
        }
        self.drains = drains;
    }

    /// Applies the evacuations of a configuration at some Unix time, also to backend servers that report later.
    pub fn set_evacuations(&mut self, configuration: &Configuration, unix_ms: u64, now: Instant) {
        self.evacuations = Evacuations::new(configuration);
        let restored = self.restorations.update(configuration, unix_ms, now);
        for backend in &mut self.list {
            let domain = backend.report.domain.as_str();
            backend.orders.is_evacuated = self.evacuations.contains(domain);
            if restored.iter().any(|known| known == domain) {
                backend.cold.restore(now);
            }
        }
    }

    /// Sets how long the backend servers of the pool are cold after a start, and what they take meanwhile.
    pub fn set_cold(&mut self, settings: Option<ColdSettings>) {
        self.cold_policy.settings = settings;
    }

    /// Grants nothing at cold backend servers before this time.
    pub fn hold_cold_until(&mut self, time: Instant) {
        self.cold_policy.grants_from = Some(time);
    }

    /// Applies the remaining cold time that a start of a backend server named in a response.
    pub fn apply_cold_notice(&mut self, notice: &ColdNotice, now: Instant) {
        let Some(index) = self.find(&notice.backend) else {
            return;
        };
        let backend = &mut self.list[index];
        if backend.report.incarnation == notice.incarnation {
            backend.cold.apply_notice(notice.cold_ms, now);
        }
    }

    fn add(&mut self, report: BackendReport, now: Instant) -> usize {
        let index = self.list.len();
        let name = CompactString::from(report.id.as_str());
        let position = self
            .indices_by_id
            .partition_point(|(other, _)| *other < name);
        let mut backend = Backend::new(report, now);
        backend.orders.is_drained = self.drains.binary_search(&name).is_ok();
        backend.left_incarnation = self.departures.newest(&name);
        let domain = backend.report.domain.as_str();
        backend.orders.is_evacuated = self.evacuations.contains(domain);
        if let Some(restored_at) = self.restorations.find(domain) {
            backend.cold.restore(restored_at);
        }
        self.indices_by_id.insert(position, (name, index));
        self.list.push(backend);
        self.slots.push(SlotCount::default());
        index
    }
}
