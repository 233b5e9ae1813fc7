//! A router's client of the schedulers, which grants the router's own slots while none responds.

pub mod batch;
pub mod cold_notices;
pub mod connection;
pub mod crashed_starts;
pub mod exclusions;
pub mod fallback;
pub mod frames;
pub mod given_up;
pub mod held_slot;
pub mod local_prefill;
pub mod named_limits;
pub mod named_work_times;
pub mod overdue;
pub mod pauses;
pub mod pending_request;
pub mod recent_crashes;
pub mod recent_reports;
pub mod response_times;
pub mod scheduler_client;
pub mod state;
