use std::time::{Duration, Instant};

use compact_str::CompactString;
use jaylock_rpc::v1::Exclusion;
use jaylock_types::{Notice, millis};

/// Longest pause, so that a backend server can't exclude itself for ever by mistake.
const MAX_PAUSE: Duration = Duration::from_mins(10);
/// Time for which a router remembers that a backend server leaves.
const LEAVING_RETENTION: Duration = Duration::from_mins(10);

/// Backend servers that told a router in a response to send them nothing.
#[derive(Debug, Default)]
pub struct Exclusions {
    // Sorted by backend server.
    list: Vec<Excluded>,
}

#[derive(Debug)]
struct Excluded {
    backend: CompactString,
    incarnation: u64,
    reason: Reason,
}

#[derive(Debug, Clone, Copy)]
enum Reason {
    Leaving { since: Instant },
    Paused { until: Instant },
}

impl Exclusions {
    /// Records what a response tells; returns the report that is due to the scheduler.
    ///
    /// Each pause holds to its own end, whatever later responses ask for.
    pub fn record(
        &mut self,
        backend: &str,
        incarnation: u64,
        notice: &Notice,
        now: Instant,
    ) -> Option<Exclusion> {
        let reason = if notice.is_leaving {
            Reason::Leaving { since: now }
        } else {
            let pause = notice.pause?.min(MAX_PAUSE);
            Reason::Paused { until: now + pause }
        };
        self.expire(now);
        let excluded = Excluded {
            backend: backend.into(),
            incarnation,
            reason,
        };
        let position = match self.search(backend) {
            Ok(position) if self.list[position].outranks(&excluded) => return None,
            Ok(position) => {
                self.list[position] = excluded;
                position
            }
            Err(position) => {
                self.list.insert(position, excluded);
                position
            }
        };
        self.list[position].report(now)
    }

    /// Whether a router may send this start of a backend server nothing now.
    pub fn contains(&self, backend: &str, incarnation: u64, now: Instant) -> bool {
        let Ok(position) = self.search(backend) else {
            return false;
        };
        let excluded = &self.list[position];
        excluded.incarnation >= incarnation && excluded.is_active(now)
    }

    /// All exclusions that still count, for a new scheduler.
    pub fn reports(&mut self, now: Instant) -> Vec<Exclusion> {
        self.expire(now);
        self.list.iter().filter_map(|e| e.report(now)).collect()
    }

    fn expire(&mut self, now: Instant) {
        self.list.retain(|excluded| excluded.is_active(now));
    }

    fn search(&self, backend: &str) -> Result<usize, usize> {
        self.list
            .binary_search_by(|excluded| excluded.backend.as_str().cmp(backend))
    }
}

impl Excluded {
    /// Whether another exclusion of the same backend server changes nothing.
    fn outranks(&self, other: &Self) -> bool {
        if self.incarnation != other.incarnation {
            return self.incarnation > other.incarnation;
        }
        match (self.reason, other.reason) {
            (Reason::Leaving { .. }, _) => true,
            (Reason::Paused { .. }, Reason::Leaving { .. }) => false,
            (Reason::Paused { until: own }, Reason::Paused { until: other }) => own >= other,
        }
    }

    fn is_active(&self, now: Instant) -> bool {
        match self.reason {
            Reason::Leaving { since } => now.saturating_duration_since(since) < LEAVING_RETENTION,
            Reason::Paused { until } => now < until,
        }
    }

    fn report(&self, now: Instant) -> Option<Exclusion> {
        let pause = match self.reason {
            Reason::Leaving { .. } => None,
            Reason::Paused { until } => Some(until.checked_duration_since(now)?),
        };
        let pause_ms = pause.map(millis);
        Some(Exclusion {
            backend: self.backend.to_string(),
            incarnation: self.incarnation,
            pause_ms,
        })
    }
}
