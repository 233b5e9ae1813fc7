use std::net::SocketAddr;

use compact_str::CompactString;
use jaylock_rpc::v1::{Applied, BackendState, Command, Order};
use jaylock_types::PoolId;
use thiserror::Error;

/// Result of a step of the reconciliation.
pub type Result<T, E = OrderError> = std::result::Result<T, E>;

/// Why an order was not carried out.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum OrderError {
    /// The log committed no order.
    #[error("the log committed no order: {0}; will retry")]
    Log(CompactString),
    /// The engine did not respond.
    #[error("the engine at {address} did not respond: {reason}; will retry")]
    Unreachable {
        /// Address of the engine.
        address: SocketAddr,
        /// Why there was no response.
        reason: CompactString,
    },
    /// The engine refused the order.
    #[error(
        "the engine at {address} refused the order with status {status}; will send the newest order again"
    )]
    Refused {
        /// Address of the engine.
        address: SocketAddr,
        /// HTTP status of the response.
        status: u16,
    },
}

/// Port to the replicated log.
pub trait OrderLog {
    /// Commits a command and returns its result.
    fn propose(&self, command: Command) -> impl Future<Output = Result<Applied>>;
}

/// Port to the backend servers that the schedulers know.
pub trait PoolBackends {
    /// Pools whose scheduler runs here under a valid lease.
    fn pools(&self) -> Vec<PoolId>;

    /// Backend servers of such a pool, as last reported.
    fn backends(&self, pool: &PoolId) -> impl Future<Output = Vec<BackendState>>;
}

/// Port through which orders reach the engines.
pub trait EngineClient {
    /// Sends an order and waits until the engine accepts or refuses it.
    fn send(&self, address: SocketAddr, order: &Order) -> impl Future<Output = Result<()>>;
}
