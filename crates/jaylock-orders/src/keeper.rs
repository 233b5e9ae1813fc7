use std::time::Duration;

use jaylock_control::ConfigView;
use jaylock_rpc::v1::{Applied, BackendReport, Command, Order, applied, command};
use jaylock_types::PoolId;

use crate::{Engines, Ledger, OrderError, PoolBackends, Result, Step, next_step};

/// Settings of the orders to engines.
#[derive(Debug, Clone)]
pub struct KeeperSettings {
    /// Time between two looks at a pool.
    pub interval: Duration,
}

impl Default for KeeperSettings {
    fn default() -> Self {
        Self {
            interval: Duration::from_secs(1),
        }
    }
}

/// Keeps the engines of the pools scheduled here at what the configuration wants loaded.
pub struct OrderKeeper<L, P, E> {
    view: ConfigView,
    ledger: L,
    pools: P,
    engines: E,
    settings: KeeperSettings,
}

impl<L: Ledger, P: PoolBackends, E: Engines> OrderKeeper<L, P, E> {
    /// Joins the ports.
    pub fn new(
        view: ConfigView,
        ledger: L,
        pools: P,
        engines: E,
        settings: KeeperSettings,
    ) -> Self {
        Self {
            view,
            ledger,
            pools,
            engines,
            settings,
        }
    }

    /// Looks at each pool in turn until the future is dropped.
    pub async fn run(self) {
        loop {
            for pool in self.pools.pools() {
                if let Err(error) = self.advance(&pool).await {
                    log::warn!(target: "orders", "pool {pool}: {error}");
                }
            }
            compio::time::sleep(self.settings.interval).await;
        }
    }

    /// Takes the next step for a pool, if there is one, and returns it as it was sent.
    ///
    /// # Errors
    /// The log or the engine did not take it; the next look tries again.
    pub async fn advance(&self, pool: &PoolId) -> Result<Option<Order>> {
        let states = self.pools.backends(pool).await;
        let reports: Vec<BackendReport> = states.into_iter().filter_map(|s| s.report).collect();
        let order = match next_step(&self.view.current(), pool, &reports) {
            None => return Ok(None),
            Some(Step::Repeat(order)) => order,
            Some(Step::Issue(order)) => self.issue(order).await?,
        };
        let engine = reports.iter().find(|r| r.id == order.backend);
        if let Some(address) = engine.and_then(|r| r.address.parse().ok()) {
            log::info!(target: "orders", "order {} goes to {}", order.fence, order.backend);
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
        let applied = self.ledger.propose(command).await?;
        let fence = fence_of(&applied)?;
        Ok(Order { fence, ..order })
    }
}

fn fence_of(applied: &Applied) -> Result<u64> {
    match &applied.result {
        Some(applied::Result::Fence(fence)) => Ok(*fence),
        Some(applied::Result::Refused(reason)) => Err(OrderError::Ledger(reason.into())),
        other => Err(OrderError::Ledger(
            format!("unexpected answer {other:?}").into(),
        )),
    }
}
