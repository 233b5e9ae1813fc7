use std::time::{Duration, Instant};

use compact_str::CompactString;
use futures_channel::oneshot;
use jaylock_rpc::v1::end::Outcome;
use jaylock_rpc::v1::refusal::Reason;
use jaylock_rpc::v1::{
    Ask, BackendReport, BackendVerdict, Configuration, End, FallbackSlots, Grant, Progress,
    Refusal, Total,
};
use jaylock_types::{HedgePlan, Notice, StreamId};

use crate::SchedulerClientSettings;
use crate::admission::cost::cost_of;
use crate::backends::cold::{ColdSettings, MAX_GRANT_AGE};
use crate::backends::departures::Departures;
use crate::backends::evacuations::Evacuations;
use crate::client::batch::Batch;
use crate::client::cold_notices::ColdNotices;
use crate::client::connection::not_run;
use crate::client::crashed_starts::CrashedStarts;
use crate::client::exclusions::Exclusions;
use crate::client::fallback::SpareSlot;
use crate::client::given_up::GivenUpRuns;
use crate::client::held_slot::HeldSlot;
use crate::client::local_prefill::LocalPrefill;
use crate::client::named_limits::NamedLimits;
use crate::client::named_work_times::NamedWorkTimes;
use crate::client::pauses::Pauses;
use crate::client::pending_request::{AskResult, PendingRequest};
use crate::client::recent_crashes::RecentCrashes;
use crate::client::recent_reports::RecentReports;
use crate::client::response_times::RouteResponses;
use crate::encoding::AddressTable;
use crate::streams::stream_origins::StreamOrigins;

/// A router's state for one pool: waiting requests, held slots and unsent messages.
#[derive(Debug)]
pub struct ClientState {
    pub(crate) settings: SchedulerClientSettings,
    // Empty until the first stream.
    pub(crate) pool: CompactString,
    pub(crate) epoch: u64,
    pub(crate) is_attached: bool,
    // Sorted by ticket and thus by age.
    pub(crate) pending: Vec<PendingRequest>,
    // Sorted by ticket.
    pub(crate) held: Vec<HeldSlot>,
    pub(crate) batch: Batch,
    pub(crate) reports: RecentReports,
    // Sorted by name of the backend server.
    pub(crate) verdicts: Vec<BackendVerdict>,
    // Sorted by organisation.
    pub(crate) totals: Vec<Total>,
    // Part of the totals that the stream's first message reported and the scheduler has not confirmed.
    pub(crate) unconfirmed: Vec<Total>,
    pub(crate) fallback: Vec<FallbackSlots>,
    // Prompts that this router sent without a scheduler.
    pub(crate) local_prefill: LocalPrefill,
    // Backend servers that told this router to send them nothing.
    pub(crate) exclusions: Exclusions,
    // Starts of backend servers that have departed.
    pub(crate) departures: Departures,
    // Failure domains to whose backend servers this router sends nothing.
    pub(crate) evacuations: Evacuations,
    // Index of the configuration that was applied last; 0 if it must be applied again.
    pub(crate) configured_index: u64,
    // Backend servers that told this router that they are cold.
    pub(crate) cold_notices: ColdNotices,
    // Whether the configuration says that backend servers of the pool may be cold.
    pub(crate) has_cold_servers: bool,
    // Limits that backend servers named to this router.
    pub(crate) limits: NamedLimits,
    // Times for work that backend servers named to this router.
    pub(crate) work_times: NamedWorkTimes,
    // Response times of routes whose requests may be hedged.
    pub(crate) responses: RouteResponses,
    // Crashes under own runs, for a new scheduler.
    pub(crate) crashes: RecentCrashes,
    // Own runs that were given up.
    pub(crate) given_up: GivenUpRuns,
    // Starts of backend servers that ended under own runs.
    pub(crate) crashed_starts: CrashedStarts,
    // Versions at which own streams began, for a new scheduler.
    pub(crate) origins: StreamOrigins,
    // Slots that became free while no scheduler responded.
    pub(crate) spare: Vec<SpareSlot>,
    pub(crate) detached_at: Option<Instant>,
    pub(crate) last_frame: Option<Instant>,
    pub(crate) pauses: Pauses,
    pub(crate) addresses: AddressTable,
}

impl ClientState {
    /// Creates the state of a pool that was never attached.
    #[must_use]
    pub fn new(settings: SchedulerClientSettings) -> Self {
        Self {
            settings,
            pool: CompactString::default(),
            epoch: 0,
            is_attached: false,
            pending: Vec::new(),
            held: Vec::new(),
            batch: Batch::default(),
            reports: RecentReports::default(),
            verdicts: Vec::new(),
            totals: Vec::new(),
            unconfirmed: Vec::new(),
            fallback: Vec::new(),
            local_prefill: LocalPrefill::default(),
            exclusions: Exclusions::default(),
            departures: Departures::default(),
            evacuations: Evacuations::default(),
            configured_index: 0,
            cold_notices: ColdNotices::default(),
            has_cold_servers: false,
            limits: NamedLimits::default(),
            work_times: NamedWorkTimes::default(),
            responses: RouteResponses::default(),
            crashes: RecentCrashes::default(),
            given_up: GivenUpRuns::default(),
            crashed_starts: CrashedStarts::default(),
            origins: StreamOrigins::default(),
            spare: Vec::new(),
            detached_at: None,
            last_frame: None,
            pauses: Pauses::default(),
            addresses: AddressTable::default(),
        }
    }

    /// Applies the departures, the evacuations and the cold times of the active configuration.
    pub fn configure(&mut self, configuration: &Configuration) {
        let is_known = configuration.index == self.configured_index;
        if is_known && configuration.index > 0 {
            return;
        }
        self.configured_index = configuration.index;
        self.departures = Departures::new(configuration, &self.pool);
        let earlier = std::mem::replace(&mut self.evacuations, Evacuations::new(configuration));
        self.has_cold_servers = ColdSettings::of_pool(configuration, &self.pool).is_some();
        for report in self.fallback.iter_mut().filter_map(|f| f.backend.as_mut()) {
            let domain = report.domain.as_str();
            if earlier.index(domain) != self.evacuations.index(domain) {
                report.cold_ms = None;
            }
        }
    }

    /// Uses no slot of a backend server without a scheduler until the next one tells that it is warm.
    fn mark_cold(&mut self, backend: &str) {
        let reports = self.fallback.iter_mut().filter_map(|f| f.backend.as_mut());
        for report in reports.filter(|report| report.id == backend) {
            report.cold_ms = None;
        }
    }

    /// Adds a request that waits; the result is sent to `reply`.
    pub fn request_slot(&mut self, mut ask: Ask, reply: oneshot::Sender<AskResult>, now: Instant) {
        if ask.spare && !self.is_attached {
            let _ = reply.send(Err(no_spare_slot(ask.ticket)));
            return;
        }
        self.resolve_origin(&mut ask);
        if self.is_attached {
            self.batch.add_ask(ask.clone());
        }
        let index = self
            .pending
            .partition_point(|other| other.ask.ticket < ask.ticket);
        self.pending.insert(
            index,
            PendingRequest {
                ask,
                reply,
                queued_at: now,
            },
        );
    }

    /// Removes a request whose caller gave up.
    pub fn cancel(&mut self, ticket: u64) {
        if self.take_pending(ticket).is_some() && self.is_attached {
            self.batch.cancel(ticket);
        }
    }

    /// Records a run's service so far, in tokens.
    pub fn report_progress(&mut self, progress: Progress, now: Instant) {
        let Ok(index) = self
            .held
            .binary_search_by_key(&progress.ticket, |held| held.ticket)
        else {
            return;
        };
        let held = &mut self.held[index];
        held.tokens = held.tokens.max(progress.tokens);
        let is_first = held.reported_tokens == 0;
        let has_grown = held.tokens >= held.reported_tokens + self.settings.min_progress_tokens;
        if is_first || has_grown {
            self.origins.record(held.stream, &held.software, now);
        }
        if self.is_attached && (is_first || has_grown) {
            held.reported_tokens = held.tokens;
            let progress = Progress {
                ticket: held.ticket,
                tokens: held.tokens,
            };
            let interval = if is_first {
                Duration::ZERO
            } else {
                self.settings.min_progress_interval.max(held.report_delay)
            };
            self.batch.add_progress(progress, interval, now);
        }
    }

    /// Records the end of a run and returns its slot to the scheduler, or to the router if none is attached.
    pub fn release_slot(&mut self, end: End, now: Instant) {
        let Ok(index) = self
            .held
            .binary_search_by_key(&end.ticket, |held| held.ticket)
        else {
            return;
        };
        let held = self.held.remove(index);
        if end.tokens > 0 {
            self.origins.record(held.stream, &held.software, now);
        }
        let cost = cost_of(&end);
        self.add_unreported(&held.organisation, if self.is_attached { 0 } else { cost });
        if let Ok(index) = self.search_total(&held.organisation) {
            self.totals[index].tokens += cost;
        }
        self.crashes.record(&held, &end, now);
        match end.outcome() {
            Outcome::Crashed => {
                self.crashed_starts.record(&held.backend, held.incarnation);
                for run in self.given_up.take_all(&held.backend) {
                    self.crashes.add(&run.backend, &run.causes, now);
                }
            }
            Outcome::Cancelled | Outcome::Broken if !end.answered => self.given_up.add(&held, now),
            _ => {}
        }
        if self.is_attached {
            let batch_window = if end.outcome() == Outcome::Crashed {
                Duration::ZERO
            } else {
                self.settings.batch_window.max(held.report_delay)
            };
            self.batch
                .add_end(held.organisation, end, now + batch_window);
        } else {
            self.spare.push(held.into_spare_slot());
        }
    }

    /// Records that a backend server was found to have crashed after a run there was given up.
    pub fn report_crash(&mut self, ticket: u64, now: Instant) {
        let Some(run) = self.given_up.take(ticket) else {
            return;
        };
        self.crashes.add(&run.backend, &run.causes, now);
        self.crashed_starts.record(&run.backend, run.incarnation);
        if self.is_attached {
            let mut end = End {
                ticket,
                ..End::default()
            };
            end.set_outcome(Outcome::Crashed);
            self.batch.add_end(CompactString::default(), end, now);
        }
    }

    /// Records what a start of a backend server tells in a response.
    ///
    /// `share` is the part of a limit that this router may use while no scheduler responds.
    pub fn report_notice(
        &mut self,
        backend: &str,
        incarnation: u64,
        notice: &Notice,
        share: f64,
        now: Instant,
    ) {
        let limit = self.limits.record(backend, notice.limit, share, now);
        if let Some(limit) = limit.filter(|_| self.is_attached) {
            self.batch.add_limit(limit);
        }
        let exclusion = self.exclusions.record(backend, incarnation, notice, now);
        if let Some(exclusion) = exclusion.filter(|_| self.is_attached) {
            self.batch.add_exclusion(exclusion);
        }
        let cold = self
            .cold_notices
            .record(backend, incarnation, notice.cold, now);
        if let Some(cold) = cold {
            self.mark_cold(backend);
            if self.is_attached {
                self.batch.add_cold_notice(cold);
            }
        }
        let named = notice.work_time.filter(|_| self.is_attached);
        let work_times = &mut self.work_times;
        let work_time = named.and_then(|n| work_times.record(backend, incarnation, n, now));
        if let Some(work_time) = work_time {
            self.batch.add_work_time(work_time, now);
        }
    }

    /// Records what a backend server announced or reported to this router.
    ///
    /// Reports that say nothing new are collected, as a thousand backend servers would otherwise have a message each.
    pub fn report_backend(&mut self, report: BackendReport, now: Instant) {
        let delay = if self.reports.is_known(&report) {
            self.settings.report_window
        } else {
            Duration::ZERO
        };
        self.reports
            .record(&report, self.settings.report_retention, now);
        if report.cold_ms.is_some_and(|ms| ms > 0) {
            self.mark_cold(&report.id);
        }
        if self.is_attached {
            self.batch.add_report(report, now + delay);
        }
    }

    /// Records how long a response of a route took whose requests may be hedged.
    pub fn report_response(
        &mut self,
        route: &str,
        hedge_percent: u32,
        time: Duration,
        now: Instant,
    ) {
        if self.is_attached {
            self.responses.record(route, hedge_percent, time, now);
        }
    }

    /// When a request of a route is hedged, by the responses of all routers; `None` if the scheduler has not said so lately.
    #[must_use]
    pub fn hedge_plan(&self, route: &str, now: Instant) -> Option<HedgePlan> {
        self.responses.plan(route, now)
    }

    /// The scheduler's latest verdict on a backend server.
    #[must_use]
    pub fn backend_verdict(&self, backend: &str) -> Option<BackendVerdict> {
        let index = self
            .verdicts
            .binary_search_by(|v| v.backend.as_str().cmp(backend));
        index.ok().map(|index| self.verdicts[index].clone())
    }

    /// Takes the requests that have waited for `max_wait` without a scheduler.
    pub fn take_expired(
        &mut self,
        now: Instant,
        max_wait: Duration,
    ) -> Vec<(u64, oneshot::Sender<AskResult>)> {
        let is_expired =
            |pending: &PendingRequest| now.saturating_duration_since(pending.queued_at) >= max_wait;
        let is_lost_long = self
            .detached_at
            .is_none_or(|detached_at| now.saturating_duration_since(detached_at) >= max_wait);
        if self.is_attached || !is_lost_long {
            return Vec::new();
        }
        let expired = self.pending.extract_if(.., |pending| is_expired(pending));
        expired.map(PendingRequest::into_reply).collect()
    }

    /// Whether nothing may be sent under a grant: the backend server said that it leaves or pauses, its domain is evacuated, or the
    /// grant is so old that a cold backend server may meanwhile have got other requests in its place.
    #[must_use]
    pub fn is_excluded(&self, grant: &Grant, now: Instant) -> bool {
        self.evacuations.contains(&grant.domain)
            || self.departures.contains(&grant.backend, grant.incarnation)
            || self.is_outdated(grant, now)
            || self
                .exclusions
                .contains(&grant.backend, grant.incarnation, now)
    }

    fn is_outdated(&self, grant: &Grant, now: Instant) -> bool {
        let search = self
            .held
            .binary_search_by_key(&grant.ticket, |held| held.ticket);
        let age = |held: &HeldSlot| now.saturating_duration_since(held.granted_at);
        self.has_cold_servers && search.is_ok_and(|index| age(&self.held[index]) >= MAX_GRANT_AGE)
    }

    /// Passes a granted slot to the waiting request.
    pub(crate) fn grant(&mut self, grant: Grant, now: Instant) {
        if self.is_excluded(&grant, now) {
            self.return_grant(&grant, now);
            return;
        }
        let Some(pending) = self.take_pending(grant.ticket) else {
            // The caller gave up, so the slot is returned at once.
            self.batch
                .add_end(CompactString::default(), not_run(&grant), now);
            return;
        };
        let held = HeldSlot::new(&pending.ask, &grant, now);
        let index = self
            .held
            .partition_point(|other| other.ticket < held.ticket);
        self.held.insert(index, held);
        if let Err(unsent) = pending.reply.send(Ok(grant)) {
            let grant = unsent.expect("a grant was sent");
            self.release_slot(not_run(&grant), now);
        }
    }

    /// Gives back a slot at a backend server to which this router sends nothing, and asks for another one.
    fn return_grant(&mut self, grant: &Grant, now: Instant) {
        self.batch
            .add_end(CompactString::default(), not_run(grant), now);
        let mut pending = self.pending.iter_mut();
        let Some(pending) = pending.find(|p| p.ask.ticket == grant.ticket) else {
            return;
        };
        // A scheduler that doesn't know of the evacuation yet would grant the same slot again at once.
        if self.evacuations.contains(&grant.domain) {
            pending.ask.avoid.push(grant.backend.clone());
        }
        if self.is_attached {
            self.batch.add_ask(pending.updated_ask(now));
        }
    }

    /// Sets the version at which the stream that a request takes up must go on, if this router began it.
    fn resolve_origin(&self, ask: &mut Ask) {
        if ask.software.is_some() {
            return;
        }
        let stream = ask.begun_stream.map(StreamId);
        let software = stream.and_then(|stream| self.origins.find(stream));
        ask.software = software.map(|software| software.as_str().into());
    }

    /// Refuses the requests for spare slots, which only a scheduler grants.
    pub(crate) fn refuse_spare(&mut self) {
        let spare = self.pending.extract_if(.., |p| p.ask.spare);
        for (ticket, reply) in spare.map(PendingRequest::into_reply) {
            let _ = reply.send(Err(no_spare_slot(ticket)));
        }
    }

    pub(crate) fn take_pending(&mut self, ticket: u64) -> Option<PendingRequest> {
        let index = self
            .pending
            .binary_search_by_key(&ticket, |pending| pending.ask.ticket)
            .ok()?;
        Some(self.pending.remove(index))
    }

    pub(crate) fn add_unreported(&mut self, organisation: &str, tokens: u64) {
        let index = self.search_total(organisation).unwrap_or_else(|index| {
            let total = Total {
                organisation: organisation.into(),
                ..Total::default()
            };
            self.totals.insert(index, total);
            index
        });
        self.totals[index].unheard += tokens;
    }

    /// Index of an organisation's total.
    pub(crate) fn search_total(&self, organisation: &str) -> Result<usize, usize> {
        self.totals
            .binary_search_by(|total| total.organisation.as_str().cmp(organisation))
    }
}

/// Refusal of a spare slot while no scheduler is attached.
fn no_spare_slot(ticket: u64) -> Refusal {
    Refusal {
        ticket,
        reason: Reason::NoBackend.into(),
        retry_after_ms: 1,
    }
}
