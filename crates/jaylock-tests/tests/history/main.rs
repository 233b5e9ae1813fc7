//! Histories of concurrent callers against real processes under faults, held against what ran.

mod checker;
mod crowd;
mod faults;
mod judge;
mod opening;
