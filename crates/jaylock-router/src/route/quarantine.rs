use std::time::Duration;

use jaylock_rpc::v1::{Configuration, CrashCause};
use jaylock_types::unix_ms;

use super::request::RouteRequest;

/// Time until the quarantine of a request ends; `None` if it is in none.
pub fn quarantine_time(configuration: &Configuration, request: &RouteRequest) -> Option<Duration> {
    if configuration.crash_causes.is_empty() {
        return None;
    }
    let parts = request.prompt.iter().flat_map(|prompt| &prompt.parts);
    let further = request.further_causes.iter().copied();
    let hashes = parts.map(|part| part.hash).chain(further);
    let hashes = hashes.chain([request.digest]);
    let pool = request.pool().as_str();
    let causes = hashes.filter_map(|hash| find(&configuration.crash_causes, pool, hash));
    let end_ms = causes.map(|cause| cause.until_ms).max()?;
    let remaining = Duration::from_millis(end_ms.saturating_sub(unix_ms()));
    (!remaining.is_zero()).then_some(remaining)
}

fn find<'a>(causes: &'a [CrashCause], pool: &str, hash: u64) -> Option<&'a CrashCause> {
    let order = |cause: &CrashCause| (cause.pool.as_str(), cause.hash).cmp(&(pool, hash));
    let position = causes.binary_search_by(order).ok()?;
    Some(&causes[position])
}
