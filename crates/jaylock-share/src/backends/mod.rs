//! The backend servers of a pool: their reports, limits and failures.

pub mod backend;
pub mod backend_set;
pub mod cold;
pub mod departures;
pub mod evacuations;
pub mod list;
pub mod rate_limit;
pub mod reachability;
pub mod requirement;
pub mod restorations;
