use std::rc::Rc;
use std::time::{Duration, Instant};

use jaylock_rpc::v1::end::Outcome;
use jaylock_rpc::v1::{End, Grant, Progress};
use jaylock_types::{Notice, PROVEN_AFTER, PoolId, millis};

use crate::crash_check::{CrashChecks, EndedRun};
use crate::port::Schedulers;

/// Service between two progress reports, in tokens.
const PROGRESS_TOKENS: u64 = 8;

/// A slot at a backend server, released as cancelled on drop unless [`Slot::release`] is called.
pub struct Slot {
    schedulers: Rc<dyn Schedulers>,
    checks: Rc<CrashChecks>,
    pool: PoolId,
    grant: Grant,
    started: Instant,
    first_token: Option<Duration>,
    tokens: u64,
    reported_tokens: u64,
    outcome: Outcome,
    is_unreached: bool,
    is_answered: bool,
}

impl Slot {
    /// Wraps a slot that a scheduler granted.
    pub fn new(
        schedulers: Rc<dyn Schedulers>,
        checks: Rc<CrashChecks>,
        pool: PoolId,
        grant: Grant,
    ) -> Self {
        Self {
            schedulers,
            checks,
            pool,
            grant,
            started: Instant::now(),
            first_token: None,
            tokens: 0,
            reported_tokens: 0,
            outcome: Outcome::Cancelled,
            is_unreached: false,
            is_answered: false,
        }
    }

    /// The backend server's identifier.
    pub fn backend(&self) -> &str {
        &self.grant.backend
    }

    /// Version of the backend server's software.
    pub fn software(&self) -> &str {
        &self.grant.software
    }

    /// Reports what the backend server tells in a response.
    pub fn record_notice(&self, notice: &Notice) {
        let incarnation = self.grant.incarnation;
        self.schedulers
            .report_notice(&self.pool, self.backend(), incarnation, notice);
    }

    /// Whether nothing may be sent to the backend server any more, as was decided or told since the grant.
    pub fn is_excluded(&self) -> bool {
        self.schedulers.is_excluded(&self.pool, &self.grant)
    }

    /// Sets the service of this attempt so far, in tokens, and reports progress.
    pub fn record_tokens(&mut self, tokens: u64) {
        self.is_answered = true;
        self.first_token.get_or_insert(self.started.elapsed());
        self.tokens = tokens.max(self.tokens);
        let is_first = self.reported_tokens == 0;
        if is_first || self.tokens >= self.reported_tokens + PROGRESS_TOKENS {
            self.reported_tokens = self.tokens;
            let progress = Progress {
                ticket: self.grant.ticket,
                tokens: self.tokens,
            };
            self.schedulers.report_progress(&self.pool, progress);
        }
    }

    /// Records that the backend server answered with success.
    pub fn mark_answered(&mut self) {
        self.is_answered = true;
    }

    /// Releases the slot with the attempt's outcome.
    pub fn release(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    /// Whether the run was given up before it showed that it crashes nothing, so that it may yet crash its backend server.
    fn may_crash(&self) -> bool {
        let is_given_up = matches!(self.outcome, Outcome::Cancelled | Outcome::Broken);
        let is_recent = |first: Duration| self.started.elapsed() < first + PROVEN_AFTER;
        is_given_up && self.first_token.map_or(!self.is_answered, is_recent)
    }

    /// Releases the slot because no connection to the backend server could be opened.
    pub fn release_unreached(mut self) {
        self.outcome = Outcome::NotRun;
        self.is_unreached = true;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let took = if self.tokens == 0 {
            self.started.elapsed()
        } else {
            Duration::ZERO
        };
        let mut end = End {
            ticket: self.grant.ticket,
            tokens: self.tokens,
            first_token_ms: millis(self.first_token.unwrap_or_default()),
            unreached: self.is_unreached,
            answered: self.is_answered,
            took_us: u32::try_from(took.as_micros()).unwrap_or(u32::MAX),
            ..End::default()
        };
        end.set_outcome(self.outcome);
        self.schedulers.release_slot(&self.pool, end);
        if let Some(address) = self.grant.address.parse().ok().filter(|_| self.may_crash()) {
            self.checks.add(EndedRun {
                schedulers: self.schedulers.clone(),
                pool: self.pool.clone(),
                ticket: self.grant.ticket,
                address,
                ended_at: Instant::now(),
            });
        }
    }
}
