//! The replicated log, its leases and its clients under failure.

mod fleet;
mod whole;
