use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::format_compact;
use futures_util::future::{self, Either};
use http::StatusCode;
use jaylock_observe::RunStatus;
use jaylock_rpc::v1::end::Outcome;
use jaylock_rpc::v1::refusal::Reason;
use jaylock_rpc::v1::{self, Ask};
use jaylock_types::{PoolId, millis};

use crate::call::{self, Call};
use crate::connection::{self, Probe};
use crate::context::Context;
use crate::error::AttemptError;
use crate::lifecycle::RunPlan;
use crate::pinned::PinnedSoftware;
use crate::quarantine::{self, CrashTracker};
use crate::response::ErrorResponse;
use crate::slot::Slot;
use crate::tracker::RequestTracker;

/// Delay before a backend server whose work was cancelled is checked, as it may crash only later.
const CRASH_CHECK_DELAY: Duration = Duration::from_secs(1);
/// Longest delay before the third attempt; doubles with each later one.
const BASE_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum number of times that the backoff doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// State shared by the attempts of one request, which decides about retries.
pub struct RetryState {
    context: Rc<Context>,
    pool: PoolId,
    arrived_at: Instant,
    deadline: Instant,
    crash_tracker: CrashTracker,
    run_status: RunStatus,
    /// Run status before the current attempt, restored when that attempt did not run.
    previous_status: RunStatus,
    attempts: u32,
    avoid: Vec<String>,
    software: PinnedSoftware,
    /// Backend server of the current attempt, until the attempt succeeds or fails.
    running: Option<RunningAttempt>,
}

/// Backend server of an attempt that has not ended.
struct RunningAttempt {
    address: SocketAddr,
    backend: String,
}

impl RetryState {
    /// Creates the state before the first attempt and credits the retry budget.
    pub fn new(context: Rc<Context>, call: &Call, pool: PoolId) -> Self {
        context.budget.deposit(call.organisation.as_str());
        let crash_tracker = CrashTracker {
            fingerprint: call.fingerprint,
            organisation: call.organisation.clone(),
            request: call.request.clone(),
            crashes: 0,
        };
        Self {
            context,
            pool,
            arrived_at: call.arrived_at,
            deadline: call.deadline,
            crash_tracker,
            run_status: RunStatus::NotRun,
            previous_status: RunStatus::NotRun,
            attempts: 0,
            avoid: Vec::new(),
            software: PinnedSoftware::default(),
            running: None,
        }
    }

    /// Whether the request ran, as far as is known.
    pub fn run_status(&self) -> RunStatus {
        self.run_status
    }

    /// Records that a part of the response arrived, so the request ran.
    pub fn mark_ran(&mut self) {
        self.run_status = RunStatus::Ran;
    }

    /// Lets the response go on only at this version of the backend servers' software.
    pub fn pin_software(&mut self, software: &str) {
        self.software.pin(software);
    }

    /// Whether the request is suspected of crashing backend servers.
    pub fn is_suspect(&self) -> bool {
        self.crash_tracker.is_suspect()
    }

    /// Waits for a slot for the next attempt.
    ///
    /// Once a slot is granted, the request counts as possibly run.
    pub async fn acquire_slot(
        &mut self,
        ask: Ask,
        tracker: &mut RequestTracker,
    ) -> Result<(SocketAddr, Slot), ErrorResponse> {
        let started = Instant::now();
        if self.attempts > 0 {
            self.crash_tracker
                .wait_for_isolated_run(&self.context)
                .await;
        }
        let outcome = self.request_slot_unless_stopping(ask).await;
        tracker.record.wait_time += started.elapsed();
        let (address, slot) = outcome?;
        self.attempts += 1;
        let (attempts, backend) = (self.attempts, slot.backend().to_owned());
        tracker.record.attempts = attempts;
        tracker.record_step(format_compact!("attempt {attempts} at {backend}"));
        let crash_tracker = &self.crash_tracker;
        let checked = quarantine::check(
            &self.context,
            &crash_tracker.fingerprint,
            &crash_tracker.request,
        );
        if let Err(error) = checked {
            slot.release(Outcome::NotRun);
            return Err(error.with_run_status(self.run_status));
        }
        self.running = Some(RunningAttempt { address, backend });
        self.previous_status = self.run_status;
        if self.run_status == RunStatus::NotRun {
            self.run_status = RunStatus::Unknown;
        }
        Ok((address, slot))
    }

    /// Records a complete response and releases the slot.
    pub fn record_success(&mut self, slot: Slot) {
        self.run_status = RunStatus::Ran;
        self.running = None;
        slot.release(Outcome::Complete);
        self.crash_tracker.clear(&self.context);
    }

    /// Releases the slot of a failed attempt and waits until the next attempt may start.
    ///
    /// # Errors
    /// The final response when no other attempt may be made.
    pub async fn record_failure(
        &mut self,
        error: &AttemptError,
        address: SocketAddr,
        slot: Slot,
        tracker: &RequestTracker,
    ) -> Result<(), ErrorResponse> {
        tracker.record_step(format_compact!("attempt failed: {error}"));
        let backend = slot.backend().to_owned();
        let has_crashed = is_crash(&self.context, error, address).await;
        // Only now, as a caller who leaves meanwhile doesn't undo the crash.
        self.running = None;
        tracker.record_failure(error);
        if error.is_broken_answer() {
            self.log_broken(error, &backend, has_crashed);
        }
        if has_crashed {
            slot.release(Outcome::Crashed);
            tracker.record_step(format_compact!("backend server {backend} crashed"));
            self.avoid.push(backend.clone());
            return self
                .crash_tracker
                .record_crash(&self.context, &backend, self.run_status)
                .await;
        }
        if matches!(error, AttemptError::Unreachable(_)) {
            slot.release_unreached();
        } else {
            slot.release(outcome(error));
        }
        if matches!(error, AttemptError::TimedOut | AttemptError::Lost(_)) {
            self.context.connections.close_idle(address);
        }
        if error.is_not_run() {
            self.run_status = self.previous_status;
        }
        if let AttemptError::ErrorStatus(status, body) = error {
            self.run_status = RunStatus::Ran;
            return Err(rejected_by_backend(*status, body));
        }
        if error.is_not_run() || matches!(error, AttemptError::TimedOut) {
            self.avoid.push(backend);
        }
        self.check_retry(error)?;
        self.back_off().await;
        Ok(())
    }

    /// Logs an answer that broke off or was none, so that crashes of equal requests can be put in order.
    fn log_broken(&self, error: &AttemptError, backend: &str, has_crashed: bool) {
        log::info!(
            target: "router",
            request = self.crash_tracker.request.as_str(), backend = backend,
            fingerprint = self.crash_tracker.short_fingerprint(), attempt = self.attempts,
            alone = self.is_suspect(), crashed = has_crashed;
            "an attempt broke off: {error}"
        );
    }

    /// Waits with exponential backoff and jitter; the second attempt starts at once.
    async fn back_off(&self) {
        let doublings = self.attempts.saturating_sub(2).min(MAX_BACKOFF_DOUBLINGS);
        if self.attempts < 2 {
            return;
        }
        let max = BASE_BACKOFF.saturating_mul(1 << doublings);
        let delay = rand::random_range(max / 2..max);
        compio::time::sleep(delay).await;
    }

    /// Checks that the attempt limit and the retry budget allow another attempt.
    ///
    /// Attempts that did not run and isolated runs cost no budget.
    fn check_retry(&self, error: &AttemptError) -> Result<(), ErrorResponse> {
        if self.attempts >= self.context.settings.max_attempts {
            return Err(self.give_up("no backend server completed the answer"));
        }
        let is_free = error.is_not_run() || self.is_suspect();
        if is_free
            || self
                .context
                .budget
                .try_withdraw(self.crash_tracker.organisation.as_str())
        {
            return Ok(());
        }
        Err(self.give_up("the answer broke off and the retry budget is spent"))
    }

    fn give_up(&self, reason: &'static str) -> ErrorResponse {
        let remedy = "ask again after the time in retry-after";
        let (status, kind) = match self.run_status {
            RunStatus::NotRun => (StatusCode::SERVICE_UNAVAILABLE, "declined"),
            RunStatus::Ran | RunStatus::Unknown => (StatusCode::BAD_GATEWAY, "broken"),
        };
        ErrorResponse::new(status, kind, reason, remedy)
            .with_run_status(self.run_status)
            .with_retry_after(self.context.settings.retry_after)
    }

    /// Requests a slot; a request that has not run is refused when the instance stops too soon for it.
    async fn request_slot_unless_stopping(
        &mut self,
        ask: Ask,
    ) -> Result<(SocketAddr, Slot), ErrorResponse> {
        if self.run_status != RunStatus::NotRun {
            return self.request_slot_unless_quarantined(ask).await;
        }
        let context = self.context.clone();
        let plan = RunPlan {
            deadline: self.deadline,
            needed: None,
        };
        let waiting = self.request_slot_unless_quarantined(ask);
        let outcome = context.lifecycle.wait_to_start(plan, waiting).await;
        outcome.unwrap_or_else(|| Err(call::leaving(&context)))
    }

    /// Requests a slot, and gives up when the request gets into quarantine while it waits.
    async fn request_slot_unless_quarantined(
        &mut self,
        ask: Ask,
    ) -> Result<(SocketAddr, Slot), ErrorResponse> {
        let (context, run_status) = (self.context.clone(), self.run_status);
        let fingerprint = self.crash_tracker.fingerprint;
        let quarantined = pin!(quarantine::wait_until_quarantined(&context, &fingerprint));
        let granted = Box::pin(self.request_slot(ask));
        match future::select(granted, quarantined).await {
            Either::Left((outcome, _)) => outcome,
            Either::Right((error, _)) => Err(error.with_run_status(run_status)),
        }
    }

    /// Requests a slot; backend servers that failed are avoided for at most `avoid_timeout`.
    async fn request_slot(&mut self, base: Ask) -> Result<(SocketAddr, Slot), ErrorResponse> {
        let mut ask = Ask {
            organisation: self.crash_tracker.organisation.to_string(),
            avoid: self.avoid.clone(),
            software: self.software.required(),
            alone: self.crash_tracker.is_suspect(),
            waited_ms: millis(self.arrived_at.elapsed()),
            request: self.crash_tracker.request.to_string(),
            fingerprint: self.crash_tracker.short_fingerprint(),
            ..base
        };
        let mut outcome = None;
        if !self.avoid.is_empty() {
            let waiting = self
                .context
                .schedulers
                .request_slot(&self.pool, ask.clone());
            let timeout = self.context.settings.avoid_timeout;
            outcome = compio::time::timeout(timeout, waiting).await.ok();
        }
        let has_no_backend = |r: &v1::Refusal| r.reason() == Reason::NoBackend;
        let outcome = match outcome {
            Some(outcome) if !outcome.as_ref().is_err_and(has_no_backend) => outcome,
            _ => {
                // No other backend server is free, and one that failed may have recovered.
                self.avoid.clear();
                ask.avoid.clear();
                self.context.schedulers.request_slot(&self.pool, ask).await
            }
        };
        let grant = outcome
            .map_err(|r| ErrorResponse::from_scheduler(&r).with_run_status(self.run_status))?;
        let address = grant.address.parse();
        let (schedulers, checks) = (
            self.context.schedulers.clone(),
            self.context.crash_checks.clone(),
        );
        let slot = Slot::new(schedulers, checks, self.pool.clone(), grant);
        let Ok(address) = address else {
            slot.release(Outcome::NotRun);
            return Err(self.give_up("the backend server's address is malformed"));
        };
        Ok((address, slot))
    }
}

impl Drop for RetryState {
    /// Checks later whether the cancelled work crashed the backend server.
    fn drop(&mut self) {
        let Some(RunningAttempt { address, backend }) = self.running.take() else {
            return;
        };
        let (context, mut crash_tracker, run_status) = (
            self.context.clone(),
            self.crash_tracker.clone(),
            self.run_status,
        );
        self.context.background.spawn(async move {
            compio::time::sleep(CRASH_CHECK_DELAY).await;
            let timeout = context.settings.connect_timeout;
            if connection::probe(address, timeout).await != Probe::Accepted {
                // The caller has disconnected, so the final response has no receiver.
                let _ = crash_tracker
                    .record_crash(&context, &backend, run_status)
                    .await;
            }
        });
    }
}

/// Whether the connection was lost because the backend server itself crashed.
async fn is_crash(context: &Context, error: &AttemptError, address: SocketAddr) -> bool {
    let timeout: Duration = context.settings.connect_timeout;
    matches!(error, AttemptError::Lost(_))
        && connection::probe(address, timeout).await != Probe::Accepted
}

fn outcome(error: &AttemptError) -> Outcome {
    match error {
        AttemptError::ErrorStatus(..) => Outcome::Complete,
        error if error.is_not_run() => Outcome::NotRun,
        _ => Outcome::Broken,
    }
}

fn rejected_by_backend(status: StatusCode, body: &[u8]) -> ErrorResponse {
    let text = String::from_utf8_lossy(body);
    let message = format_compact!("the backend server refused the request: {text}");
    let remedy = "change the request as the words of the backend server say";
    ErrorResponse::new(status, "backend", message, remedy).with_run_status(RunStatus::Ran)
}
