use std::time::Duration;

use compact_str::ToCompactString;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use jaylock_control::{ConfigView, ControlClient, InstanceLease};
use jaylock_orders::{OrderError, OrderLog, PoolBackends};
use jaylock_router::{CommandLog, ProposeError, Schedulers, new_command};
use jaylock_rpc::Channel;
use jaylock_rpc::v1::command::Body;
use jaylock_rpc::v1::pool_client::PoolClient;
use jaylock_rpc::v1::{
    Applied, Ask, BackendReport, BackendState, BackendVerdict, Command, CrashCause,
    DescribeRequest, End, Grant, Progress, Refusal,
};
use jaylock_share::{CauseLog, SchedulerClient};
use jaylock_types::{HedgePlan, Incarnation, InstanceId, Notice, PoolId};

/// The router's port to the schedulers, through their client.
#[derive(Clone)]
pub struct SchedulerPort(pub SchedulerClient);

impl Schedulers for SchedulerPort {
    fn request_slot<'a>(
        &'a self,
        pool: &'a PoolId,
        ask: Ask,
    ) -> LocalBoxFuture<'a, Result<Grant, Refusal>> {
        self.0.request_slot(pool, ask).boxed_local()
    }

    fn report_progress(&self, pool: &PoolId, progress: Progress) {
        self.0.report_progress(pool, progress);
    }

    fn release_slot(&self, pool: &PoolId, end: End) {
        self.0.release_slot(pool, end);
    }

    fn report_crash(&self, pool: &PoolId, ticket: u64) {
        self.0.report_crash(pool, ticket);
    }

    fn report_notice(&self, pool: &PoolId, backend: &str, incarnation: u64, notice: &Notice) {
        self.0.report_notice(pool, backend, incarnation, notice);
    }

    fn report_response(&self, pool: &PoolId, route: &str, hedge_percent: u32, time: Duration) {
        self.0.report_response(pool, route, hedge_percent, time);
    }

    fn hedge_plan(&self, pool: &PoolId, route: &str) -> Option<HedgePlan> {
        self.0.hedge_plan(pool, route)
    }

    fn is_excluded(&self, pool: &PoolId, grant: &Grant) -> bool {
        self.0.is_excluded(pool, grant)
    }

    fn report_backend(&self, report: BackendReport) {
        self.0.report_backend(report);
    }

    fn backend_verdict(&self, backend: &str) -> Option<BackendVerdict> {
        self.0.backend_verdict(backend)
    }
}

/// Client of the replicated log, as the router and the order reconciler use it.
#[derive(Clone)]
pub struct ControlLog(pub ControlClient);

impl CommandLog for ControlLog {
    fn propose(&self, command: Command) -> LocalBoxFuture<'_, Result<Applied, ProposeError>> {
        let reply = self.0.propose(command);
        reply
            .map(|r| r.map_err(|e| ProposeError(e.to_compact_string())))
            .boxed_local()
    }
}

impl OrderLog for ControlLog {
    async fn propose(&self, command: Command) -> Result<Applied, OrderError> {
        let reply = self.0.propose(command).await;
        reply.map_err(|e| OrderError::Log(e.to_compact_string()))
    }
}

impl CauseLog for ControlLog {
    fn put(&self, cause: CrashCause) -> LocalBoxFuture<'static, ()> {
        let client = self.0.clone();
        let command = new_command(Body::PutCrashCause(cause));
        let recording = async move {
            if let Err(error) = client.propose(command).await {
                log::warn!(target: "share", "a cause of crashes is not recorded yet: {error}");
            }
        };
        recording.boxed_local()
    }
}

/// Schedulers that run in this instance, as the order reconciler uses them.
pub struct LocalPools {
    /// Configuration that assigns the schedulers to instances.
    pub view: ConfigView,
    /// Lease of this instance; without a valid one no pool is returned.
    pub lease: InstanceLease,
    /// This instance.
    pub instance: InstanceId,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Connection to the schedulers in this instance.
    pub schedulers: Channel,
}

impl PoolBackends for LocalPools {
    fn pools(&self) -> Vec<PoolId> {
        if !self.lease.is_valid() {
            return Vec::new();
        }
        let configuration = self.view.current();
        let leases = configuration.pools.iter();
        leases
            .filter(|l| l.instance == self.instance.as_str() && l.incarnation == self.incarnation.0)
            .filter_map(|l| l.pool.parse().ok())
            .collect()
    }

    async fn backends(&self, pool: &PoolId) -> Vec<BackendState> {
        let request = DescribeRequest {
            pool: pool.to_string(),
        };
        match PoolClient::new(self.schedulers.clone())
            .describe(request)
            .await
        {
            Ok(report) => report.into_inner().backends,
            Err(error) => {
                log::debug!(target: "orders", "can't read the backend servers of pool {pool}: {error}");
                Vec::new()
            }
        }
    }
}
