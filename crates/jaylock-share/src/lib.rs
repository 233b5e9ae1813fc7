//! Sharing of model capacity: the scheduler of a pool and the routers' client of it.

mod account;
mod allocator;
mod attach;
mod backend;
mod batch;
mod cache_index;
mod compact;
mod cost;
mod decide;
mod describe;
mod division;
mod duplicates;
mod engine;
mod fallback;
mod host;
mod link;
mod placement;
mod pools;
mod queue;
mod ranking;
mod refuse;
mod requirement;
mod router;
mod scheduler;
mod settings;
mod usage;
mod waitlist;

pub use self::allocator::Allocator;
pub use self::host::{PoolService, SchedulerHost};
pub use self::pools::SchedulerClient;
pub use self::router::RouterKey;
pub use self::settings::{SchedulerClientSettings, SchedulerSettings};
pub use self::waitlist::{Answer, Waitlist};
