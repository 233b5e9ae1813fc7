use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::format_compact;
use http::StatusCode;
use jaylock_observe::Run;
use jaylock_rpc::v1::end::Outcome;
use jaylock_rpc::v1::refusal::Reason;
use jaylock_rpc::v1::{self, Ask};
use jaylock_types::PoolId;

use crate::call::Call;
use crate::connection;
use crate::context::Context;
use crate::error::AttemptError;
use crate::quarantine::{self, Suspect};
use crate::response::ErrorResponse;
use crate::slot::Slot;
use crate::tracker::RequestTracker;

/// Time in which a backend server may still crash under work that was cancelled.
const AFTERMATH: Duration = Duration::from_secs(1);
/// Longest wait before the third attempt.
const BACKOFF: Duration = Duration::from_millis(50);
/// Times that the wait doubles at most.
const BACKOFF_DOUBLINGS: u32 = 4;

/// What the attempts of one request share: slots, run state, budget and suspicion.
pub struct RetryState {
    context: Rc<Context>,
    pool: PoolId,
    arrived: Instant,
    suspect: Suspect,
    run: Run,
    before: Run,
    tries: u32,
    avoid: Vec<String>,
    /// Where an attempt runs that was neither reported as failed nor as whole.
    running: Option<Place>,
}

/// A backend server at which a request runs.
struct Place {
    address: SocketAddr,
    backend: String,
}

impl RetryState {
    /// Prepares the first attempt.
    pub fn new(context: Rc<Context>, call: &Call, pool: PoolId) -> Self {
        context.budget.deposit(call.organisation.as_str());
        let suspect = Suspect {
            fingerprint: call.fingerprint,
            organisation: call.organisation.clone(),
            request: call.request.clone(),
            crashes: 0,
        };
        Self {
            context,
            pool,
            arrived: call.arrived,
            suspect,
            run: Run::NotRun,
            before: Run::NotRun,
            tries: 0,
            avoid: Vec::new(),
            running: None,
        }
    }

    /// Whether it ran, as far as is known.
    pub fn run(&self) -> Run {
        self.run
    }

    /// Notes that a part of the answer came.
    pub fn mark_ran(&mut self) {
        self.run = Run::Ran;
    }

    /// Whether its run decides if it crashes backend servers.
    pub fn is_suspect(&self) -> bool {
        self.suspect.is_suspect()
    }

    /// Waits for a slot; from then on bytes may have left.
    pub async fn acquire_slot(
        &mut self,
        ask: Ask,
        tracker: &mut RequestTracker,
    ) -> Result<(SocketAddr, Slot), ErrorResponse> {
        let asked = Instant::now();
        if self.tries > 0 {
            self.suspect.wait_for_isolated_run(&self.context).await;
        }
        let outcome = self.ask(ask).await;
        tracker.record.waited += asked.elapsed();
        let (address, slot) = outcome?;
        self.tries += 1;
        let (tries, backend) = (self.tries, slot.backend().to_owned());
        tracker.record.attempts = tries;
        tracker.add_step(format_compact!("attempt {tries} at {backend}"));
        let suspect = &self.suspect;
        let checked = quarantine::check(&self.context, &suspect.fingerprint, &suspect.request);
        if let Err(refusal) = checked {
            slot.release(Outcome::NotRun);
            return Err(refusal.with_run(self.run));
        }
        self.running = Some(Place { address, backend });
        self.before = self.run;
        if self.run == Run::NotRun {
            self.run = Run::Unknown;
        }
        Ok((address, slot))
    }

    /// Notes that the answer is whole.
    pub fn record_success(&mut self, slot: Slot) {
        self.run = Run::Ran;
        self.running = None;
        slot.release(Outcome::Complete);
        self.suspect.clear(&self.context);
    }

    /// Gives the slot of a failed attempt back and tells whether another may be made.
    ///
    /// # Errors
    /// The final answer.
    pub async fn record_failure(
        &mut self,
        failure: &AttemptError,
        address: SocketAddr,
        slot: Slot,
        tracker: &RequestTracker,
    ) -> Result<(), ErrorResponse> {
        self.running = None;
        tracker.add_step(format_compact!("attempt failed: {failure}"));
        let backend = slot.backend().to_owned();
        if is_crash(&self.context, failure, address).await {
            slot.release(Outcome::Crashed);
            tracker.add_step(format_compact!("backend server {backend} crashed"));
            self.avoid.push(backend.clone());
            return self
                .suspect
                .record_crash(&self.context, &backend, self.run)
                .await;
        }
        slot.release(outcome(failure));
        if matches!(failure, AttemptError::TimedOut | AttemptError::Lost(_)) {
            self.context.connections.close_idle(address);
        }
        if failure.is_not_run() {
            self.run = self.before;
        }
        if let AttemptError::ErrorStatus(status, body) = failure {
            self.run = Run::Ran;
            return Err(final_word(*status, body));
        }
        if failure.is_not_run() || matches!(failure, AttemptError::TimedOut) {
            self.avoid.push(backend);
        }
        self.allow(failure)?;
        self.back_off().await;
        Ok(())
    }

    /// Waits before every attempt but the second, ever longer.
    async fn back_off(&self) {
        let doublings = self.tries.saturating_sub(2).min(BACKOFF_DOUBLINGS);
        if self.tries < 2 {
            return;
        }
        let most = BACKOFF.saturating_mul(1 << doublings);
        let wait = rand::random_range(most / 2..most);
        compio::time::sleep(wait).await;
    }

    fn allow(&self, failure: &AttemptError) -> Result<(), ErrorResponse> {
        if self.tries >= self.context.settings.max_attempts {
            return Err(self.give_up("no backend server completed the answer"));
        }
        let is_free = failure.is_not_run() || self.is_suspect();
        if is_free
            || self
                .context
                .budget
                .try_withdraw(self.suspect.organisation.as_str())
        {
            return Ok(());
        }
        Err(self.give_up("the answer broke off and the retry budget is spent"))
    }

    fn give_up(&self, reason: &'static str) -> ErrorResponse {
        let remedy = "ask again after the time in retry-after";
        let (status, kind) = match self.run {
            Run::NotRun => (StatusCode::SERVICE_UNAVAILABLE, "declined"),
            Run::Ran | Run::Unknown => (StatusCode::BAD_GATEWAY, "broken"),
        };
        ErrorResponse::not_run(status, kind, reason, remedy)
            .with_run(self.run)
            .with_retry_after(self.context.settings.retry_after)
    }

    async fn ask(&mut self, base: Ask) -> Result<(SocketAddr, Slot), ErrorResponse> {
        let waited = self.arrived.elapsed().as_millis();
        let mut ask = Ask {
            organisation: self.suspect.organisation.to_string(),
            avoid: self.avoid.clone(),
            alone: self.suspect.is_suspect(),
            waited_ms: u32::try_from(waited).unwrap_or(u32::MAX),
            request: self.suspect.request.to_string(),
            fingerprint: self.suspect.short_fingerprint(),
            ..base
        };
        let mut outcome = None;
        if !self.avoid.is_empty() {
            let asking = self
                .context
                .schedulers
                .request_slot(&self.pool, ask.clone());
            let limit = self.context.settings.avoid_timeout;
            outcome = compio::time::timeout(limit, asking).await.ok();
        }
        let is_barred = |r: &v1::Refusal| r.reason() == Reason::NoBackend;
        let outcome = match outcome {
            Some(outcome) if !outcome.as_ref().is_err_and(is_barred) => outcome,
            _ => {
                // One that failed before is better than none; it may have come back.
                self.avoid.clear();
                ask.avoid.clear();
                self.context.schedulers.request_slot(&self.pool, ask).await
            }
        };
        let grant = outcome.map_err(|r| ErrorResponse::from_scheduler(&r).with_run(self.run))?;
        let address = grant.address.parse();
        let slot = Slot::new(self.context.schedulers.clone(), self.pool.clone(), grant);
        let Ok(address) = address else {
            slot.release(Outcome::NotRun);
            return Err(self.give_up("the backend server's address is malformed"));
        };
        Ok((address, slot))
    }
}

impl Drop for RetryState {
    /// Looks after a backend server whose work was cancelled: its crash may follow.
    fn drop(&mut self) {
        let Some(Place { address, backend }) = self.running.take() else {
            return;
        };
        let (context, mut suspect, run) = (self.context.clone(), self.suspect.clone(), self.run);
        self.context.background.spawn(async move {
            compio::time::sleep(AFTERMATH).await;
            let limit = context.settings.connect_timeout;
            if !connection::is_reachable(address, limit).await {
                // Its caller has gone, so nobody is left to hear the answer.
                let _ = suspect.record_crash(&context, &backend, run).await;
            }
        });
    }
}

/// Whether a broken connection means that the backend server itself is gone.
async fn is_crash(context: &Context, failure: &AttemptError, address: SocketAddr) -> bool {
    let limit: Duration = context.settings.connect_timeout;
    matches!(failure, AttemptError::Lost(_)) && !connection::is_reachable(address, limit).await
}

fn outcome(failure: &AttemptError) -> Outcome {
    match failure {
        AttemptError::Unreachable(_) | AttemptError::Declined => Outcome::NotRun,
        AttemptError::ErrorStatus(..) => Outcome::Complete,
        AttemptError::Lost(_) | AttemptError::TimedOut | AttemptError::Invalid(_) => {
            Outcome::Broken
        }
    }
}

fn final_word(status: StatusCode, body: &[u8]) -> ErrorResponse {
    let text = String::from_utf8_lossy(body);
    let message = format_compact!("the backend server refused the request: {text}");
    let remedy = "change the request as the words of the backend server say";
    ErrorResponse::not_run(status, "backend", message, remedy).with_run(Run::Ran)
}
