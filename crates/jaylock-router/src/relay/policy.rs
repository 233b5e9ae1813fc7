use std::time::{Duration, Instant};

/// Mean delay of the event loop from which connections are passed on; events of streams are forwarded together from there on.
const BUSY_DELAY: Duration = Duration::from_millis(10);
/// Mean delay below which fewer connections are passed on.
const CALM_DELAY: Duration = Duration::from_millis(4);
/// Time in which the share of connections that are passed on rises from none to all.
const RISE_TIME: Duration = Duration::from_millis(100);
/// Time in which it falls from all to none; streams last about as long, so that their end shows before all connections stay.
const FALL_TIME: Duration = Duration::from_secs(2);
/// Share from which kept connections end with their responses, so that their next requests can be passed on.
const CLOSING_SHARE: f64 = 0.5;

/// Decides which new connections of callers are passed on to other routers.
///
/// The load that this answers: the callers of one organisation keep one router, also when it is overloaded, while the processors of
/// the other routers have little to do. To pass a connection on costs a fraction of what its request costs.
#[derive(Debug, Default)]
pub struct RelayPolicy {
    /// Share of the new connections that are passed on, from 0 to 1.
    share: f64,
    /// Sum of the shares of the connections since the last one that was passed on.
    credit: f64,
    updated_at: Option<Instant>,
}

impl RelayPolicy {
    /// Adjusts the share to the mean delay of the event loop.
    pub fn update(&mut self, delay: Duration, now: Instant) {
        let before = self.updated_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(before);
        if delay >= BUSY_DELAY {
            // The time before the delay rose doesn't count.
            let elapsed = elapsed.min(RISE_TIME / 4);
            self.share += elapsed.div_duration_f64(RISE_TIME);
        } else if delay < CALM_DELAY {
            self.share -= elapsed.div_duration_f64(FALL_TIME);
        }
        self.share = self.share.clamp(0.0, 1.0);
    }

    /// Whether the next new connection is passed on.
    pub fn takes_next(&mut self) -> bool {
        self.credit += self.share;
        let is_taken = self.credit >= 1.0;
        if is_taken {
            self.credit -= 1.0;
        }
        is_taken
    }

    /// Whether kept connections end with their responses.
    #[must_use]
    pub fn closes_connections(&self) -> bool {
        self.share >= CLOSING_SHARE
    }

    /// Whether a router whose event loop has this mean delay takes connections from others.
    #[must_use]
    pub fn takes_from_others(delay: Duration) -> bool {
        delay < BUSY_DELAY
    }
}
