//! Decisions about backend servers that are cold after a start, an outage or an evacuation.
//!
//! The load: 90 engines of a service in three failure domains get 620 prompts a second through 60 routers. A cold engine
//! takes 5.2 requests a second for 3 s and crashes well above that rate. All engines of a domain may be cold at once, with
//! empty caches, so that they look idle and would get most of the requests.

use std::time::{Duration, Instant};

use jaylock_control::find_service;
use jaylock_rpc::v1::{Configuration, Service};
use jaylock_types::RequestRate;

use crate::backends::rate_limit::RateLimiter;

/// Time after which a router sends nothing under a grant for a service whose backend servers may be cold.
///
/// It is as long as the time over which requests are counted: a new scheduler waits until no earlier grant can be used.
pub const MAX_GRANT_AGE: Duration = Duration::from_secs(1);
/// Longest cold time that is believed.
const MAX_COLD_TIME: Duration = Duration::from_mins(10);
/// Requests that may be on their way to a cold backend server, beside those of `UNCONFIRMED_TIME`.
const MAX_UNCONFIRMED: u32 = 4;
/// Time whose requests may be on their way to a cold backend server.
const UNCONFIRMED_TIME: Duration = Duration::from_millis(250);
/// Time for which a report may be on its way, so that it may have been sent before the restoration of its domain.
const REPORT_TRANSIT: Duration = Duration::from_secs(1);
/// How often the limit doubles between the end of the cold time and the time without a limit.
const RAMP_DOUBLINGS: f64 = 3.0;

/// How long the backend servers of a service are cold after a start, and what they take meanwhile.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdSettings {
    /// Cold time of a start that doesn't say for how long it is cold.
    pub time: Duration,
    /// Requests that a cold backend server takes from all routers together.
    pub rate: RequestRate,
}

impl ColdSettings {
    /// The settings of a service; `None` if its backend servers are never cold.
    pub fn from_service(service: &Service) -> Option<Self> {
        let time = Duration::from_millis(service.cold_ms.into()).min(MAX_COLD_TIME);
        let rate = RequestRate {
            milli: service.cold_rate_milli,
        };
        (!time.is_zero() && rate.milli > 0).then_some(Self { time, rate })
    }

    /// The settings of the service with a pool's name.
    pub fn of_pool(configuration: &Configuration, pool: &str) -> Option<Self> {
        let service = find_service(configuration, pool);
        service.and_then(Self::from_service)
    }

    /// Requests that may be on their way to a cold backend server.
    ///
    /// Together with the burst of the limiter, 1 and the requests of 250 ms, and the requests of one second, at most
    /// 1.5 x rate + 5 requests reach the backend server in any second, however late each one is sent.
    fn max_unconfirmed(&self) -> u32 {
        let rated = self.rate.per_second() * UNCONFIRMED_TIME.as_secs_f64();
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let rated = rated as u32;
        MAX_UNCONFIRMED.saturating_add(rated)
    }
}

/// What applies to the cold backend servers of a pool.
#[derive(Debug, Default)]
pub struct ColdPolicy {
    pub settings: Option<ColdSettings>,
    /// When no grant of an earlier scheduler can be used any more.
    pub grants_from: Option<Instant>,
}

/// Whether a backend server is cold, and which requests it takes while it is and for some time after.
#[derive(Debug)]
pub struct ColdState {
    // When it started or its domain was restored, as far as this scheduler knows.
    cold_since: Instant,
    // End of the cold time by the newest report; `None` if it doesn't say.
    reported_until: Option<Instant>,
    // Latest end of the cold time by responses, which may be older than the report.
    noticed_until: Option<Instant>,
    // Restoration of its domain after which no report was sent.
    restored_at: Option<Instant>,
    phase: Phase,
}

#[derive(Debug)]
enum Phase {
    Warm,
    Cold(RateLimiter),
    Ramp {
        limiter: RateLimiter,
        since: Instant,
    },
}

/// A change that operators are told of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdChange {
    TurnedCold,
    TurnedWarm,
}

impl ColdState {
    /// The state of a start that was heard of for the first time.
    pub fn new(now: Instant) -> Self {
        Self {
            cold_since: now,
            reported_until: None,
            noticed_until: None,
            restored_at: None,
            phase: Phase::Warm,
        }
    }

    /// Applies the remaining cold time in a report that is newer than the ones before.
    ///
    /// A report that may have been sent before the restoration of its domain only makes the cold time longer.
    pub fn apply_report(&mut self, cold_ms: Option<u32>, sent_at: Instant) {
        let until = cold_ms.map(|ms| sent_at + cold_time(ms));
        if self
            .restored_at
            .is_some_and(|at| sent_at < at + REPORT_TRANSIT)
        {
            self.reported_until = self.reported_until.max(until);
            return;
        }
        self.restored_at = None;
        self.reported_until = until;
    }

    /// Applies the remaining cold time in a response, which only makes the cold time longer.
    ///
    /// A report that says less may have been sent before the response.
    pub fn apply_notice(&mut self, cold_ms: u32, now: Instant) {
        self.noticed_until = self.noticed_until.max(Some(now + cold_time(cold_ms)));
    }

    /// Regards the backend server as cold, as its domain was restored, until a later report says otherwise.
    pub fn restore(&mut self, at: Instant) {
        self.restored_at = Some(at);
        self.cold_since = self.cold_since.max(at);
    }

    /// Updates the state; returns what has changed.
    ///
    /// After the cold time, the limit rises from the cold rate by a factor of 8 within another cold time, and ends. The
    /// engines of a domain that turn warm together, idle and with empty caches, then take over their share by degrees,
    /// while others that cache the prompts serve the rest.
    pub fn update(&mut self, settings: Option<ColdSettings>, now: Instant) -> Option<ColdChange> {
        let Some(settings) = settings else {
            self.phase = Phase::Warm;
            return None;
        };
        let is_cold = self.is_cold_at(settings, now);
        match &mut self.phase {
            Phase::Cold(limiter) if is_cold => limiter.set_rate(settings.rate, now),
            _ if is_cold => {
                self.phase = Phase::Cold(RateLimiter::new(settings.rate, now));
                return Some(ColdChange::TurnedCold);
            }
            Phase::Cold(limiter) => {
                let limiter = limiter.clone();
                self.phase = Phase::Ramp {
                    limiter,
                    since: now,
                };
                return Some(ColdChange::TurnedWarm);
            }
            Phase::Ramp { limiter, since } => match ramp_rate(settings, *since, now) {
                Some(rate) => limiter.set_rate(rate, now),
                None => self.phase = Phase::Warm,
            },
            Phase::Warm => {}
        }
        None
    }

    fn is_cold_at(&self, settings: ColdSettings, now: Instant) -> bool {
        let is_unreported = self.restored_at.is_some() && self.reported_until.is_some();
        let assumed = self.cold_since + settings.time;
        let until = Some(self.reported_until.unwrap_or(assumed)).max(self.noticed_until);
        is_unreported || until.is_some_and(|until| now < until)
    }

    /// Whether it takes no further request now; `unconfirmed` were granted and are not known to have arrived.
    pub fn is_limited(&mut self, policy: &ColdPolicy, unconfirmed: u32, now: Instant) -> bool {
        let Some(settings) = policy.settings else {
            return false;
        };
        match &mut self.phase {
            Phase::Warm => false,
            Phase::Cold(limiter) => {
                let is_early = policy.grants_from.is_some_and(|from| now < from);
                is_early || unconfirmed >= settings.max_unconfirmed() || !limiter.admits(now)
            }
            Phase::Ramp { limiter, .. } => !limiter.admits(now),
        }
    }

    /// Counts a grant.
    pub fn record_grant(&mut self, now: Instant) {
        match &mut self.phase {
            Phase::Warm => {}
            Phase::Cold(limiter) | Phase::Ramp { limiter, .. } => limiter.record(now),
        }
    }

    /// Whether it is in its cold time.
    pub fn is_cold(&self) -> bool {
        matches!(self.phase, Phase::Cold(_))
    }

    /// Whether it takes requests without a limit, so that routers without a scheduler may use it.
    pub fn is_warm(&self) -> bool {
        matches!(self.phase, Phase::Warm)
    }
}

/// The remaining cold time that a backend server names, as far as it is believed.
pub fn cold_time(ms: u32) -> Duration {
    Duration::from_millis(ms.into()).min(MAX_COLD_TIME)
}

/// The limit at some time after the cold time; `None` if there is none any more.
fn ramp_rate(settings: ColdSettings, since: Instant, now: Instant) -> Option<RequestRate> {
    let elapsed = now.saturating_duration_since(since);
    let progress = elapsed.as_secs_f64() / settings.time.as_secs_f64();
    (progress < 1.0).then(|| settings.rate.scaled((progress * RAMP_DOUBLINGS).exp2()))
}
