//! Histories of concurrent callers against real processes under faults, held against what ran.

mod opening;
