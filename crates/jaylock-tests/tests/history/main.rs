//! Checks the history of concurrent callers of real processes under faults against the runs at
//! backend servers.

mod checker;
mod checker_tests;
mod faults;
mod load;
mod stream_opening;
