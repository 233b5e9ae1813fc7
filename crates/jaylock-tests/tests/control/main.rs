//! The replicated log, its leases and its clients under failure.

mod commands;
mod damage;
mod disk;
mod fleet;
mod followers;
mod group;
mod history;
mod losses;
mod releases;
mod rules;
mod schedules;
mod whole;
