use futures_util::future::LocalBoxFuture;
use jaylock_rpc::v1::CrashCause;

/// Port to the replicated log, in which schedulers record what crashes backend servers.
pub trait CauseLog {
    /// Records a cause, or removes it; one that is not confirmed is recorded again later.
    fn put(&self, cause: CrashCause) -> LocalBoxFuture<'static, ()>;
}
