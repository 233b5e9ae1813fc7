use compact_str::CompactString;
use futures_util::future::LocalBoxFuture;
use jaylock_rpc::v1::{
    Applied, Ask, BackendReport, BackendVerdict, Command, End, Grant, Progress, Refusal,
};
use jaylock_types::PoolId;
use thiserror::Error;

/// Port to the schedulers of the pools.
pub trait Schedulers {
    /// Waits for a slot; dropping the future takes the request out of the queue.
    ///
    /// The grant's ticket names the run from then on.
    ///
    /// # Errors
    /// The scheduler's refusal; nothing was run.
    fn request_slot<'a>(
        &'a self,
        pool: &'a PoolId,
        ask: Ask,
    ) -> LocalBoxFuture<'a, Result<Grant, Refusal>>;

    /// Tells how many tokens a run has generated.
    fn report_progress(&self, pool: &PoolId, progress: Progress);

    /// Gives a slot back.
    fn release_slot(&self, pool: &PoolId, end: End);

    /// Passes on what a backend server said of itself.
    fn report_backend(&self, report: BackendReport);

    /// What the scheduler last said about a backend server.
    fn backend_verdict(&self, backend: &str) -> Option<BackendVerdict>;
}

/// Port to the replicated log, for claims and quarantine.
pub trait CommandLog {
    /// Commits a command.
    ///
    /// # Errors
    /// The command may or may not be committed later.
    fn propose(&self, command: Command) -> LocalBoxFuture<'_, Result<Applied, ProposeError>>;
}

/// A command that control did not confirm in time.
#[derive(Debug, Clone, Error)]
#[error("control does not answer, ask again later: {0}")]
pub struct ProposeError(pub CompactString);
