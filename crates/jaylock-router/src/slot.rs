use std::rc::Rc;
use std::time::{Duration, Instant};

use jaylock_rpc::v1::end::Outcome;
use jaylock_rpc::v1::{End, Grant, Progress};
use jaylock_types::PoolId;

use crate::port::Schedulers;

/// Tokens between two reports of progress.
const PROGRESS_STEP: u64 = 8;

/// A slot at a backend server; it is given back as cancelled when it is dropped.
pub struct Slot {
    schedulers: Rc<dyn Schedulers>,
    pool: PoolId,
    grant: Grant,
    started: Instant,
    first: Option<Duration>,
    tokens: u64,
    reported: u64,
    outcome: Outcome,
}

impl Slot {
    /// Takes the slot that a scheduler granted.
    pub fn new(schedulers: Rc<dyn Schedulers>, pool: PoolId, grant: Grant) -> Self {
        Self {
            schedulers,
            pool,
            grant,
            started: Instant::now(),
            first: None,
            tokens: 0,
            reported: 0,
            outcome: Outcome::Cancelled,
        }
    }

    /// The backend server's identifier.
    pub fn backend(&self) -> &str {
        &self.grant.backend
    }

    /// Counts tokens, as a total of this run.
    pub fn record_tokens(&mut self, tokens: u64) {
        self.first.get_or_insert(self.started.elapsed());
        self.tokens = tokens.max(self.tokens);
        if self.tokens >= self.reported + PROGRESS_STEP {
            self.reported = self.tokens;
            let progress = Progress {
                ticket: self.grant.ticket,
                tokens: self.tokens,
            };
            self.schedulers.report_progress(&self.pool, progress);
        }
    }

    /// Gives the slot back.
    pub fn release(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let first = self.first.unwrap_or_default().as_millis();
        let mut end = End {
            ticket: self.grant.ticket,
            tokens: self.tokens,
            first_token_ms: u32::try_from(first).unwrap_or(u32::MAX),
            ..End::default()
        };
        end.set_outcome(self.outcome);
        self.schedulers.release_slot(&self.pool, end);
    }
}
