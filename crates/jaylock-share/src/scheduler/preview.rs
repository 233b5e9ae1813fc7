//! What would happen to a request that arrived now, for operators.

use std::borrow::Cow;
use std::time::{Duration, Instant};

use jaylock_rpc::v1::placement::Outcome;
use jaylock_rpc::v1::{Ask, Candidate, Placement, PlacementRequest};
use jaylock_types::millis;

use crate::admission::account::AccountKey;
use crate::admission::refusals::max_objective_wait;
use crate::backends::backend_set::BackendSet;
use crate::backends::requirement::Requirement;
use crate::placement::ranking::EngineRanking;
use crate::placement::selection::{self, EngineSelector};
use crate::scheduler::allocator::Allocator;

/// Backend servers that a preview lists.
const MAX_CANDIDATES: usize = 50;

/// What the decision on a request reads.
struct Subject<'a> {
    ask: &'a Ask,
    /// Failure domain of the router that the request is assumed to reach.
    domain: &'a str,
    /// Unset for an organisation that the pool doesn't know.
    account: Option<AccountKey>,
    eligible: Cow<'a, BackendSet>,
}

impl Allocator {
    /// What the scheduler would do with a request that arrived now, after the decisions that are due.
    ///
    /// It changes nothing: the request is neither queued nor charged, and its crash history and retry times stay as they are.
    /// That some backend servers want nothing from one router is not considered, as the router is not known.
    #[must_use]
    pub fn preview(&self, request: &PlacementRequest, instance: &str, now: Instant) -> Placement {
        let ask = request.ask.clone().unwrap_or_default();
        let subject = Subject {
            ask: &ask,
            domain: &request.domain,
            account: self.accounts.find(&ask.organisation),
            eligible: self.eligible(&ask),
        };
        let placement = Placement {
            pool: self.pool.as_str().into(),
            epoch: self.epoch,
            instance: instance.into(),
            backlog: subject.account.map_or(0, |account| self.backlog(account)),
            ..Placement::default()
        };
        let ranking = EngineRanking::new(&self.backends, now);
        let is_far_behind = subject.account.is_some_and(|a| self.is_far_behind(a));
        let selector = self.engine_selector(&ranking, is_far_behind);
        let placement = self.preview_outcome(&subject, &selector, placement, now);
        self.with_candidates(&subject, &selector, placement, now)
    }

    /// The backend servers that meet the requirement of a request, also if no request had it before.
    fn eligible(&self, ask: &Ask) -> Cow<'_, BackendSet> {
        if let Some(key) = self.requirements.find(ask) {
            return Cow::Borrowed(self.requirements.backends(key));
        }
        let requirement = Requirement::from_ask(ask);
        let mut eligible = BackendSet::default();
        for (index, report) in self.backends.reports() {
            eligible.set(index, requirement.is_met(report));
        }
        Cow::Owned(eligible)
    }

    fn backlog(&self, account: AccountKey) -> u32 {
        u32::try_from(self.accounts.get(account).queue.len()).unwrap_or(u32::MAX)
    }

    fn preview_outcome(
        &self,
        subject: &Subject,
        selector: &EngineSelector,
        placement: Placement,
        now: Instant,
    ) -> Placement {
        let Subject { ask, account, .. } = *subject;
        if let Some(refusal) = self.arrival_refusal(account, &subject.eligible, ask, now) {
            let interval = account.map_or(Duration::ZERO, |a| self.turn_interval(a, ask));
            return Placement {
                outcome: Outcome::Refused.into(),
                reason: refusal.cause.into(),
                retry_after_ms: millis(refusal.min_delay.max(interval)).max(1),
                ..placement
            };
        }
        match self.preview_choice(subject, selector, now) {
            Ok(index) => Placement {
                outcome: Outcome::Granted.into(),
                backend: self.backends.get(index).report.id.clone(),
                reason: self.choice_reason(subject, index),
                ..placement
            },
            Err(reason) => {
                let expected = account.map_or(Duration::ZERO, |a| self.expected_wait(a, ask));
                Placement {
                    outcome: Outcome::Waits.into(),
                    reason: self.wait_text(reason, ask),
                    expected_wait_ms: millis(expected),
                    ..placement
                }
            }
        }
    }

    /// The backend server that the request would get, or what it would wait for.
    fn preview_choice(
        &self,
        subject: &Subject,
        selector: &EngineSelector,
        now: Instant,
    ) -> Result<usize, &'static str> {
        if now < self.ready_at {
            return Err("waits for the scheduler, which has just started");
        }
        let Subject { ask, domain, .. } = *subject;
        if !subject.eligible.overlaps(self.backends.usable()) {
            return Err("waits for a backend server that can run it: none is usable");
        }
        if is_prompt(ask) {
            return selector.select(&subject.eligible, ask, domain);
        }
        let chosen = selection::choose(
            &self.backends,
            &self.crash_history,
            selector.ranking,
            &subject.eligible,
            ask,
            domain,
        );
        chosen.ok_or("waits for a free slot")
    }

    fn choice_reason(&self, subject: &Subject, index: usize) -> String {
        let backend = self.backends.get(index);
        if !is_prompt(subject.ask) {
            let (load, pace) = (backend.load_percent(), backend.pace.learned());
            return format!(
                "least loaded for its pace: {load} % of its slots taken, pace {} %",
                pace.pace_percent()
            );
        }
        let engine = &backend.engine;
        let (uncached, pending) = (
            engine.uncached_tokens(subject.ask),
            engine.pending_prefill(),
        );
        format!("finishes its prefill first: {uncached} tokens not cached, {pending} pending")
    }

    /// Why a request waits, and how long it may.
    fn wait_text(&self, reason: &str, ask: &Ask) -> String {
        let max_wait = max_objective_wait(ask, self.settings.objective_wait_percent);
        match max_wait {
            Some(max_wait) => format!("{reason}; refused after {} ms", millis(max_wait)),
            None => reason.into(),
        }
    }

    fn with_candidates(
        &self,
        subject: &Subject,
        selector: &EngineSelector,
        placement: Placement,
        now: Instant,
    ) -> Placement {
        let eligible = &subject.eligible;
        let candidates = eligible
            .common(eligible)
            .map(|index| self.candidate(subject, selector, index, now));
        let mut candidates: Vec<Candidate> = candidates.collect();
        candidates.sort_by_key(|candidate| {
            let is_other = candidate.backend != placement.backend;
            let has_objection = !candidate.objection.is_empty();
            (is_other, has_objection, candidate.pending_prefill)
        });
        let total = u32::try_from(candidates.len()).unwrap_or(u32::MAX);
        candidates.truncate(MAX_CANDIDATES);
        Placement {
            candidates,
            candidates_total: total,
            ..placement
        }
    }

    fn candidate(
        &self,
        subject: &Subject,
        selector: &EngineSelector,
        index: usize,
        now: Instant,
    ) -> Candidate {
        let backend = self.backends.get(index);
        let (pending_prefill, uncached_tokens) = if is_prompt(subject.ask) {
            let engine = &backend.engine;
            (
                engine.pending_prefill(),
                engine.uncached_tokens(subject.ask),
            )
        } else {
            (0, 0)
        };
        Candidate {
            backend: backend.report.id.clone(),
            domain: backend.report.domain.clone(),
            free_slots: backend.free_slots(),
            pace_percent: backend.pace.learned().pace_percent(),
            pending_prefill,
            uncached_tokens,
            objection: self.objection(subject, selector, index, now).into(),
        }
    }

    /// Why a backend server would not get the request now; empty if it could.
    fn objection(
        &self,
        subject: &Subject,
        selector: &EngineSelector,
        index: usize,
        now: Instant,
    ) -> &'static str {
        let backend = self.backends.get(index);
        let unusable = backend.unusable_reason(now, self.settings.backend_lease);
        if !unusable.is_empty() {
            unusable
        } else if backend.is_reserved {
            "reserved for a request that runs alone"
        } else if backend.is_limited {
            "cold or limited: takes no further request now"
        } else if !self.backends.available().contains(index) {
            "no free slot"
        } else if !self.crash_history.admits(subject.ask, index) {
            "the request is suspected of crashes"
        } else if !is_prompt(subject.ask) {
            ""
        } else if !backend.engine.has_room(subject.ask) {
            "no room in its memory"
        } else if !selector.is_far_behind && !selector.accepts_prefill(index) {
            "enough pending prefill"
        } else {
            ""
        }
    }
}

/// Whether an engine is selected by its pending prefill and its cache.
fn is_prompt(ask: &Ask) -> bool {
    ask.prompt_tokens > 0 && !ask.parts.is_empty()
}
