use std::borrow::Cow;
use std::time::{Duration, Instant};

use jaylock_rpc::v1::{Decision, Grant};
use jaylock_types::{millis, unix_ms};

use crate::admission::account::AccountKey;
use crate::admission::queue::WaitingRequest;
use crate::admission::wait::turn_cost;
use crate::backends::backend_set::BackendSet;
use crate::backends::list::SlotCount;
use crate::crashes::causes::Causes;
use crate::crashes::crash_history::CrashHistory;
use crate::encoding::request_id;
use crate::placement::ranking::EngineRanking;
use crate::placement::selection::{self, EngineSelector};
use crate::scheduler::allocator::Allocator;
use crate::scheduler::router::{Router, Run};
use crate::scheduler::service_log::AskOutcome;
use crate::streams::stream_origins::stream_of;

/// Usable backend servers for which events are batched over one window more.
const BACKENDS_PER_WINDOW: u64 = 300;

impl Allocator {
    /// Grants the free slots, each to the backlogged organisation with the least weighted service.
    ///
    /// The time for a grant is linear in the number of available backend servers plus the number of
    /// backlogged organisations that can't use any of them.
    pub fn decide(&mut self, now: Instant) {
        self.record_usage(now);
        if now >= self.ready_at {
            self.grant_waiting(now);
        }
        self.decide_spare(now);
    }

    /// Time over which events are batched into one decision.
    ///
    /// A decision ranks all backend servers, so that it takes longer in a large pool; fewer decisions make up for it.
    #[must_use]
    pub fn batch_window(&self) -> Duration {
        let windows = self.usable_count().div_ceil(BACKENDS_PER_WINDOW).max(1);
        let windows = u32::try_from(windows).unwrap_or(u32::MAX);
        self.settings.batch_window.saturating_mul(windows)
    }

    fn grant_waiting(&mut self, now: Instant) {
        self.grant_isolated(now);
        // The ranking sorts all engines, which a decision without anything to grant doesn't need.
        if self.accounts.has_backlog() && !self.backends.available().is_empty() {
            self.grant_backlogged(now);
        }
        self.accounts.record_remaining();
        self.grant_rate
            .record_decision(self.accounts.has_backlog(), now);
    }

    /// Grants the free slots to the backlogged organisations.
    fn grant_backlogged(&mut self, now: Instant) {
        let mut position = 0;
        let mut ranking = EngineRanking::new(&self.backends, now);
        while !self.backends.available().is_empty() {
            let Some(account) = self.accounts.backlogged(position) else {
                break;
            };
            match self.grant_next(account, &ranking, now) {
                Some(index) => {
                    ranking.update(&self.backends, index);
                    position = 0;
                }
                None => position += 1,
            }
        }
    }

    /// Grants a slot to an organisation's next request that an available backend server can run.
    ///
    /// Returns the index of that backend server.
    fn grant_next(
        &mut self,
        account: AccountKey,
        ranking: &EngineRanking,
        now: Instant,
    ) -> Option<usize> {
        let requirements = self.accounts.get(account).queue.requirements();
        let mut requirements: Vec<_> = requirements.collect();
        // Only few backend servers can continue a stream, and any other can take a new one.
        requirements.sort_by_key(|key| !self.requirements.needs_software(*key));
        for requirement in requirements {
            let eligible = self.requirements.backends(requirement);
            if !eligible.overlaps(self.backends.available()) {
                continue;
            }
            let (backends, crash_history, routers) =
                (&self.backends, &self.crash_history, &self.routers);
            let (prefill_rate, max_pending_prefill) =
                (&self.prefill_rate, self.settings.max_pending_prefill);
            let repeats_by_pace = self.settings.repeats_by_pace;
            let is_far_behind = self.is_far_behind(account);
            let choose = |waiting: &WaitingRequest| {
                let router = routers.get(waiting.router);
                let eligible = allowed_backends(router, eligible, now);
                let eligible = &*eligible;
                let domain = router.map_or("", |router| router.domain.as_str());
                if waiting.ask.prompt_tokens > 0 && !waiting.ask.parts.is_empty() {
                    let selector = EngineSelector {
                        backends,
                        crash_history,
                        ranking,
                        prefill_rate,
                        max_pending_prefill,
                        repeats_by_pace,
                        is_far_behind,
                    };
                    return selector.choose(eligible, &waiting.ask, domain);
                }
                selection::choose(
                    backends,
                    crash_history,
                    ranking,
                    eligible,
                    &waiting.ask,
                    domain,
                )
            };
            let fits = |waiting: &WaitingRequest| choose(waiting).is_some();
            let max_wait = self.settings.starvation_wait;
            let queue = &mut self.accounts.get_mut(account).queue;
            let Some(waiting) = queue.take(requirement, now, max_wait, fits) else {
                continue;
            };
            let Some(chosen) = choose(&waiting) else {
                continue;
            };
            self.grant(account, &waiting, chosen, now, "least served");
            self.accounts.leave_backlog_if_empty(account);
            return Some(chosen);
        }
        None
    }

    /// What selects engines outside of a decision.
    pub(crate) fn engine_selector<'a>(
        &'a self,
        ranking: &'a EngineRanking,
        is_far_behind: bool,
    ) -> EngineSelector<'a> {
        EngineSelector {
            backends: &self.backends,
            crash_history: &self.crash_history,
            ranking,
            prefill_rate: &self.prefill_rate,
            max_pending_prefill: self.settings.max_pending_prefill,
            repeats_by_pace: self.settings.repeats_by_pace,
            is_far_behind,
        }
    }

    /// Whether the requests of an organisation no longer wait for the engines that cache their prompts.
    pub(crate) fn is_far_behind(&self, account: AccountKey) -> bool {
        self.accounts.service_gap(account) >= self.max_service_gap()
    }

    /// Service gap, in weighted tokens, from which an organisation counts as far behind.
    ///
    /// The gap is in proportion to the usable engines: a larger pool serves more tokens in the same time.
    fn max_service_gap(&self) -> u64 {
        let engines = self.usable_count().max(1);
        self.settings.max_service_gap.saturating_mul(engines)
    }

    /// Number of usable backend servers.
    pub(crate) fn usable_count(&self) -> u64 {
        let usable = self.backends.usable();
        u64::try_from(usable.common(usable).count()).unwrap_or(u64::MAX)
    }

    /// Grants isolated requests, each once a backend server has become idle for it.
    fn grant_isolated(&mut self, now: Instant) {
        while let Some(index) = self.reserve(now) {
            let backend = self.backends.get(index);
            if !backend.is_idle() || backend.is_limited {
                return;
            }
            let Some((account, waiting)) = self.isolated.pop_front() else {
                return;
            };
            self.reservation = None;
            self.grant(account, &waiting, index, now, "alone");
        }
    }

    /// Reserves a backend server, which then gets no new work, for the first isolated request that has one.
    fn reserve(&mut self, now: Instant) -> Option<usize> {
        if let Some(index) = self.reservation.take() {
            self.backends.get_mut(index).is_reserved = false;
            self.refresh(index, now);
            if self.can_reserve(index, now) {
                self.reservation = Some(index);
            }
        }
        let index = match self.reservation {
            Some(index) => index,
            None => self.choose_isolated(now)?,
        };
        self.reservation = Some(index);
        self.backends.get_mut(index).is_reserved = true;
        self.refresh(index, now);
        Some(index)
    }

    /// Chooses a backend server for the first isolated request that has one, and moves the request to the front.
    fn choose_isolated(&mut self, now: Instant) -> Option<usize> {
        let lease = self.settings.backend_lease;
        let (backends, crash_history) = (&self.backends, &self.crash_history);
        let choose = |waiting: &WaitingRequest| {
            let eligible = self.requirements.backends(waiting.requirement);
            let eligible = allowed_backends(self.routers.get(waiting.router), eligible, now);
            let ask = &waiting.ask;
            selection::choose_isolated(backends, crash_history, &eligible, ask, now, lease)
        };
        let mut waiting = self.isolated.iter().enumerate();
        let (position, index) =
            waiting.find_map(|(position, (_, waiting))| Some((position, choose(waiting)?)))?;
        let chosen = self.isolated.remove(position)?;
        self.isolated.push_front(chosen);
        Some(index)
    }

    fn can_reserve(&self, index: usize, now: Instant) -> bool {
        let backend = self.backends.get(index);
        let usable = backend
            .unusable_reason(now, self.settings.backend_lease)
            .is_empty();
        let front = self.isolated.front();
        usable
            && front.is_some_and(|(_, waiting)| {
                let eligible = self.requirements.backends(waiting.requirement);
                allowed_backends(self.routers.get(waiting.router), eligible, now).contains(index)
                    && !selection::is_avoided(&waiting.ask, &backend.report.id)
                    && self.crash_history.admits(&waiting.ask, index)
            })
    }

    pub(crate) fn grant(
        &mut self,
        account: AccountKey,
        waiting: &WaitingRequest,
        backend_index: usize,
        now: Instant,
        reason: &str,
    ) {
        let ask = &waiting.ask;
        // The prompt's size is known and charged at once; generated tokens are charged as they are reported.
        let prompt_tokens = if ask.parts.is_empty() {
            0
        } else {
            u64::from(ask.prompt_tokens)
        };
        let charged_tokens = prompt_tokens + self.precharge();
        let wait = now.saturating_duration_since(waiting.arrived_at);
        let service_gap = self.accounts.service_gap(account);
        self.waiting_count -= 1;
        if !ask.spare {
            self.accounts.record_grant(account);
            self.grant_rate.record_grant(turn_cost(ask));
        }
        self.record_service(account, AskOutcome::Granted, ask);
        self.report_delay.record_grant(now);
        self.accounts.charge(account, charged_tokens);
        let owner = self.accounts.get_mut(account);
        owner.running += 1;
        owner.tokens += prompt_tokens;
        owner.record_wait(wait);
        let CrashHistory {
            duplicates, causes, ..
        } = &mut self.crash_history;
        let era = duplicates.add(ask.fingerprint, backend_index);
        let run_causes = Causes::from_ask(ask);
        let is_trial = causes.begin_run(&run_causes, backend_index);
        let backend = self.backends.get_mut(backend_index);
        backend.add_grant(now);
        let uncached_tokens = backend.engine.uncached_tokens(ask);
        let load = (!ask.parts.is_empty()).then(|| self.backends.add_request(backend_index, ask));
        let backend = self.backends.get_mut(backend_index);
        let prefill_ahead = backend.engine.pending_prefill();
        if load.is_some() {
            backend
                .pace
                .record_prefill(uncached_tokens, prefill_ahead, now);
        }
        // The end frees a cold backend server for the next request.
        let report_delay = if backend.cold.is_cold() {
            Duration::ZERO
        } else {
            self.report_delay.current()
        };
        let grant = Grant {
            ticket: ask.ticket,
            backend: backend.report.id.clone(),
            address: backend.report.address.clone(),
            epoch: self.epoch,
            report_delay_ms: millis(report_delay),
            incarnation: backend.report.incarnation,
            software: backend.report.software.clone(),
            domain: backend.report.domain.clone(),
        };
        let decision = Decision {
            request: request_id(ask),
            organisation: ask.organisation.clone(),
            backend: grant.backend.clone(),
            waited_ms: millis(wait),
            reason: reason.into(),
            at_ms: unix_ms(),
        };
        let run = Run {
            ticket: ask.ticket,
            account,
            backend_index,
            size_class: waiting.size_class,
            charged_tokens,
            tokens: prompt_tokens,
            is_isolated: ask.alone,
            fingerprint: ask.fingerprint,
            era,
            causes: run_causes,
            is_trial,
            began_at: None,
            is_proven: false,
            load,
            granted_at: now,
            prefill_ahead,
            stream: stream_of(ask),
            software: grant.software.as_str().into(),
        };
        if let Some(router) = self.routers.get_mut(waiting.router) {
            router.remove_waiting(ask.ticket);
            router.add_run(run);
            router.add_grant(grant);
        }
        log::debug!(
            target: "share",
            request = decision.request.as_str(), pool = self.pool.as_str(),
            organisation = ask.organisation.as_str(), backend = decision.backend.as_str(),
            waited_ms = decision.waited_ms, tokens = ask.prompt_tokens, missing = uncached_tokens,
            unread = prefill_ahead, behind = service_gap, epoch = self.epoch,
            fingerprint = ask.fingerprint, trial = is_trial;
            "granted a slot: {reason}"
        );
        self.refresh(backend_index, now);
        self.record_decision(decision);
    }

    fn record_decision(&mut self, decision: Decision) {
        if self.decisions.len() >= self.settings.max_decisions {
            self.decisions.pop_front();
        }
        self.decisions.push_back(decision);
    }

    fn record_usage(&mut self, now: Instant) {
        let SlotCount {
            taken: used,
            all: slots,
        } = self.backends.slots();
        self.report_delay.update(used, slots - used, now);
        self.usage
            .add(now, self.accounts.has_backlog(), used, slots);
    }
}

/// The backend servers of a set that take requests from a router; none while the router is silent.
pub fn allowed_backends<'a>(
    router: Option<&Router>,
    eligible: &'a BackendSet,
    now: Instant,
) -> Cow<'a, BackendSet> {
    if router.is_some_and(|router| router.contact.is_silent(now)) {
        return Cow::Owned(BackendSet::default());
    }
    match router.filter(|router| !router.pauses.is_empty()) {
        Some(router) => Cow::Owned(eligible.difference(&router.paused())),
        None => Cow::Borrowed(eligible),
    }
}
