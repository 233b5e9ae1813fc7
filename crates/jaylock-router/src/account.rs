use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use http::StatusCode;
use jaylock_observe::{Observer, RequestKind, RequestRecord, RunStatus};
use jaylock_types::{OrganisationId, PoolId, RequestId, Tokens};

use crate::answer::Refusal;

/// Status in the record of a request whose caller hung up.
const HUNG_UP: u16 = 499;

/// Counts a request while it is in progress and reports it when dropped.
pub struct Account {
    /// What is known so far.
    pub record: RequestRecord,
    observer: Observer,
    arrived: Instant,
    _busy: Rc<()>,
}

impl Account {
    /// Opens the account of a request.
    pub fn new(
        observer: Observer,
        busy: Rc<()>,
        request: &RequestId,
        organisation: &OrganisationId,
        arrived: Instant,
        (pool, kind): (PoolId, RequestKind),
    ) -> Self {
        let record = RequestRecord {
            request: request.clone(),
            organisation: organisation.clone(),
            pool,
            kind,
            status: HUNG_UP,
            run: RunStatus::NotRun,
            reason: "hung-up",
            is_complete: false,
            tokens: Tokens(0),
            admission_time: Duration::ZERO,
            wait_time: Duration::ZERO,
            head_time: None,
            first_token_time: None,
            total_time: Duration::ZERO,
            attempts: 0,
        };
        Self {
            record,
            observer,
            arrived,
            _busy: busy,
        }
    }

    /// Notes a step, for explaining the request later.
    pub fn step(&self, text: impl Into<CompactString>) {
        self.observer.record_step(&self.record.request, text);
    }

    /// Notes the first token or byte.
    pub fn first(&mut self) {
        let since = self.arrived.elapsed();
        self.record.first_token_time.get_or_insert(since);
    }

    /// Notes the status of the answer and whether the request ran.
    pub fn answered(&mut self, status: StatusCode, run: RunStatus) {
        self.record.status = status.as_u16();
        self.record.run = run;
        self.record.reason = "";
    }

    /// Notes that the request was refused or given up.
    pub fn refused(&mut self, refusal: &Refusal) {
        self.answered(refusal.status, refusal.run);
        self.record.reason = refusal.kind;
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        self.record.total_time = self.arrived.elapsed();
        self.observer.record_request(&self.record);
    }
}
