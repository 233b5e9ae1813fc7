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

use crate::account::Account;
use crate::answer::Refusal;
use crate::call::Call;
use crate::connection;
use crate::context::Context;
use crate::failure::Failure;
use crate::quarantine::{self, Suspect};
use crate::slot::Slot;

/// Time in which a backend server may still crash under work that was cancelled.
const AFTERMATH: Duration = Duration::from_secs(1);
/// Longest wait before the third attempt.
const BACKOFF: Duration = Duration::from_millis(50);
/// Times that the wait doubles at most.
const BACKOFF_DOUBLINGS: u32 = 4;

/// What the attempts of one request share: slots, run state, budget and suspicion.
pub struct Retry {
    shared: Rc<Context>,
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

impl Retry {
    /// Prepares the first attempt.
    pub fn new(shared: Rc<Context>, call: &Call, pool: PoolId) -> Self {
        shared.budget.deposit(call.organisation.as_str());
        let suspect = Suspect {
            fingerprint: call.fingerprint,
            organisation: call.organisation.clone(),
            request: call.request.clone(),
            crashes: 0,
        };
        Self {
            shared,
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
    pub fn ran(&mut self) {
        self.run = Run::Ran;
    }

    /// Whether its run decides if it crashes backend servers.
    pub fn is_on_trial(&self) -> bool {
        self.suspect.is_on_trial()
    }

    /// Waits for a slot; from then on bytes may have left.
    pub async fn slot(
        &mut self,
        ask: Ask,
        account: &mut Account,
    ) -> Result<(SocketAddr, Slot), Refusal> {
        let asked = Instant::now();
        if self.tries > 0 {
            self.suspect.await_trial(&self.shared).await;
        }
        let outcome = self.ask(ask).await;
        account.record.waited += asked.elapsed();
        let (address, slot) = outcome?;
        self.tries += 1;
        let (tries, backend) = (self.tries, slot.backend().to_owned());
        account.record.attempts = tries;
        account.step(format_compact!("attempt {tries} at {backend}"));
        let suspect = &self.suspect;
        let checked = quarantine::check(&self.shared, &suspect.fingerprint, &suspect.request);
        if let Err(refusal) = checked {
            slot.close(Outcome::NotRun);
            return Err(refusal.ran(self.run));
        }
        self.running = Some(Place { address, backend });
        self.before = self.run;
        if self.run == Run::NotRun {
            self.run = Run::Unknown;
        }
        Ok((address, slot))
    }

    /// Notes that the answer is whole.
    pub fn succeeded(&mut self, slot: Slot) {
        self.run = Run::Ran;
        self.running = None;
        slot.close(Outcome::Complete);
        self.suspect.clear(&self.shared);
    }

    /// Gives the slot of a failed attempt back and tells whether another may be made.
    ///
    /// # Errors
    /// The final answer.
    pub async fn failed(
        &mut self,
        failure: &Failure,
        address: SocketAddr,
        slot: Slot,
        account: &Account,
    ) -> Result<(), Refusal> {
        self.running = None;
        account.step(format_compact!("attempt failed: {failure}"));
        let backend = slot.backend().to_owned();
        if is_crash(&self.shared, failure, address).await {
            slot.close(Outcome::Crashed);
            account.step(format_compact!("backend server {backend} crashed"));
            self.avoid.push(backend.clone());
            return self.suspect.crashed(&self.shared, &backend, self.run).await;
        }
        slot.close(outcome(failure));
        if matches!(failure, Failure::Silent | Failure::Broken(_)) {
            self.shared.links.forget(address);
        }
        if failure.is_not_run() {
            self.run = self.before;
        }
        if let Failure::Final(status, body) = failure {
            self.run = Run::Ran;
            return Err(final_word(*status, body));
        }
        if failure.is_not_run() || matches!(failure, Failure::Silent) {
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

    fn allow(&self, failure: &Failure) -> Result<(), Refusal> {
        if self.tries >= self.shared.settings.max_attempts {
            return Err(self.gave_up("no backend server completed the answer"));
        }
        let is_free = failure.is_not_run() || self.is_on_trial();
        if is_free
            || self
                .shared
                .budget
                .try_withdraw(self.suspect.organisation.as_str())
        {
            return Ok(());
        }
        Err(self.gave_up("the answer broke off and the retry budget is spent"))
    }

    fn gave_up(&self, reason: &'static str) -> Refusal {
        let remedy = "ask again after the time in retry-after";
        let (status, kind) = match self.run {
            Run::NotRun => (StatusCode::SERVICE_UNAVAILABLE, "declined"),
            Run::Ran | Run::Unknown => (StatusCode::BAD_GATEWAY, "broken"),
        };
        Refusal::not_run(status, kind, reason, remedy)
            .ran(self.run)
            .after(self.shared.settings.retry_after)
    }

    async fn ask(&mut self, base: Ask) -> Result<(SocketAddr, Slot), Refusal> {
        let waited = self.arrived.elapsed().as_millis();
        let mut ask = Ask {
            organisation: self.suspect.organisation.to_string(),
            avoid: self.avoid.clone(),
            alone: self.suspect.is_on_trial(),
            waited_ms: u32::try_from(waited).unwrap_or(u32::MAX),
            request: self.suspect.request.to_string(),
            fingerprint: self.suspect.short_fingerprint(),
            ..base
        };
        let mut outcome = None;
        if !self.avoid.is_empty() {
            let asking = self.shared.schedulers.request_slot(&self.pool, ask.clone());
            let limit = self.shared.settings.avoid_timeout;
            outcome = compio::time::timeout(limit, asking).await.ok();
        }
        let is_barred = |r: &v1::Refusal| r.reason() == Reason::NoBackend;
        let outcome = match outcome {
            Some(outcome) if !outcome.as_ref().is_err_and(is_barred) => outcome,
            _ => {
                // One that failed before is better than none; it may have come back.
                self.avoid.clear();
                ask.avoid.clear();
                self.shared.schedulers.request_slot(&self.pool, ask).await
            }
        };
        let grant = outcome.map_err(|r| Refusal::of_capacity(&r).ran(self.run))?;
        let address = grant.address.parse();
        let slot = Slot::new(self.shared.schedulers.clone(), self.pool.clone(), grant);
        let Ok(address) = address else {
            slot.close(Outcome::NotRun);
            return Err(self.gave_up("the backend server's address is malformed"));
        };
        Ok((address, slot))
    }
}

impl Drop for Retry {
    /// Looks after a backend server whose work was cancelled: its crash may follow.
    fn drop(&mut self) {
        let Some(Place { address, backend }) = self.running.take() else {
            return;
        };
        let (shared, mut suspect, run) = (self.shared.clone(), self.suspect.clone(), self.run);
        self.shared.background.leave(async move {
            compio::time::sleep(AFTERMATH).await;
            let limit = shared.settings.connect_timeout;
            if !connection::is_reachable(address, limit).await {
                // Its caller has gone, so nobody is left to hear the answer.
                let _ = suspect.crashed(&shared, &backend, run).await;
            }
        });
    }
}

/// Whether a broken connection means that the backend server itself is gone.
async fn is_crash(shared: &Context, failure: &Failure, address: SocketAddr) -> bool {
    let limit: Duration = shared.settings.connect_timeout;
    matches!(failure, Failure::Broken(_)) && !connection::is_reachable(address, limit).await
}

fn outcome(failure: &Failure) -> Outcome {
    match failure {
        Failure::Unreachable(_) | Failure::Declined => Outcome::NotRun,
        Failure::Final(..) => Outcome::Complete,
        Failure::Broken(_) | Failure::Silent | Failure::Faulty(_) => Outcome::Broken,
    }
}

fn final_word(status: StatusCode, body: &[u8]) -> Refusal {
    let text = String::from_utf8_lossy(body);
    let message = format_compact!("the backend server refused the request: {text}");
    let remedy = "change the request as the words of the backend server say";
    Refusal::not_run(status, "backend", message, remedy).ran(Run::Ran)
}
