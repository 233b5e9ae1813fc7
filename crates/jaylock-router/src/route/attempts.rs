use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::format_compact;
use http::StatusCode;
use jaylock_observe::{RequestKind, Run};
use jaylock_rpc::v1::Ask;
use jaylock_rpc::v1::end::Outcome;
use jaylock_rpc::v1::route::Kind;

use super::context::RouteContext;
use super::request::RouteRequest;
use crate::account::Account;
use crate::answer::Refusal;
use crate::failure::Failure;
use crate::slot::Slot;

/// Part of the time left for which a caller is told to wait at most, as a divisor.
const LONGEST_WAIT_PART: u32 = 3;

/// What the attempts of one request share: slots, whether it ran, and the budget of its service.
pub struct Attempts {
    /// What requests share.
    pub context: Rc<RouteContext>,
    /// The request.
    pub request: RouteRequest,
    /// What is noted of it.
    pub account: Account,
    run: Run,
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
        let account = Account::new(
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
            account,
            run: Run::NotRun,
            tries: 0,
            avoid: Vec::new(),
        }
    }

    /// Notes that a part of the answer came.
    pub fn ran(&mut self) {
        self.run = Run::Ran;
    }

    /// Waits for a slot, until the deadline.
    ///
    /// `served` counts the tokens that earlier attempts brought.
    ///
    /// # Errors
    /// The scheduler's refusal.
    pub async fn slot(&mut self, served: u64) -> Result<(SocketAddr, Slot), Refusal> {
        let left = self.request.left();
        let asked = Instant::now();
        let waited = asked.saturating_duration_since(self.request.arrived);
        if self.tries == 0 {
            self.account.record.admitted = waited;
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
        self.account.record.waited += asked.elapsed();
        let Ok(outcome) = outcome else {
            return Err(self.late());
        };
        let grant = outcome.map_err(|r| self.bounded(Refusal::of_capacity(&r).ran(self.run)))?;
        let address = grant.address.parse();
        let slot = Slot::new(self.context.schedulers.clone(), pool.clone(), grant);
        let Ok(address) = address else {
            slot.close(Outcome::NotRun);
            return Err(self.gave_up("the backend server's address is malformed"));
        };
        self.tries += 1;
        self.account.record.attempts = self.tries;
        self.account.step(format_compact!(
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
    pub fn failed(&mut self, failure: &Failure, slot: Slot) -> Result<(), Refusal> {
        let backend = slot.backend().to_owned();
        self.account
            .step(format_compact!("attempt at {backend} failed: {failure}"));
        self.avoid.push(backend);
        if failure.is_not_run() {
            slot.close(Outcome::NotRun);
        } else {
            slot.close(Outcome::Broken);
            if self.run == Run::NotRun {
                self.run = Run::Unknown;
            }
        }
        if !failure.is_not_run() && !self.may_repeat() {
            return Err(self.gave_up("the attempt broke off and may not be repeated"));
        }
        if self.request.left().is_zero() {
            return Err(self.late());
        }
        if self.tries >= self.request.route.attempts.max(1) {
            return Err(self.gave_up("the attempts that the route allows have failed"));
        }
        if !self.context.budget.try_withdraw(self.request.pool.as_str()) {
            return Err(self.gave_up("the attempt failed and the retry budget is spent"));
        }
        Ok(())
    }

    /// How long the backend server of this attempt may be silent before its answer begins.
    ///
    /// While another attempt may be made, a server that says nothing is left for another one; the last attempt has
    /// all the time that is left, for a late answer is better than none.
    pub fn patience(&self) -> Duration {
        let left = self.request.left();
        if !self.may_repeat() || !self.has_attempt() {
            return left;
        }
        left.min(self.request.silence())
    }

    /// Whether the route and the budget of the service allow a further attempt.
    fn has_attempt(&self) -> bool {
        let allowed = self.request.route.attempts.max(1);
        self.tries < allowed && self.context.budget.can_withdraw(self.request.pool.as_str())
    }

    /// Whether an attempt may follow one that may have run.
    pub fn may_repeat(&self) -> bool {
        let route = &self.request.route;
        match route.kind() {
            Kind::Repeatable => true,
            Kind::Stream => route.resumable,
            Kind::Once => false,
        }
    }

    /// The answer to a request whose time is over.
    pub fn late(&self) -> Refusal {
        let status = match self.run {
            Run::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            Run::Ran | Run::Unknown => StatusCode::GATEWAY_TIMEOUT,
        };
        let remedy = "allow more time, or ask again later";
        Refusal::not_run(
            status,
            "deadline",
            "the time of the request is over",
            remedy,
        )
        .ran(self.run)
        .after(self.context.limits.retry_after)
    }

    fn gave_up(&self, reason: &'static str) -> Refusal {
        let (status, kind) = match self.run {
            Run::NotRun => (StatusCode::SERVICE_UNAVAILABLE, "declined"),
            Run::Ran | Run::Unknown => (StatusCode::BAD_GATEWAY, "broken"),
        };
        let remedy = "ask again after the time in retry-after, if it may be repeated";
        let refusal = Refusal::not_run(status, kind, reason, remedy).ran(self.run);
        self.bounded(refusal.after(self.context.limits.retry_after))
    }

    /// Keeps the time to return within what callers wait for, and promises nothing where it may have run.
    fn bounded(&self, mut refusal: Refusal) -> Refusal {
        let longest: Duration = self.request.left() / LONGEST_WAIT_PART;
        refusal.retry_after = refusal.retry_after.map(|wait| wait.min(longest));
        if self.run != Run::NotRun {
            refusal.status = StatusCode::BAD_GATEWAY;
        }
        refusal
    }
}
