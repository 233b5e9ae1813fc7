//! Sharing of model capacity: a scheduler for each pool, and the routers' client of the schedulers.

mod account;
mod admission;
mod allocator;
mod attachment;
mod backend;
mod batch;
mod cache_index;
mod client;
mod client_state;
mod connection;
mod cost;
mod decision;
mod description;
mod division;
mod duplicates;
mod encoding;
mod engine;
mod fallback;
mod host;
mod placement;
mod queue;
mod ranking;
mod reachability;
mod requirement;
mod router;
mod scheduler;
mod settings;
mod usage;

pub use self::allocator::Allocator;
pub use self::client::SchedulerClient;
pub use self::client_state::{AskResult, ClientState};
pub use self::host::{PoolService, SchedulerHost};
pub use self::router::RouterKey;
pub use self::settings::{SchedulerClientSettings, SchedulerSettings};
