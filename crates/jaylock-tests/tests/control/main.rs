//! Tests of the replicated log, its leases and its clients under failures.

mod claim_releases;
mod commands;
mod disk;
mod disk_faults;
mod end_to_end;
mod failures;
mod fault_schedules;
mod followers;
mod group;
mod history;
mod invariants;
mod key_requirement;
mod large_documents;
mod nodes;
mod pool_holders;
mod replacements;
mod slow_disks;
mod withdrawals;
