//! Which backend server a request is sent to.

pub mod cache_index;
pub mod engine;
pub mod observations;
pub mod pace;
pub mod ranking;
pub mod selection;
pub mod slowness;
