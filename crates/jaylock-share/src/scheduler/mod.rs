//! The scheduler of a pool, which grants the slots of its backend servers.

pub mod allocator;
pub mod attachment;
pub mod contact;
pub mod decision;
pub mod description;
pub mod division;
pub mod hedging;
pub mod host;
pub mod preview;
pub mod report_delay;
pub mod reports;
pub mod router;
pub mod service_log;
pub mod task;
pub mod usage;
