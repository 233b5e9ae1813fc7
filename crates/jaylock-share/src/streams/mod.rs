//! The software versions at which streams began, and at which they continue.

pub mod resumption;
pub mod seen_versions;
pub mod stream_origins;
