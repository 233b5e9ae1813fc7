//! Orders to model engines: which models and adapters each one loads.
//!
//! The instance that runs a pool's scheduler compares the models in the configuration with those that the
//! pool's engines announce. Each order gets a fencing number from the replicated log before it is sent.

mod engine;
mod plan;
mod port;
mod reconciler;

pub use self::engine::HttpEngineClient;
pub use self::plan::{Step, has_loaded, next_step};
pub use self::port::{EngineClient, OrderError, OrderLog, PoolBackends, Result};
pub use self::reconciler::{OrderReconciler, ReconcilerSettings};
