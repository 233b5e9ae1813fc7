use std::collections::VecDeque;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use jaylock_control::find_service;
use jaylock_rpc::v1::end::Outcome;
use jaylock_rpc::v1::{
    Ask, Configuration, CrashCause, Decision, End, Progress, RouterFrame, SchedulerFrame,
};
use jaylock_types::{BoundedLog, Revision, unix_ms};

use crate::SchedulerSettings;
use crate::admission::account::{AccountKey, Accounts};
use crate::admission::cost::{Residual, SizeClass, cost_of};
use crate::admission::queue::WaitingRequest;
use crate::admission::wait::GrantRate;
use crate::backends::cold::{ColdSettings, MAX_GRANT_AGE};
use crate::backends::list::Backends;
use crate::backends::requirement::Requirements;
use crate::crashes::crash_history::CrashHistory;
use crate::encoding::decode_names;
use crate::placement::engine::PrefillRate;
use crate::placement::pace::FirstEvent;
use crate::scheduler::division::Division;
use crate::scheduler::hedging::FleetResponses;
use crate::scheduler::report_delay::ReportDelay;
use crate::scheduler::router::{RouterKey, Routers, Run};
use crate::scheduler::service_log::ServiceLog;
use crate::scheduler::usage::Usage;
use crate::streams::stream_origins::StreamOrigins;

/// State of one pool, from which the scheduler decides which request gets which slot.
#[derive(Debug)]
pub struct Allocator {
    pub(crate) pool: CompactString,
    pub(crate) epoch: u64,
    pub(crate) settings: SchedulerSettings,
    pub(crate) accounts: Accounts,
    pub(crate) requirements: Requirements,
    pub(crate) backends: Backends,
    pub(crate) routers: Routers,
    // Requests that must run isolated, in the order of arrival.
    pub(crate) isolated: VecDeque<(AccountKey, WaitingRequest)>,
    // Backend server that is reserved for the first isolated request.
    pub(crate) reservation: Option<usize>,
    pub(crate) decisions: VecDeque<Decision>,
    pub(crate) ready_at: Instant,
    pub(crate) usage: Usage,
    pub(crate) service_log: ServiceLog,
    pub(crate) waiting_count: usize,
    pub(crate) report_delay: ReportDelay,
    pub(crate) division: Division,
    pub(crate) crash_history: CrashHistory,
    // Versions at which the streams of all routers began.
    pub(crate) origins: StreamOrigins,
    // Requests that take up streams of which no attached router has told the origin yet.
    pub(crate) unresolved: Vec<(RouterKey, Ask)>,
    // Requests for slots that no other request needs, until the next decision.
    pub(crate) spare_asks: Vec<(RouterKey, Ask)>,
    residual: Residual,
    pub(crate) prefill_rate: PrefillRate,
    pub(crate) grant_rate: GrantRate,
    pub(crate) fleet_responses: FleetResponses,
    // Times for work that routers reported and that are absurd.
    pub(crate) invalid_work_times: BoundedLog,
    // Instances that serve no callers; sorted.
    pub(crate) callerless: Vec<CompactString>,
    // Memory of each engine of the pool in tokens; 0 if unknown.
    pub(crate) memory_tokens: u64,
    // Revision of the configuration whose organisations were applied last.
    configured_revision: Option<Revision>,
}

impl Allocator {
    /// Creates the state of a pool that is empty and grants nothing before the startup delay is over.
    #[must_use]
    pub fn new(pool: &str, epoch: u64, settings: SchedulerSettings, now: Instant) -> Self {
        let ready_at = now + settings.startup_delay;
        let mut backends = Backends::default();
        backends.hold_cold_until(ready_at + MAX_GRANT_AGE);
        Self {
            pool: pool.into(),
            epoch,
            ready_at,
            prefill_rate: PrefillRate::new(settings.initial_prefill_rate),
            grant_rate: GrantRate::default(),
            fleet_responses: FleetResponses::default(),
            invalid_work_times: BoundedLog::default(),
            callerless: Vec::new(),
            memory_tokens: 0,
            configured_revision: None,
            settings,
            accounts: Accounts::default(),
            requirements: Requirements::default(),
            backends,
            routers: Routers::default(),
            isolated: VecDeque::new(),
            reservation: None,
            decisions: VecDeque::new(),
            usage: Usage::new(now),
            service_log: ServiceLog::default(),
            waiting_count: 0,
            report_delay: ReportDelay::default(),
            crash_history: CrashHistory::default(),
            origins: StreamOrigins::default(),
            unresolved: Vec::new(),
            spare_asks: Vec::new(),
            division: Division::default(),
            residual: Residual::default(),
        }
    }

    /// Applies the weights, queue limits, instances, drains, departures, evacuations, cold times and engine memory of a configuration.
    pub fn configure(&mut self, configuration: &Configuration, now: Instant) {
        if self.configured_revision != Some(Revision(configuration.revision)) {
            self.configured_revision = Some(Revision(configuration.revision));
            self.accounts.configure(&configuration.organisations);
        }
        let instances = configuration.instances.iter();
        let callerless = instances.filter(|i| i.caller_address.is_empty());
        self.callerless = callerless.map(|i| i.id.as_str().into()).collect();
        self.callerless.sort_unstable();
        let service = find_service(configuration, &self.pool);
        self.memory_tokens = service
            .and_then(|s| s.engine)
            .map_or(0, |e| e.memory_tokens);
        let causes = &mut self.crash_history.causes;
        causes.configure(configuration, &self.pool, now);
        let drains = configuration.drains.iter();
        let drains = drains.map(|drain| drain.backend.as_str().into()).collect();
        self.backends.set_drains(drains);
        self.backends.set_departures(
            configuration,
            &self.pool,
            unix_ms(),
            now,
            self.settings.backend_lease,
        );
        self.backends.set_evacuations(configuration, unix_ms(), now);
        self.backends
            .set_cold(ColdSettings::of_pool(configuration, &self.pool));
        for index in 0..self.backends.len() {
            self.refresh(index, now);
        }
    }

    /// Applies a router's message.
    pub fn apply(&mut self, key: RouterKey, frame: RouterFrame, now: Instant) {
        if let Some(router) = self.routers.get_mut(key) {
            router.contact.record(now);
        }
        for total in &frame.totals {
            let account = self.accounts.intern(&total.organisation);
            self.accounts.charge(account, total.unheard);
            self.accounts.get_mut(account).tokens += total.unheard;
        }
        for report in frame.backends {
            self.apply_report(key, report, now);
        }
        for limit in frame.limits {
            self.apply_limit(&limit, now);
        }
        for notice in frame.cold_notices {
            self.apply_cold_notice(&notice, now);
        }
        for exclusion in frame.exclusions {
            self.apply_exclusion(key, &exclusion, now);
        }
        if self.settings.uses_own_paces {
            for work_time in frame.work_times {
                self.apply_work_time(&work_time, now);
            }
        }
        for report in &frame.response_times {
            self.fleet_responses.record(key, report, now);
        }
        for end in frame.ends {
            self.end_run(key, &end, now);
        }
        for progress in frame.progress {
            self.record_progress(key, progress, now);
        }
        for ticket in frame.cancels {
            self.cancel(key, ticket);
        }
        let Some(router) = self.routers.get_mut(key) else {
            return;
        };
        router.names.extend(frame.names);
        let mut asks = frame.asks;
        asks.retain_mut(|ask| decode_names(ask, &router.names));
        for ask in asks {
            self.add_ask(key, ask, now);
        }
    }

    /// Expires leases of backend servers and routers, and refuses requests that can't be served in time.
    pub fn tick(&mut self, now: Instant) {
        self.crash_history.expire(now);
        if self.settings.uses_own_paces {
            self.backends.update_paces();
        }
        for index in 0..self.backends.len() {
            self.refresh(index, now);
        }
        let lease = self.settings.router_lease;
        let is_expired = |detached_at: Instant| now.saturating_duration_since(detached_at) >= lease;
        let expired = self
            .routers
            .iter()
            .filter(|(_, router)| router.detached_at.is_some_and(is_expired));
        let expired: Vec<RouterKey> = expired.map(|(key, _)| key).collect();
        for key in expired {
            self.reconcile(key, &[], now);
            self.routers.remove(key);
        }
        for (_, router) in self.routers.iter_mut() {
            router.end_pauses(now);
        }
        self.end_lost_prefill(now);
        self.refuse_unservable(now);
        self.refuse_paused(now);
        self.refuse_quarantined(now);
        // What has waited too long elsewhere may still get a slot that is free now.
        self.decide(now);
        self.refuse_overdue(now);
        self.resolve_waiting(now);
        self.divide();
        self.tell_hedging(now);
        self.log_service(now);
    }

    /// Takes the messages that are due to the attached routers.
    ///
    /// A router with waiting requests gets an empty message as a heartbeat after a time without messages.
    pub fn frames(&mut self, now: Instant) -> Vec<(RouterKey, SchedulerFrame)> {
        let (epoch, heartbeat) = (self.epoch, self.settings.heartbeat_interval);
        let attached = self
            .routers
            .iter_mut()
            .filter(|(_, router)| router.detached_at.is_none());
        let due = attached.filter(|(_, router)| router.is_due(now, heartbeat));
        let frames = due.map(|(key, router)| {
            router.last_sent = now;
            let frame = std::mem::take(&mut router.frame);
            (key, SchedulerFrame { epoch, ..frame })
        });
        frames.collect()
    }

    /// Takes the causes of crashes that the replicated log should record.
    pub fn unrecorded_causes(&mut self, now: Instant) -> Vec<CrashCause> {
        self.crash_history.causes.unrecorded(&self.pool, now)
    }

    /// Expected remaining cost of a request in tokens, from the organisation's own history.
    pub(crate) fn expected_cost(
        &self,
        account: AccountKey,
        size_class: SizeClass,
        served: u64,
    ) -> u64 {
        let default = self.residual.mean(self.settings.initial_cost_tokens);
        let total = self
            .accounts
            .get(account)
            .cost
            .expected(size_class, default);
        total.saturating_sub(served).max(1)
    }

    /// Tokens that a run is charged, until it ends, beyond its service so far.
    ///
    /// The amount is the same for every run: the mean of what a run still generates at a random moment.
    /// Predictions for single runs miss the long ones, which matter most.
    pub(crate) fn precharge(&self) -> u64 {
        let residual = self
            .residual
            .remaining_tokens(self.settings.initial_cost_tokens);
        residual * u64::from(self.settings.precharge_percent) / 100
    }

    pub(crate) fn refresh(&mut self, index: usize, now: Instant) {
        self.backends
            .refresh(index, now, self.settings.backend_lease);
    }

    fn record_progress(&mut self, router: RouterKey, progress: Progress, now: Instant) {
        let run = self
            .routers
            .get_mut(router)
            .and_then(|r| r.run_mut(progress.ticket));
        let Some(run) = run else { return };
        let new_tokens = progress.tokens.saturating_sub(run.tokens);
        run.tokens += new_tokens;
        run.charged_tokens += new_tokens;
        let (account, backend_index, granted_at) = (run.account, run.backend_index, run.granted_at);
        let is_first = run.began_at.replace(run.began_at.unwrap_or(now)).is_none();
        self.origins.record(run.stream, &run.software, now);
        let proven = run.prove(now).then(|| run.causes.clone());
        if let Some(load) = run.load.as_mut().filter(|load| load.is_prefill_pending()) {
            let event = FirstEvent {
                granted_at: run.granted_at,
                own_tokens: load.pending_prefill(),
                ahead_tokens: run.prefill_ahead,
                expected: self.prefill_rate.time_for(load.pending_prefill()),
                delay: self.backends.first_event_delay(),
            };
            let backend = self.backends.get_mut(backend_index);
            backend.engine.finish_prefill(load);
            backend.pace.record_first_event(&event, now);
            // The pool's rate is that of an engine with the pool's pace.
            let ahead_tokens = backend.pace.slowness(now).scale(event.ahead_tokens);
            let time = now.saturating_duration_since(event.granted_at);
            self.prefill_rate.observe(ahead_tokens, time);
        }
        self.accounts.charge(account, new_tokens);
        self.accounts.get_mut(account).tokens += new_tokens;
        let backend = self.backends.get_mut(backend_index);
        backend.record_response(granted_at);
        if is_first {
            backend.confirm_grant();
            self.refresh(backend_index, now);
        }
        if let Some(causes) = proven {
            self.crash_history.causes.record_success(&causes, now);
        }
    }

    fn end_run(&mut self, router: RouterKey, end: &End, now: Instant) {
        let run = self
            .routers
            .get_mut(router)
            .and_then(|r| r.remove_run(end.ticket));
        let Some(mut run) = run else {
            if end.outcome() == Outcome::Crashed {
                self.record_late_crash(router, end.ticket, now);
            }
            return;
        };
        self.record_outcome(&run, end, now);
        let is_given_up = matches!(end.outcome(), Outcome::Cancelled | Outcome::Broken);
        if is_given_up && run.may_crash(now) {
            self.abandon(router, &mut run, now);
        }
        if end.tokens > 0 {
            self.origins.record(run.stream, &run.software, now);
        }
        let cost = cost_of(end).max(self.abandoned_tokens(&run, end, now));
        if end.unreached {
            let router_count = self.routers.attached_count();
            let backend = self.backends.get_mut(run.backend_index);
            backend
                .reachability
                .record_failure(router, router_count, now);
        } else if end.outcome() == Outcome::Complete {
            let backend = self.backends.get_mut(run.backend_index);
            backend.record_response(run.granted_at);
        }
        let is_call = run.size_class == SizeClass::default() && end.tokens == 0 && end.answered;
        if is_call && end.outcome() == Outcome::Complete && end.took_us > 0 {
            let time = Duration::from_micros(end.took_us.into());
            let backend = self.backends.get_mut(run.backend_index);
            backend.pace.record_call(time, now);
        }
        if matches!(end.outcome(), Outcome::Complete | Outcome::Cancelled) {
            self.accounts
                .get_mut(run.account)
                .cost
                .observe(run.size_class, cost);
            self.residual.observe(cost);
        }
        self.close_run(&mut run, cost, now);
    }

    /// Tokens that an engine has probably prefilled for a caller who left before the first event.
    ///
    /// Otherwise an organisation whose callers leave would never be charged, and be served before all others.
    fn abandoned_tokens(&self, run: &Run, end: &End, now: Instant) -> u64 {
        let is_abandoned = end.outcome() == Outcome::Cancelled;
        let load = run.load.as_ref().filter(|_| is_abandoned);
        let time = now.saturating_duration_since(run.granted_at);
        let slowness = self.backends.get(run.backend_index).pace.slowness(now);
        let done = slowness.unscale(self.prefill_rate.tokens_in(time));
        load.map_or(0, |load| {
            load.prefilled_tokens(run.tokens, done, run.prefill_ahead)
        })
    }

    /// Corrects the charge of an ended run to its actual cost and frees its slot.
    pub(crate) fn close_run(&mut self, run: &mut Run, cost: u64, now: Instant) {
        if cost >= run.charged_tokens {
            self.accounts.charge(run.account, cost - run.charged_tokens);
        } else {
            self.accounts.refund(run.account, run.charged_tokens - cost);
        }
        let account = self.accounts.get_mut(run.account);
        account.running = account.running.saturating_sub(1);
        account.tokens += cost.saturating_sub(run.tokens);
        let duplicates = &mut self.crash_history.duplicates;
        duplicates.remove(run.fingerprint, run.backend_index, run.era);
        if run.is_trial {
            self.crash_history.causes.end_trial(run.backend_index);
        }
        let backend = self.backends.get_mut(run.backend_index);
        backend.remove_grant();
        if run.began_at.is_none() {
            backend.confirm_grant();
        }
        if let Some(load) = run.load.take() {
            if load.is_prefill_pending() {
                backend.pace.record_interruption();
            }
            backend.engine.remove_request(load);
        }
        if run.is_isolated {
            backend.is_reserved = false;
        }
        self.refresh(run.backend_index, now);
    }
}
