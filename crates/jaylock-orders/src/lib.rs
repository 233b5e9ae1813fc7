//! Orders to model engines: which models and adapters each one loads.
//!
//! The instance that runs a pool's scheduler compares what the configuration wants loaded with what the
//! pool's engines announce. Each order takes a fencing number from the replicated log before it leaves.

mod engine;
mod keeper;
mod plan;
mod port;

pub use self::engine::HttpEngines;
pub use self::keeper::{KeeperSettings, OrderKeeper};
pub use self::plan::{Step, holds, next_step};
pub use self::port::{Engines, Ledger, OrderError, PoolBackends, Result};
