use std::time::Duration;

use jaylock_control::ConfigView;
use jaylock_rpc::v1::{Applied, BackendReport, Command, Order, applied, command};
use jaylock_types::PoolId;

use crate::{EngineClient, OrderError, OrderLog, PoolBackends, Result, Step, next_step};

/// Settings of the [`OrderReconciler`].
#[derive(Debug, Clone)]
pub struct ReconcilerSettings {
    /// Time between two checks of all pools.
    pub interval: Duration,
}

impl Default for ReconcilerSettings {
    fn default() -> Self {
        Self {
            interval: Duration::from_secs(1),
        }
    }
}

/// Orders the engines of the pools scheduled here to load the models that the configuration names.
pub struct OrderReconciler<L, P, E> {
    view: ConfigView,
    log: L,
    pools: P,
    engines: E,
    settings: ReconcilerSettings,
}

impl<L: OrderLog, P: PoolBackends, E: EngineClient> OrderReconciler<L, P, E> {
    /// Creates a reconciler from its ports.
    pub fn new(
        view: ConfigView,
        log: L,
        pools: P,
        engines: E,
        settings: ReconcilerSettings,
    ) -> Self {
        Self {
            view,
            log,
            pools,
            engines,
            settings,
        }
    }

    /// Checks each pool in turn until the future is dropped.
    pub async fn run(self) {
        loop {
            for pool in self.pools.pools() {
                if let Err(error) = self.reconcile(&pool).await {
                    log::warn!(target: "orders", "pool {pool}: {error}");
                }
            }
            compio::time::sleep(self.settings.interval).await;
        }
    }

    /// Takes the next step for a pool, if there is one, and returns the order that was sent.
    ///
    /// # Errors
    /// The log or the engine did not accept the order; the next check tries again.
    pub async fn reconcile(&self, pool: &PoolId) -> Result<Option<Order>> {
        let states = self.pools.backends(pool).await;
        let reports: Vec<BackendReport> = states.into_iter().filter_map(|s| s.report).collect();
        let order = match next_step(&self.view.current(), pool, &reports) {
            None => return Ok(None),
            Some(Step::Retry(order)) => order,
            Some(Step::Issue(order)) => self.issue(order).await?,
        };
        let engine = reports.iter().find(|r| r.id == order.backend);
        if let Some(address) = engine.and_then(|r| r.address.parse().ok()) {
            log::info!(target: "orders", "sending order {} to {}", order.fence, order.backend);
            self.engines.send(address, &order).await?;
        }
        Ok(Some(order))
    }

    async fn issue(&self, order: Order) -> Result<Order> {
        let command = Command {
            id: uuid::Uuid::now_v7().to_string(),
            expected_revision: None,
            body: Some(command::Body::IssueOrder(order.clone())),
        };
        let applied = self.log.propose(command).await?;
        let fence = fence_of(&applied)?;
        Ok(Order { fence, ..order })
    }
}

fn fence_of(applied: &Applied) -> Result<u64> {
    match &applied.result {
        Some(applied::Result::Fence(fence)) => Ok(*fence),
        Some(applied::Result::Refused(reason)) => Err(OrderError::Log(reason.into())),
        other => Err(OrderError::Log(
            format!("unexpected result {other:?}").into(),
        )),
    }
}
