use std::time::Duration;

use compact_str::CompactString;
use futures_util::future::LocalBoxFuture;
use jaylock_rpc::v1::{
    Applied, Ask, BackendReport, BackendVerdict, Command, End, Grant, Progress, Refusal,
};
use jaylock_types::{HedgePlan, Notice, PoolId};
use thiserror::Error;

/// Port to the schedulers of the pools.
pub trait Schedulers {
    /// Waits for a slot; dropping the future removes the request from the queue.
    ///
    /// The grant's ticket identifies the run in all later calls.
    ///
    /// # Errors
    /// The scheduler's refusal, after which the request did not run.
    fn request_slot<'a>(
        &'a self,
        pool: &'a PoolId,
        ask: Ask,
    ) -> LocalBoxFuture<'a, Result<Grant, Refusal>>;

    /// Reports how many tokens a run has generated.
    fn report_progress(&self, pool: &PoolId, progress: Progress);

    /// Releases a slot.
    fn release_slot(&self, pool: &PoolId, end: End);

    /// Reports that a backend server crashed after the slot of a run there was released.
    fn report_crash(&self, pool: &PoolId, ticket: u64);

    /// Reports what a start of a backend server tells in a response.
    fn report_notice(&self, pool: &PoolId, backend: &str, incarnation: u64, notice: &Notice);

    /// Reports how long a response of a route took whose requests may be hedged, at most `hedge_percent` of them.
    fn report_response(&self, pool: &PoolId, route: &str, hedge_percent: u32, time: Duration);

    /// When a request of a route is hedged, by the responses of all routers; `None` if that is not known.
    fn hedge_plan(&self, pool: &PoolId, route: &str) -> Option<HedgePlan>;

    /// Whether nothing may be sent under a grant any more: the backend server told this router so in a response, or an
    /// operator has evacuated its failure domain.
    fn is_excluded(&self, pool: &PoolId, grant: &Grant) -> bool;

    /// Forwards a backend server's report to the schedulers.
    fn report_backend(&self, report: BackendReport);

    /// Returns the scheduler's last verdict on a backend server.
    fn backend_verdict(&self, backend: &str) -> Option<BackendVerdict>;
}

/// Port to the replicated log, for claims and quarantine.
pub trait CommandLog {
    /// Commits a command.
    ///
    /// # Errors
    /// The commit was not confirmed, and the command may still be committed later.
    fn propose(&self, command: Command) -> LocalBoxFuture<'_, Result<Applied, ProposeError>>;
}

/// Error for a command that control did not confirm in time.
#[derive(Debug, Clone, Error)]
#[error("control did not confirm the command in time: {0}")]
pub struct ProposeError(pub CompactString);
