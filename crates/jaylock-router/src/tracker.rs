use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use http::StatusCode;
use jaylock_observe::{Observer, RequestKind, RequestRecord, RunStatus};
use jaylock_types::{OrganisationId, PoolId, RequestId, Tokens};

use crate::error::AttemptError;
use crate::lifecycle::Lifecycle;
use crate::response::ErrorResponse;

/// Status recorded for a request whose caller disconnected.
const CALLER_DISCONNECTED_STATUS: u16 = 499;
/// Reason recorded for a request whose caller disconnected.
const CALLER_DISCONNECTED: &str = "hung-up";
/// Reason recorded for a request that was cancelled because the instance stops.
const STOPPED: &str = "stopped";

/// Tracks a request in progress and reports it to the observer on drop.
pub struct RequestTracker {
    /// Record of the request so far.
    pub record: RequestRecord,
    observer: Observer,
    arrived_at: Instant,
    lifecycle: Rc<Lifecycle>,
    _request_token: Rc<()>,
}

impl RequestTracker {
    /// Starts tracking a request.
    pub fn new(
        observer: Observer,
        lifecycle: Rc<Lifecycle>,
        request: &RequestId,
        organisation: &OrganisationId,
        arrived_at: Instant,
        (pool, kind): (PoolId, RequestKind),
    ) -> Self {
        let record = RequestRecord {
            request: request.clone(),
            organisation: organisation.clone(),
            pool,
            kind,
            status: CALLER_DISCONNECTED_STATUS,
            run: RunStatus::NotRun,
            reason: CALLER_DISCONNECTED,
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
            arrived_at,
            _request_token: lifecycle.request_token(),
            lifecycle,
        }
    }

    /// Adds a step to the trace of the request.
    pub fn record_step(&self, text: impl Into<CompactString>) {
        self.observer.record_step(&self.record.request, text);
    }

    /// Counts a failed attempt whose answer broke off or was none.
    pub fn record_failure(&self, error: &AttemptError) {
        if error.is_broken_answer() {
            self.observer.record_broken_answer(self.record.kind);
        }
    }

    /// Records the time of the first token or byte.
    pub fn record_first_token(&mut self) {
        let elapsed = self.arrived_at.elapsed();
        self.record.first_token_time.get_or_insert(elapsed);
    }

    /// Records the status of the response and whether the request ran.
    pub fn record_response(&mut self, status: StatusCode, run_status: RunStatus) {
        self.record.status = status.as_u16();
        self.record.run = run_status;
        self.record.reason = "";
    }

    /// Records that the request ended with an error.
    pub fn record_error(&mut self, error: &ErrorResponse) {
        self.record_response(error.status, error.run_status);
        self.record.reason = error.kind;
    }

    /// Records why a request ended without a response of its own, and whether it may have run.
    fn record_cancellation(&mut self) {
        if self.lifecycle.cancelled.is_set() {
            self.record.status = StatusCode::BAD_GATEWAY.as_u16();
            self.record.reason = STOPPED;
        }
        if self.record.attempts > 0 && self.record.run == RunStatus::NotRun {
            self.record.run = RunStatus::Unknown;
        }
    }
}

impl Drop for RequestTracker {
    fn drop(&mut self) {
        if self.record.reason == CALLER_DISCONNECTED {
            self.record_cancellation();
        }
        self.record.total_time = self.arrived_at.elapsed();
        self.observer.record_request(&self.record);
    }
}
