//! Which requests wait, in which order, and which are refused.

pub mod account;
pub mod arrival;
pub mod cost;
pub mod queue;
pub mod refusals;
pub mod spare;
pub mod wait;
