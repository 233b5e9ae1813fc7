use std::time::Duration;

/// Time for which a run must outlast its first event to show that it crashes nothing.
///
/// Routers check backend servers after the runs that schedulers still suspect, so both go by the same time.
pub const PROVEN_AFTER: Duration = Duration::from_millis(500);
