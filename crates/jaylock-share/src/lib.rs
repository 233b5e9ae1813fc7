//! Sharing of model capacity: the scheduler of a pool and the routers' client of it.

mod account;
mod allocator;
mod attach;
mod backend;
mod batch;
mod compact;
mod cost;
mod decide;
mod demand;
mod describe;
mod division;
mod engine;
mod fallback;
mod holders;
mod host;
mod link;
mod placement;
mod pools;
mod queue;
mod refuse;
mod router;
mod scheduler;
mod settings;
mod survey;
mod twins;
mod usage;
mod waitlist;

pub use self::allocator::Allocator;
pub use self::host::{PoolService, SchedulerHost};
pub use self::pools::SchedulerClient;
pub use self::router::RouterKey;
pub use self::settings::{SchedulerClientSettings, SchedulerSettings};
pub use self::waitlist::{Answer, Waitlist};
