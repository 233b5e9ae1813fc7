use std::collections::VecDeque;
use std::time::{Duration, Instant};

use jaylock_rpc::v1::refusal::Reason;
use jaylock_rpc::v1::{Ask, Refusal};
use jaylock_types::millis;

use crate::admission::account::AccountKey;
use crate::admission::queue::WaitingRequest;
use crate::backends::backend_set::BackendSet;
use crate::encoding::request_id;
use crate::placement::ranking::EngineRanking;
use crate::placement::selection;
use crate::scheduler::allocator::Allocator;
use crate::scheduler::router::{Router, RouterKey};
use crate::scheduler::service_log::AskOutcome;

/// Retry delay for a request that no backend server can run.
pub const NO_BACKEND_RETRY_DELAY: Duration = Duration::from_secs(1);

impl Allocator {
    /// Reason to refuse a further request of this organisation; `None` if its queue takes one.
    pub(crate) fn queue_refusal(&self, account: AccountKey) -> Option<Reason> {
        let owner = self.accounts.get(account);
        let limit = match owner.queue_limit {
            0 => self.settings.queue_limit,
            limit => limit,
        } as usize;
        let queue_len = owner.queue.len();
        if queue_len >= limit {
            return Some(Reason::QueueFull);
        }
        // When the pool's limit is reached, an organisation below its equal share may still queue requests.
        let share = self.settings.max_pool_waiting / self.accounts.backlogged_count().max(1);
        (self.waiting_count >= self.settings.max_pool_waiting && queue_len >= share)
            .then_some(Reason::Overloaded)
    }

    /// Time by which a request would get its slot too late for its objective; `None` if it would be in time.
    ///
    /// Only requests that still waited after the last decision count: newer ones may get a slot at once.
    /// The wait is estimated from the pool's rate of grants, as if the backlogged organisations took turns.
    /// By its own rate, an organisation that was served badly once would be refused again and again.
    pub(crate) fn objective_excess(&self, account: AccountKey, ask: &Ask) -> Option<Duration> {
        let max_wait = max_objective_wait(ask, self.settings.objective_wait_percent)?;
        let expected = self.expected_wait(account, ask);
        let excess = expected.saturating_sub(max_wait);
        (!excess.is_zero()).then_some(excess)
    }

    /// Delay after which the caller of a request that is refused now should find a free position in the queue.
    pub(crate) fn next_retry_delay(
        &mut self,
        account: AccountKey,
        ask: &Ask,
        now: Instant,
    ) -> Duration {
        let interval = self.turn_interval(account, ask);
        let owner = self.accounts.get_mut(account);
        owner.next_retry_delay(now, interval)
    }

    /// Refuses requests that have waited too long for their objectives.
    pub(crate) fn refuse_overdue(&mut self, now: Instant) {
        for account in self.accounts.backlogged_keys().collect::<Vec<_>>() {
            let percent = self.settings.objective_wait_percent;
            let is_overdue = |waiting: &WaitingRequest| {
                let max_wait = max_objective_wait(&waiting.ask, percent);
                max_wait.is_some_and(|max_wait| waiting.waited(now) > max_wait)
            };
            let removed = self.accounts.get_mut(account).queue.drain(is_overdue);
            self.accounts.leave_backlog_if_empty(account);
            for waiting in removed {
                self.record_service(account, AskOutcome::Overdue, &waiting.ask);
                if log::log_enabled!(target: "share", log::Level::Debug) {
                    self.log_refusal(
                        account,
                        &waiting.ask,
                        self.wait_reason(account, &waiting, now),
                    );
                }
                let retry_delay = self.next_retry_delay(account, &waiting.ask, now);
                self.refuse_waiting(&waiting, Reason::Overloaded, retry_delay);
            }
        }
    }

    /// Refuses the waiting requests whose backend servers all want nothing from their router now.
    pub(crate) fn refuse_paused(&mut self, now: Instant) {
        let has_pauses = |(_, router): (_, &Router)| !router.pauses.is_empty();
        if !self.routers.iter().any(has_pauses) {
            return;
        }
        for account in self.accounts.backlogged_keys().collect::<Vec<_>>() {
            let pause_end = |waiting: &WaitingRequest| self.pause_end(waiting);
            let queue = &self.accounts.get(account).queue;
            let paused = queue.iter().filter_map(|waiting| {
                let end = pause_end(waiting)?;
                Some((waiting.router, waiting.ask.ticket, end))
            });
            for (router, ticket, end) in paused.collect::<Vec<_>>() {
                let queue = &mut self.accounts.get_mut(account).queue;
                let Some(waiting) = queue.remove(router, ticket) else {
                    continue;
                };
                let pause = end.saturating_duration_since(now);
                let delay = pause + self.next_retry_delay(account, &waiting.ask, now);
                self.refuse_waiting(&waiting, Reason::Overloaded, delay);
            }
            self.accounts.leave_backlog_if_empty(account);
        }
    }

    /// The earliest end of the pauses, if all usable backend servers for a request want nothing from its router.
    fn pause_end(&self, waiting: &WaitingRequest) -> Option<Instant> {
        let router = self.routers.get(waiting.router)?;
        let eligible = self.requirements.backends(waiting.requirement);
        let usable = eligible.intersection(self.backends.usable());
        if usable.is_empty() || !usable.difference(&router.paused()).is_empty() {
            return None;
        }
        let pauses = router
            .pauses
            .iter()
            .filter(|pause| usable.contains(pause.index));
        pauses.map(|pause| pause.until).min()
    }

    /// Refuses the waiting requests that are in quarantine.
    pub(crate) fn refuse_quarantined(&mut self, now: Instant) {
        if !self.crash_history.causes.has_quarantine() {
            return;
        }
        for account in self.accounts.backlogged_keys().collect::<Vec<_>>() {
            let causes = &self.crash_history.causes;
            let is_refused = |w: &WaitingRequest| causes.quarantine_time(&w.ask, now).is_some();
            let removed = self.accounts.get_mut(account).queue.drain(is_refused);
            self.accounts.leave_backlog_if_empty(account);
            for waiting in removed {
                let time = self.crash_history.causes.quarantine_time(&waiting.ask, now);
                self.refuse_waiting(&waiting, Reason::Quarantined, time.unwrap_or_default());
            }
        }
        for (account, waiting) in std::mem::take(&mut self.isolated) {
            match self.crash_history.causes.quarantine_time(&waiting.ask, now) {
                Some(time) => self.refuse_waiting(&waiting, Reason::Quarantined, time),
                None => self.isolated.push_back((account, waiting)),
            }
        }
    }

    /// Refuses requests that no backend server can run, after all had time to report to this scheduler.
    pub(crate) fn refuse_unservable(&mut self, now: Instant) {
        if !self.knows_usable(now) {
            return;
        }
        let max_wait = self.settings.max_backend_wait;
        for account in self.accounts.backlogged_keys().collect::<Vec<_>>() {
            let (requirements, backends) = (&self.requirements, &self.backends);
            let is_unservable = |waiting: &WaitingRequest| {
                let has_waited = now.saturating_duration_since(waiting.arrived_at) >= max_wait;
                let eligible = requirements.backends(waiting.requirement);
                !eligible.overlaps(backends.usable())
                    && (has_waited || backends.wait_is_vain(&waiting.ask, eligible))
            };
            let removed = self.accounts.get_mut(account).queue.drain(is_unservable);
            self.accounts.leave_backlog_if_empty(account);
            for waiting in removed {
                self.refuse_waiting(&waiting, Reason::NoBackend, NO_BACKEND_RETRY_DELAY);
            }
        }
        let mut remaining = VecDeque::new();
        for (account, waiting) in std::mem::take(&mut self.isolated) {
            let has_waited = now.saturating_duration_since(waiting.arrived_at) >= max_wait;
            let eligible = self.requirements.backends(waiting.requirement);
            let is_vain = has_waited || self.backends.are_evacuated(eligible);
            if is_vain && !eligible.overlaps(self.backends.usable()) {
                self.refuse_waiting(&waiting, Reason::NoBackend, NO_BACKEND_RETRY_DELAY);
            } else {
                remaining.push_back((account, waiting));
            }
        }
        self.isolated = remaining;
    }

    /// Whether no backend server can run a request, except those that it avoids.
    pub(crate) fn is_unservable(&self, ask: &Ask, eligible: &BackendSet, now: Instant) -> bool {
        let mut able = eligible.common(self.backends.usable());
        let is_avoided = |index| selection::is_avoided(ask, &self.backends.get(index).report.id);
        self.knows_usable(now) && able.all(is_avoided)
    }

    /// Whether it is known which backend servers may be used: all had time to report, or none may be used anyway.
    fn knows_usable(&self, now: Instant) -> bool {
        self.has_all_reports(now) || self.backends.is_evacuated()
    }

    /// Whether all backend servers had time to report to this scheduler.
    pub(crate) fn has_all_reports(&self, now: Instant) -> bool {
        now >= self.ready_at + self.settings.backend_lease
    }

    pub(crate) fn refuse_waiting(
        &mut self,
        waiting: &WaitingRequest,
        reason: Reason,
        retry_delay: Duration,
    ) {
        self.waiting_count -= 1;
        if let Some(router) = self.routers.get_mut(waiting.router) {
            router.remove_waiting(waiting.ask.ticket);
        }
        self.refuse(waiting.router, waiting.ask.ticket, reason, retry_delay);
    }

    /// Why a waiting request can't be granted a slot now.
    fn wait_reason(
        &self,
        account: AccountKey,
        waiting: &WaitingRequest,
        now: Instant,
    ) -> &'static str {
        let eligible = self.requirements.backends(waiting.requirement);
        if waiting.ask.parts.is_empty() {
            return "waited too long for its turn";
        }
        let router = self.routers.get(waiting.router);
        let ranking = EngineRanking::new(&self.backends, now);
        let selector = self.engine_selector(&ranking, self.is_far_behind(account));
        let domain = router.map_or("", |router| router.domain.as_str());
        match selector.select(eligible, &waiting.ask, domain) {
            Ok(_) => "waited too long for its turn",
            Err(reason) => reason,
        }
    }

    /// Logs a refusal with the state of the organisation's queue.
    pub(crate) fn log_refusal(&self, account: AccountKey, ask: &Ask, reason: &str) {
        let owner = self.accounts.get(account);
        log::debug!(
            target: "share",
            request = request_id(ask).as_str(), pool = self.pool.as_str(), organisation = owner.id.as_str(),
            tokens = ask.prompt_tokens, objective_ms = ask.objective_ms, queued = owner.queue.len(),
            running = owner.running, behind = self.accounts.service_gap(account), epoch = self.epoch;
            "refused a request: {reason}"
        );
    }

    pub(crate) fn refuse(
        &mut self,
        router: RouterKey,
        ticket: u64,
        reason: Reason,
        retry_delay: Duration,
    ) {
        let retry_after_ms = millis(retry_delay).max(1);
        if let Some(router) = self.routers.get_mut(router) {
            let refusal = Refusal {
                ticket,
                reason: reason.into(),
                retry_after_ms,
            };
            router.frame.refusals.push(refusal);
        }
    }
}

/// How long a request may wait for a slot; `None` without an objective.
pub fn max_objective_wait(ask: &Ask, percent: u32) -> Option<Duration> {
    let wait = u64::from(ask.objective_ms) * u64::from(percent) / 100;
    (wait > 0).then(|| Duration::from_millis(wait))
}
