use std::time::{Duration, Instant};

use compact_str::CompactString;
use jaylock_rpc::v1::RateLimit;
use jaylock_types::RequestRate;

use crate::backends::rate_limit::RateLimiter;

/// Time after which a limit that is still named is reported again, as another router may have lifted it meanwhile.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which a router remembers a limit that it no longer reads.
const RETENTION: Duration = Duration::from_mins(10);

/// Limits that backend servers named in responses to a router.
#[derive(Debug, Default)]
pub struct NamedLimits {
    // Sorted by backend server.
    list: Vec<NamedLimit>,
}

#[derive(Debug)]
struct NamedLimit {
    backend: CompactString,
    rate: RequestRate,
    reported_at: Instant,
    // Bounds what this router grants itself while no scheduler responds.
    limiter: RateLimiter,
}

impl NamedLimits {
    /// Records what a response names; returns the report that is due to the scheduler.
    ///
    /// `share` is the part of a limit that this router may use alone.
    pub fn record(
        &mut self,
        backend: &str,
        rate: Option<RequestRate>,
        share: f64,
        now: Instant,
    ) -> Option<RateLimit> {
        let search = self.search(backend);
        let Some(rate) = rate else {
            self.list.remove(search.ok()?);
            return Some(report(backend, None));
        };
        match search {
            Ok(position) => {
                let known = &mut self.list[position];
                let age = now.saturating_duration_since(known.reported_at);
                if known.rate == rate && age < REPORT_INTERVAL {
                    return None;
                }
                known.rate = rate;
                known.reported_at = now;
                known.limiter.set_rate(rate.scaled(share), now);
            }
            Err(position) => {
                let limit = NamedLimit {
                    backend: backend.into(),
                    rate,
                    reported_at: now,
                    limiter: RateLimiter::new(rate.scaled(share), now),
                };
                self.list.insert(position, limit);
            }
        }
        Some(report(backend, Some(rate)))
    }

    /// Whether no backend server names a limit.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// All limits that still count, for a new scheduler.
    pub fn reports(&mut self, now: Instant) -> Vec<RateLimit> {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.list.retain(|limit| age(limit.reported_at) < RETENTION);
        let limits = self.list.iter();
        limits.map(|l| report(&l.backend, Some(l.rate))).collect()
    }

    /// Whether this router may grant itself a slot at a backend server now.
    pub fn admits(&mut self, backend: &str, now: Instant) -> bool {
        match self.search(backend) {
            Ok(position) => self.list[position].limiter.admits(now),
            Err(_) => true,
        }
    }

    /// Counts a slot that this router granted itself.
    pub fn record_grant(&mut self, backend: &str, now: Instant) {
        if let Ok(position) = self.search(backend) {
            self.list[position].limiter.record(now);
        }
    }

    fn search(&self, backend: &str) -> Result<usize, usize> {
        self.list
            .binary_search_by(|limit| limit.backend.as_str().cmp(backend))
    }
}

fn report(backend: &str, rate: Option<RequestRate>) -> RateLimit {
    RateLimit {
        backend: backend.into(),
        rate_milli: rate.map(|rate| rate.milli),
    }
}
