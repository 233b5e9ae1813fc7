//! Tests of the replicated log, its leases and its clients under failures.

mod claim_releases;
mod commands;
mod cut_links;
mod disk;
mod disk_faults;
mod disk_steps;
mod end_to_end;
mod failures;
mod fault_schedules;
mod file_disk;
mod first_starts;
mod followers;
mod full_disks;
mod full_in_turn;
mod group;
mod history;
mod interrupted_starts;
mod invariants;
mod key_requirement;
mod large_documents;
mod nodes;
mod pool_holders;
mod replacements;
mod slow_disks;
mod slow_links;
mod withdrawals;
