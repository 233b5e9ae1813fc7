//! The replicated log, its leases and its clients under failure.

mod commands;
mod damage;
mod disk;
mod fleet;
mod group;
mod losses;
mod releases;
mod whole;
