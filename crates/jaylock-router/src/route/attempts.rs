use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::format_compact;
use http::StatusCode;
use jaylock_observe::{RequestKind, RunStatus};
use jaylock_rpc::v1::Ask;
use jaylock_rpc::v1::end::Outcome;
use jaylock_rpc::v1::route::Kind;

use super::context::RouteContext;
use super::request::RouteRequest;
use crate::error::AttemptError;
use crate::response::ErrorResponse;
use crate::slot::Slot;
use crate::tracker::RequestTracker;

/// Part of the time left for which a caller is told to wait at most, as a divisor.
const LONGEST_WAIT_PART: u32 = 3;

/// What the attempts of one request share: slots, whether it ran, and the budget of its service.
pub struct Attempts {
    /// What requests share.
    pub context: Rc<RouteContext>,
    /// The request.
    pub request: RouteRequest,
    /// What is noted of it.
    pub tracker: RequestTracker,
    run: RunStatus,
    tries: u32,
    avoid: Vec<String>,
}

impl Attempts {
    /// Prepares the first attempt.
    pub fn new(context: Rc<RouteContext>, request: RouteRequest) -> Self {
        context.budget.update(&context.view.current());
        context.budget.deposit(request.pool.as_str());
        let kind = match request.prompt {
            Some(_) => RequestKind::Model,
            None => RequestKind::Service,
        };
        let tracker = RequestTracker::new(
            context.observer.clone(),
            context.lifecycle.request_token(),
            &request.id,
            &request.organisation,
            request.arrived,
            (request.pool.clone(), kind),
        );
        Self {
            context,
            request,
            tracker,
            run: RunStatus::NotRun,
            tries: 0,
            avoid: Vec::new(),
        }
    }

    /// Notes that a part of the answer came.
    pub fn mark_ran(&mut self) {
        self.run = RunStatus::Ran;
    }

    /// Waits for a slot, until the deadline.
    ///
    /// `served` counts the tokens that earlier attempts brought.
    ///
    /// # Errors
    /// The scheduler's refusal.
    pub async fn acquire_slot(&mut self, served: u64) -> Result<(SocketAddr, Slot), ErrorResponse> {
        let left = self.request.left();
        let asked = Instant::now();
        let waited = asked.saturating_duration_since(self.request.arrived);
        if self.tries == 0 {
            self.tracker.record.admission_time = waited;
        }
        let ask = Ask {
            served,
            avoid: self.avoid.clone(),
            waited_ms: u32::try_from(waited.as_millis()).unwrap_or(u32::MAX),
            patience_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
            ..self.request.ask()
        };
        let pool = &self.request.pool;
        let asking = self.context.schedulers.request_slot(pool, ask);
        let outcome = compio::time::timeout(left, asking).await;
        self.tracker.record.wait_time += asked.elapsed();
        let Ok(outcome) = outcome else {
            return Err(self.deadline_exceeded());
        };
        let grant = outcome.map_err(|r| {
            self.with_capped_wait(ErrorResponse::from_scheduler(&r).with_run(self.run))
        })?;
        let address = grant.address.parse();
        let slot = Slot::new(self.context.schedulers.clone(), pool.clone(), grant);
        let Ok(address) = address else {
            slot.release(Outcome::NotRun);
            return Err(self.give_up("the backend server's address is malformed"));
        };
        self.tries += 1;
        self.tracker.record.attempts = self.tries;
        self.tracker.add_step(format_compact!(
            "attempt {} at {}",
            self.tries,
            slot.backend()
        ));
        Ok((address, slot))
    }

    /// Notes that an attempt failed and tells whether another may be made.
    ///
    /// # Errors
    /// The final answer.
    pub fn record_failure(
        &mut self,
        failure: &AttemptError,
        slot: Slot,
    ) -> Result<(), ErrorResponse> {
        let backend = slot.backend().to_owned();
        self.tracker
            .add_step(format_compact!("attempt at {backend} failed: {failure}"));
        self.avoid.push(backend);
        if failure.is_not_run() {
            slot.release(Outcome::NotRun);
        } else {
            slot.release(Outcome::Broken);
            if self.run == RunStatus::NotRun {
                self.run = RunStatus::Unknown;
            }
        }
        if !failure.is_not_run() && !self.may_retry() {
            return Err(self.give_up("the attempt broke off and may not be repeated"));
        }
        if self.request.left().is_zero() {
            return Err(self.deadline_exceeded());
        }
        if self.tries >= self.request.route.attempts.max(1) {
            return Err(self.give_up("the attempts that the route allows have failed"));
        }
        if !self.context.budget.try_withdraw(self.request.pool.as_str()) {
            return Err(self.give_up("the attempt failed and the retry budget is spent"));
        }
        Ok(())
    }

    /// How long the backend server of this attempt may be silent before its answer begins.
    ///
    /// While another attempt may be made, a server that says nothing is left for another one; the last attempt has
    /// all the time that is left, for a late answer is better than none.
    pub fn head_timeout(&self) -> Duration {
        let left = self.request.left();
        if !self.may_retry() || !self.has_attempts_left() {
            return left;
        }
        left.min(self.request.silence())
    }

    /// Whether the route and the budget of the service allow a further attempt.
    fn has_attempts_left(&self) -> bool {
        let allowed = self.request.route.attempts.max(1);
        self.tries < allowed && self.context.budget.can_withdraw(self.request.pool.as_str())
    }

    /// Whether an attempt may follow one that may have run.
    pub fn may_retry(&self) -> bool {
        let route = &self.request.route;
        match route.kind() {
            Kind::Repeatable => true,
            Kind::Stream => route.resumable,
            Kind::Once => false,
        }
    }

    /// The answer to a request whose time is over.
    pub fn deadline_exceeded(&self) -> ErrorResponse {
        let status = match self.run {
            RunStatus::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            RunStatus::Ran | RunStatus::Unknown => StatusCode::GATEWAY_TIMEOUT,
        };
        let remedy = "allow more time, or ask again later";
        ErrorResponse::not_run(
            status,
            "deadline",
            "the time of the request is over",
            remedy,
        )
        .with_run(self.run)
        .with_retry_after(self.context.limits.retry_after)
    }

    fn give_up(&self, reason: &'static str) -> ErrorResponse {
        let (status, kind) = match self.run {
            RunStatus::NotRun => (StatusCode::SERVICE_UNAVAILABLE, "declined"),
            RunStatus::Ran | RunStatus::Unknown => (StatusCode::BAD_GATEWAY, "broken"),
        };
        let remedy = "ask again after the time in retry-after, if it may be repeated";
        let refusal = ErrorResponse::not_run(status, kind, reason, remedy).with_run(self.run);
        self.with_capped_wait(refusal.with_retry_after(self.context.limits.retry_after))
    }

    /// Keeps the time to return within what callers wait for, and promises nothing where it may have run.
    fn with_capped_wait(&self, mut refusal: ErrorResponse) -> ErrorResponse {
        let longest: Duration = self.request.left() / LONGEST_WAIT_PART;
        refusal.retry_after = refusal.retry_after.map(|wait| wait.min(longest));
        if self.run != RunStatus::NotRun {
            refusal.status = StatusCode::BAD_GATEWAY;
        }
        refusal
    }
}
