//! Requests that crash backend servers.

pub mod abandoned;
pub mod cause_log;
pub mod causes;
pub mod crash_causes;
pub mod crash_history;
pub mod duplicates;
pub mod proven_causes;
