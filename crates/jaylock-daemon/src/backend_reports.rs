//! Operations of backend servers.

use std::time::{Duration, Instant};

use compact_str::{ToCompactString, format_compact};
use jaylock_control::{find_service, has_departed, is_evacuated};
use jaylock_router::new_command;
use jaylock_rpc::v1::applied::Result as Outcome;
use jaylock_rpc::v1::backend_report::Kind;
use jaylock_rpc::v1::command::Body;
use jaylock_rpc::v1::{BackendReport, BackendVerdict, Configuration, Departure};
use jaylock_types::{BackendId, InvalidId, PoolId, unix_ms};

use crate::api::{ApiError, ControlApi, Result, with_control_timeout};

/// Longest wait for a scheduler's verdict on a backend server's report.
const VERDICT_TIMEOUT: Duration = Duration::from_millis(800);
/// Most cached prompt parts of an engine that are reported.
const MAX_LISTED_PARTS: usize = 4096;

impl ControlApi {
    /// Forwards a backend server's report to the scheduler and waits for the verdict.
    ///
    /// # Errors
    /// [`ApiError::Invalid`] when the scheduler refuses the report; [`ApiError::Unavailable`] when the
    /// scheduler did not respond in time.
    pub async fn report_backend(&self, report: BackendReport) -> Result<()> {
        self.check_running()?;
        let pool = report.pool.parse().map_err(|e| invalid(&e))?;
        let (id, incarnation, sequence) = (report.id.clone(), report.incarnation, report.sequence);
        if !self.schedulers.accepts_reports(&report.pool) {
            let reason = format_compact!("no document names service {pool}");
            self.record_left_out(&id, &reason);
            return Err(ApiError::Unavailable(reason));
        }
        self.query_cached_parts(&report);
        let is_leaving = report.leaving;
        self.schedulers.report_backend(report);
        let is_meant = |verdict: &BackendVerdict| {
            verdict.backend == id
                && (verdict.incarnation, verdict.sequence) >= (incarnation, sequence)
        };
        self.wait_for_verdict(&pool, is_meant, &id).await?;
        if is_leaving {
            self.record_departure(id.clone(), incarnation, pool.as_str())
                .await?;
        }
        Ok(())
    }

    /// Records that an entry among those of the backend servers is left out.
    pub fn record_left_out(&self, id: &str, reason: &str) {
        self.left_out.record(id, reason, Instant::now());
    }

    /// Queries the cached prompt parts of an engine once per scheduler and reports them.
    ///
    /// Otherwise a new scheduler would assume empty caches, and shared parts would be processed again.
    fn query_cached_parts(&self, report: &BackendReport) {
        let configuration = self.view.current();
        let lease = configuration.pools.iter().find(|l| l.pool == report.pool);
        let (Some(inventory), Some(lease)) = (self.inventory.clone(), lease) else {
            return;
        };
        let Ok(address) = report.address.parse() else {
            return;
        };
        // After a restoration the query is made then.
        if is_evacuated(&configuration, &report.domain) {
            return;
        }
        if report.kind() != Kind::Engine || !self.mark_queried(&report.id, lease.epoch) {
            return;
        }
        let (schedulers, report) = (self.schedulers.clone(), report.clone());
        compio::runtime::spawn(async move {
            let Some(mut parts) = inventory.cached_parts(address).await else {
                log::info!(target: "share", backend = report.id.as_str(); "engine did not list its cached prompt parts");
                return;
            };
            log::info!(target: "share", backend = report.id.as_str(), parts = parts.len(); "engine listed its cached prompt parts");
            parts.truncate(MAX_LISTED_PARTS);
            schedulers.report_backend(BackendReport { kept: parts, ..report });
        })
        .detach();
    }

    /// Marks an engine as queried for an epoch; returns false when it was marked before.
    fn mark_queried(&self, id: &str, epoch: u64) -> bool {
        let mut queried = self.queried_engines.borrow_mut();
        let index = queried.binary_search_by(|(known, _)| known.as_str().cmp(id));
        match index {
            Ok(index) if queried[index].1 == epoch => return false,
            Ok(index) => queried[index].1 = epoch,
            Err(index) => queried.insert(index, (id.into(), epoch)),
        }
        true
    }

    /// Reports to the pools with schedulers that a backend server has stopped, because its pool is not known.
    ///
    /// # Errors
    /// [`ApiError::Unavailable`] when a scheduler or control did not respond in time.
    pub async fn deregister_backend(&self, id: &BackendId) -> Result<()> {
        self.check_running()?;
        let sequence = unix_ms();
        let pools = scheduled_services(&self.view.current());
        for pool in &pools {
            self.schedulers.report_backend(BackendReport {
                id: id.to_string(),
                pool: pool.to_string(),
                sequence,
                gone: true,
                ..BackendReport::default()
            });
        }
        let (mut incarnation, mut own_pool) = (0, "");
        for pool in &pools {
            let verdict = self
                .wait_for_verdict(pool, |v| v.sequence == sequence, id.as_str())
                .await?;
            if verdict.incarnation > incarnation {
                (incarnation, own_pool) = (verdict.incarnation, pool.as_str());
            }
        }
        self.record_departure(id.to_string(), incarnation, own_pool)
            .await
    }

    /// Records in the log that a start of a backend server takes no requests any more, unless that is known.
    ///
    /// Only then may it be acknowledged: the scheduler and this instance, which know of it so far, may be one process, and the
    /// backend server doesn't say it again.
    async fn record_departure(&self, backend: String, incarnation: u64, pool: &str) -> Result<()> {
        if incarnation > 0 && has_departed(&self.view.current(), &backend, incarnation) {
            return Ok(());
        }
        let command = new_command(Body::PutDeparture(Departure {
            backend: backend.clone(),
            incarnation,
            pool: pool.into(),
            unknown: incarnation == 0,
            ..Departure::default()
        }));
        let applied = with_control_timeout(Box::pin(self.client.propose(command))).await?;
        match applied.result {
            Some(Outcome::Done(_)) => {
                log::info!(
                    target: "share",
                    backend = backend.as_str(), incarnation, index = applied.index;
                    "the departure of a backend server is durable"
                );
                Ok(())
            }
            // A replica of an earlier release leads, which keeps none.
            Some(Outcome::Refused(reason)) => {
                log::warn!(target: "share", backend = backend.as_str(); "the departure of a backend server is not recorded: {reason}");
                Ok(())
            }
            other => Err(ApiError::Unavailable(format_compact!(
                "control answered {other:?}"
            ))),
        }
    }

    /// Waits for the verdict of a pool's scheduler on a report.
    async fn wait_for_verdict(
        &self,
        pool: &PoolId,
        matches: impl Fn(&BackendVerdict) -> bool,
        id: &str,
    ) -> Result<BackendVerdict> {
        let started = Instant::now();
        loop {
            // Before the check, so that no verdict is missed.
            let next = self.schedulers.next_verdict(pool, id);
            let verdict = self.schedulers.pool_verdict(pool, id);
            match verdict.filter(|v| matches(v)) {
                Some(verdict) if verdict.refused.is_empty() => return Ok(verdict),
                Some(verdict) => return Err(ApiError::Invalid(verdict.refused.into())),
                None => {}
            }
            let left = VERDICT_TIMEOUT.saturating_sub(started.elapsed());
            if compio::time::timeout(left, next).await.is_err() {
                break;
            }
        }
        Err(ApiError::Unavailable(
            "the scheduler does not answer".into(),
        ))
    }
}

/// Services whose pools have a scheduler, which alone may know their backend servers.
fn scheduled_services(configuration: &Configuration) -> Vec<PoolId> {
    let leases = configuration.pools.iter();
    let named = leases.filter(|lease| find_service(configuration, &lease.pool).is_some());
    named.filter_map(|lease| lease.pool.parse().ok()).collect()
}

fn invalid(error: &InvalidId) -> ApiError {
    ApiError::Invalid(error.to_compact_string())
}
