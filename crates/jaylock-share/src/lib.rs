//! Sharing of model capacity: a scheduler for each pool, and the routers' client of the schedulers.

mod admission;
mod backends;
mod client;
mod crashes;
mod encoding;
mod frame_size;
mod placement;
mod scheduler;
mod settings;
mod streams;

pub use self::client::pending_request::AskResult;
pub use self::client::scheduler_client::SchedulerClient;
pub use self::client::state::ClientState;
pub use self::crashes::cause_log::CauseLog;
pub use self::scheduler::allocator::Allocator;
pub use self::scheduler::host::{PoolService, SchedulerHost};
pub use self::scheduler::router::RouterKey;
pub use self::settings::{SchedulerClientSettings, SchedulerSettings};
