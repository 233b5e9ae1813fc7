use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::format_compact;
use http::StatusCode;
use jaylock_observe::{RequestKind, RunStatus};
use jaylock_rpc::v1::end::Outcome;
use jaylock_rpc::v1::refusal::Reason;
use jaylock_rpc::v1::route::Kind;
use jaylock_rpc::v1::{Ask, Grant, Refusal};
use jaylock_types::{HedgePlan, millis};

use super::broken::BrokenAttempt;
use super::context::{RouteContext, is_repeatable};
use super::prompt::Prompt;
use super::quarantine::quarantine_time;
use super::request::RouteRequest;
use crate::error::AttemptError;
use crate::pinned::PinnedSoftware;
use crate::response::{ErrorResponse, QUARANTINED};
use crate::slot::Slot;
use crate::tracker::RequestTracker;

/// Divisor of the remaining time that caps the delay in `retry-after`.
pub const MAX_DELAY_DIVISOR: u32 = 3;

/// State shared by the attempts of one request for a route, which decides about retries.
pub struct Attempts {
    /// State shared by all requests.
    pub context: Rc<RouteContext>,
    /// Request that the attempts belong to.
    pub request: Rc<RouteRequest>,
    /// Record of the request for metrics, logs and traces.
    pub tracker: RequestTracker,
    run_status: RunStatus,
    /// Number of attempts made.
    count: u32,
    /// Backend servers at which earlier attempts failed.
    pub avoid: Vec<String>,
    /// Addresses that earlier attempts were sent to.
    addresses: Vec<SocketAddr>,
    /// Version of the software at which the response must go on.
    pub software: PinnedSoftware,
    /// When the first slot was granted.
    first_grant: Option<Instant>,
    /// Whether no attempt may follow one that may have run, whatever the route allows.
    is_final: bool,
    /// Whether a second attempt beside a slow one was asked for.
    pub is_hedged: bool,
}

impl Attempts {
    /// Creates the state before the first attempt and credits the retry budget.
    pub fn new(context: Rc<RouteContext>, request: RouteRequest) -> Self {
        context.budget.update(&context.view.current());
        context.budget.deposit(request.pool().as_str());
        context
            .hedging
            .record_request(request.pool().as_str(), &context.view.current());
        let kind = match request.prompt {
            Some(_) => RequestKind::Model,
            None => RequestKind::Service,
        };
        let tracker = RequestTracker::new(
            context.observer.clone(),
            context.lifecycle.clone(),
            &request.id,
            &request.organisation,
            request.arrived_at,
            (request.pool().clone(), kind),
        );
        Self {
            context,
            request: Rc::new(request),
            tracker,
            run_status: RunStatus::NotRun,
            count: 0,
            avoid: Vec::new(),
            addresses: Vec::new(),
            software: PinnedSoftware::default(),
            first_grant: None,
            is_final: false,
            is_hedged: false,
        }
    }

    /// Records that the response is complete.
    pub fn record_complete(&self) {
        if let Some(granted) = self.first_grant {
            let (route, now) = (&self.request.route.id, Instant::now());
            let duration = now.saturating_duration_since(granted);
            self.context.run_times.record(route, duration, now);
        }
    }

    /// Records that a part of the response arrived, so the request ran.
    pub fn mark_ran(&mut self) {
        self.run_status = RunStatus::Ran;
        self.tracker.record.run = RunStatus::Ran;
    }

    /// Whether the request was sent to this address before, for this or another backend server.
    pub fn has_tried(&self, address: SocketAddr) -> bool {
        self.addresses.contains(&address)
    }

    /// Lets the response go on only at this version of the backend servers' software.
    pub fn pin_software(&mut self, software: &str) {
        self.software.pin(software);
    }

    /// Makes the attempt in progress the last one that may run.
    pub fn forbid_retries(&mut self) {
        self.is_final = true;
    }

    /// Waits for a slot until the deadline.
    ///
    /// `served` is the service in tokens that earlier attempts provided.
    ///
    /// # Errors
    /// The scheduler's refusal, or that the deadline has passed.
    pub async fn acquire_slot(&mut self, served: u64) -> Result<(SocketAddr, Slot), ErrorResponse> {
        loop {
            self.check_quarantine()?;
            let refusal = match self.request_slot(served).await? {
                Ok(grant) => return self.use_grant(grant),
                Err(refusal) => refusal,
            };
            let is_unknown = refusal.reason() == Reason::UnknownStream;
            // The request is shared only while an attempt runs.
            let request = Rc::get_mut(&mut self.request);
            if !is_unknown || !request.is_some_and(RouteRequest::use_next_target) {
                let error = ErrorResponse::from_scheduler(&refusal);
                return Err(self.with_capped_delay(error.with_run_status(self.run_status)));
            }
            self.tracker.record.pool = self.request.pool().clone();
        }
    }

    /// Requests a slot from the scheduler of the service, and waits for its reply until the deadline.
    async fn request_slot(&mut self, served: u64) -> Result<Result<Grant, Refusal>, ErrorResponse> {
        let remaining = self.request.remaining();
        let started = Instant::now();
        let mut waited = started.saturating_duration_since(self.request.arrived_at);
        if self.count == 0 {
            self.tracker.record.admission_time = waited;
        }
        if served > 0 {
            // The objective is the time to the first event, which has been forwarded.
            waited = Duration::ZERO;
        }
        let ask = Ask {
            served,
            avoid: self.avoid.clone(),
            waited_ms: millis(waited),
            software: self.software.required(),
            patience_ms: millis(remaining),
            ..self.request.slot_request()
        };
        let pool = self.request.pool();
        let waiting = self.context.schedulers.request_slot(pool, ask);
        let waiting = compio::time::timeout(remaining, waiting);
        let outcome = if self.run_status == RunStatus::NotRun {
            let (route, deadline) = (&self.request.route, self.request.deadline);
            let plan = self.context.run_plan(route, deadline);
            self.context.lifecycle.wait_to_start(plan, waiting).await
        } else {
            Some(waiting.await)
        };
        self.tracker.record.wait_time += started.elapsed();
        let outcome = outcome.ok_or_else(|| self.context.leaving())?;
        outcome.map_err(|_| self.deadline_exceeded())
    }

    /// Counts the attempt for which a slot was granted.
    fn use_grant(&mut self, grant: Grant) -> Result<(SocketAddr, Slot), ErrorResponse> {
        let address = grant.address.parse();
        let pool = self.request.pool().clone();
        let (schedulers, checks) = (
            self.context.schedulers.clone(),
            self.context.crash_checks.clone(),
        );
        let slot = Slot::new(schedulers, checks, pool, grant);
        let Ok(address) = address else {
            slot.release(Outcome::NotRun);
            return Err(self.give_up("the backend server's address is malformed"));
        };
        self.first_grant.get_or_insert_with(Instant::now);
        self.count_attempt(&slot);
        Ok((address, slot))
    }

    /// Counts an attempt for which a slot was granted.
    pub fn count_attempt(&mut self, slot: &Slot) {
        self.count += 1;
        self.tracker.record.attempts = self.count;
        self.tracker.record_step(format_compact!(
            "attempt {} at {}",
            self.count,
            slot.backend()
        ));
    }

    /// Number of attempts made.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Records how long a successful response took, for the delay of later hedges.
    pub fn record_response_time(&self, time: Duration) {
        let route = &self.request.route;
        if route.kind() == Kind::Repeatable {
            let hedging = &self.context.hedging;
            hedging.record_response(&route.id, time, Instant::now());
            if hedging.is_enabled() {
                let pool = self.request.pool();
                let percent = hedging.percent();
                let schedulers = &self.context.schedulers;
                schedulers.report_response(pool, &route.id, percent, time);
            }
        }
    }

    /// When the attempt that starts now gets a second one beside it; `None` if it never does.
    ///
    /// A request gets one at most, and none that may not be repeated.
    pub fn hedge_plan(&self) -> Option<HedgePlan> {
        let route = &self.request.route;
        let may_hedge = route.kind() == Kind::Repeatable && self.may_retry() && !self.is_hedged;
        if !may_hedge || self.count >= route.attempts.max(1) {
            return None;
        }
        let plan = self.known_plan(&route.id)?;
        let remaining = self.request.remaining().checked_sub(plan.delay)?;
        plan.may_win(remaining).then_some(plan)
    }

    /// When requests of a route are hedged: by the responses of all routers, or else by those of this one.
    fn known_plan(&self, route: &str) -> Option<HedgePlan> {
        let context = &self.context;
        if !context.hedging.is_enabled() {
            return None;
        }
        let fleet = context.schedulers.hedge_plan(self.request.pool(), route);
        fleet.or_else(|| context.hedging.plan(route, Instant::now()))
    }

    /// Refuses a request that is like others which crashed backend servers.
    pub fn check_quarantine(&self) -> Result<(), ErrorResponse> {
        let configuration = self.context.view.current();
        let Some(remaining) = quarantine_time(&configuration, &self.request) else {
            return Ok(());
        };
        let error = ErrorResponse::quarantined(remaining).with_run_status(self.run_status);
        Err(self.with_capped_delay(error))
    }

    /// Records a failed attempt and checks that another one may be made.
    ///
    /// # Errors
    /// The final response when no other attempt may be made.
    pub async fn record_failure(
        &mut self,
        error: &AttemptError,
        address: SocketAddr,
        slot: Slot,
    ) -> Result<(), ErrorResponse> {
        let broken = self.record_end(error, address, slot, self.count);
        if let Some(broken) = broken {
            broken.settle_to_the_end().await;
        }
        if matches!(error, AttemptError::Excluded) {
            return Ok(());
        }
        if !error.is_not_run() && !self.may_retry() {
            return Err(self.give_up("the attempt broke off and may not be repeated"));
        }
        if self.request.remaining().is_zero() {
            return Err(self.deadline_exceeded());
        }
        if self.count >= self.request.route.attempts.max(1) {
            return Err(self.give_up("the attempts that the route allows have failed"));
        }
        if !self
            .context
            .budget
            .try_withdraw(self.request.pool().as_str())
        {
            return Err(self.give_up("the attempt failed and the retry budget is spent"));
        }
        Ok(())
    }

    /// Records a failed attempt beside which another one runs, which may still complete the response.
    pub fn record_failed_beside(
        &mut self,
        error: &AttemptError,
        address: SocketAddr,
        slot: Slot,
        number: u32,
    ) {
        if let Some(broken) = self.record_end(error, address, slot, number) {
            // The other attempt's response doesn't wait until it is known whether the backend server crashed.
            compio::runtime::spawn(broken.settle()).detach();
        }
    }

    /// Records the end of a failed attempt; returns one that may have run, whose slot is still to be released.
    fn record_end(
        &mut self,
        error: &AttemptError,
        address: SocketAddr,
        slot: Slot,
        number: u32,
    ) -> Option<BrokenAttempt> {
        let backend = slot.backend().to_owned();
        self.tracker
            .record_step(format_compact!("attempt at {backend} failed: {error}"));
        if matches!(error, AttemptError::Excluded) {
            // Nothing was sent, so that this was no attempt.
            self.count -= 1;
            slot.release(Outcome::NotRun);
            return None;
        }
        self.tracker.record_failure(error);
        self.avoid.push(backend);
        self.addresses.push(address);
        if matches!(error, AttemptError::Unreachable(_)) {
            slot.release_unreached();
            return None;
        }
        if error.is_not_run() {
            slot.release(Outcome::NotRun);
            return None;
        }
        let parts = self.request.prompt.as_ref().map(Prompt::part_list);
        let broken = BrokenAttempt {
            error: error.clone(),
            address,
            slot,
            number,
            request: self.request.id.clone(),
            organisation: self.request.organisation.clone(),
            has_run: self.run_status == RunStatus::Ran,
            parts: parts.unwrap_or_default().into(),
        };
        if self.run_status == RunStatus::NotRun {
            self.run_status = RunStatus::Unknown;
        }
        Some(broken)
    }

    /// Timeout for the head of this attempt's response.
    ///
    /// While another attempt is possible, a backend server that does not respond is given up for another
    /// one. The last attempt may use all remaining time, as a late response is better than none.
    pub fn head_timeout(&self) -> Duration {
        let remaining = self.request.remaining();
        if !self.may_retry() || !self.has_attempts_left() {
            return remaining;
        }
        remaining.min(self.request.attempt_timeout())
    }

    /// Whether the route and the retry budget allow another attempt.
    fn has_attempts_left(&self) -> bool {
        let max_attempts = self.request.route.attempts.max(1);
        self.count < max_attempts
            && self
                .context
                .budget
                .can_withdraw(self.request.pool().as_str())
    }

    /// Whether the request may be retried after an attempt that may have run.
    pub fn may_retry(&self) -> bool {
        is_repeatable(&self.request.route) && !self.is_final
    }

    /// Error for a request whose deadline has passed.
    pub fn deadline_exceeded(&self) -> ErrorResponse {
        let status = match self.run_status {
            RunStatus::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            RunStatus::Ran | RunStatus::Unknown => StatusCode::GATEWAY_TIMEOUT,
        };
        let remedy = "allow more time, or ask again later";
        ErrorResponse::new(
            status,
            "deadline",
            "the time of the request is over",
            remedy,
        )
        .with_run_status(self.run_status)
        .with_retry_after(self.context.limits.retry_after)
    }

    fn give_up(&self, reason: &'static str) -> ErrorResponse {
        let (status, kind) = match self.run_status {
            RunStatus::NotRun => (StatusCode::SERVICE_UNAVAILABLE, "declined"),
            RunStatus::Ran | RunStatus::Unknown => (StatusCode::BAD_GATEWAY, "broken"),
        };
        let remedy = "ask again after the time in retry-after, if it may be repeated";
        let error =
            ErrorResponse::new(status, kind, reason, remedy).with_run_status(self.run_status);
        self.with_capped_delay(error.with_retry_after(self.context.limits.retry_after))
    }

    /// Caps `retry-after` at a third of the remaining time, after which the caller stops waiting.
    ///
    /// The end of a quarantine is told as it is, so that the caller doesn't return in vain.
    /// The status is 502 when the request may have run, as 429 and 503 would mean that it did not.
    fn with_capped_delay(&self, mut error: ErrorResponse) -> ErrorResponse {
        let max_delay: Duration = self.request.remaining() / MAX_DELAY_DIVISOR;
        if error.kind != QUARANTINED {
            error.retry_after = error.retry_after.map(|delay| delay.min(max_delay));
        }
        if self.run_status != RunStatus::NotRun {
            error.status = StatusCode::BAD_GATEWAY;
        }
        error
    }
}
