use std::net::SocketAddr;

use compact_str::CompactString;
use jaylock_rpc::v1::{Applied, BackendState, Command, Order};
use jaylock_types::PoolId;
use thiserror::Error;

/// Outcome of a step that may fail.
pub type Result<T, E = OrderError> = std::result::Result<T, E>;

/// Why an order did not get through.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum OrderError {
    /// The log took no command.
    #[error("the log took no order: {0}; it is tried again")]
    Ledger(CompactString),
    /// The engine did not answer.
    #[error("the engine at {address} did not answer: {reason}; it is tried again")]
    Unreachable {
        /// Where the engine listens.
        address: SocketAddr,
        /// What went wrong.
        reason: CompactString,
    },
    /// The engine refused the order.
    #[error(
        "the engine at {address} refused the order with status {status}; the newest order is sent again"
    )]
    Refused {
        /// Where the engine listens.
        address: SocketAddr,
        /// HTTP status of the answer.
        status: u16,
    },
}

/// Port to the replicated log.
pub trait Ledger {
    /// Commits a command.
    fn propose(&self, command: Command) -> impl Future<Output = Result<Applied>>;
}

/// Port to the scheduler's knowledge of its backend servers.
pub trait PoolBackends {
    /// Pools whose scheduler runs here, under a lease that holds.
    fn pools(&self) -> Vec<PoolId>;

    /// Backend servers of one of them, as last heard.
    fn backends(&self, pool: &PoolId) -> impl Future<Output = Vec<BackendState>>;
}

/// Port to the engines.
pub trait Engines {
    /// Sends an order and waits until the engine has taken or refused it.
    fn send(&self, address: SocketAddr, order: &Order) -> impl Future<Output = Result<()>>;
}
