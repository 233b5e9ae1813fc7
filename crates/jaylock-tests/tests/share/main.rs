//! Tests of the sharing of model capacity.

mod backend;
mod cold;
mod cold_world;
mod crashes;
mod crashing_requests;
mod decision;
mod evacuations;
mod exclusions;
mod failure;
mod fixture;
mod fleet;
mod odd_entries;
mod overdue;
mod pace;
mod plain_calls;
mod pool;
mod prefill;
mod prompt_parts;
mod rate_limits;
mod router_out_of_step;
mod simulation;
mod spare;
mod stream;
mod stream_origins;
mod version_faults;
mod version_world;
