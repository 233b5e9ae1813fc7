use std::time::{Duration, Instant};

use jaylock_types::RequestRate;

/// Time whose requests may be sent at once after a pause.
const BURST_TIME: Duration = Duration::from_millis(250);
/// Least rate, at which requests show whether a limit of zero is still named.
const MIN_RATE: RequestRate = RequestRate { milli: 250 };

/// Limits the rate of requests to a backend server, with a small burst after a pause.
#[derive(Debug, Clone)]
pub struct RateLimiter {
    rate: RequestRate,
    // Requests that may be sent now.
    tokens: f64,
    updated_at: Instant,
}

impl RateLimiter {
    /// Creates a limiter that admits the first request after the time for one.
    pub fn new(rate: RequestRate, now: Instant) -> Self {
        Self {
            rate: rate.max(MIN_RATE),
            tokens: 0.0,
            updated_at: now,
        }
    }

    /// Changes the rate from now on.
    pub fn set_rate(&mut self, rate: RequestRate, now: Instant) {
        self.refill(now);
        self.rate = rate.max(MIN_RATE);
    }

    /// Whether a request may be sent now.
    pub fn admits(&mut self, now: Instant) -> bool {
        self.refill(now);
        self.tokens >= 1.0
    }

    /// Counts a request that is sent.
    pub fn record(&mut self, now: Instant) {
        self.refill(now);
        self.tokens -= 1.0;
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        let burst = 1.0 + self.rate.per_second() * BURST_TIME.as_secs_f64();
        let added = self.rate.per_second() * elapsed.as_secs_f64();
        self.tokens = (self.tokens + added).min(burst);
        self.updated_at = now;
    }
}
