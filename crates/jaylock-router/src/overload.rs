//! Keeps a router responsive when callers bring more work than its processor can do.
//!
//! The load that this answers: the callers of one organisation, or of a whole failure domain, all connect to one router.
//! Without a limit, all their requests are begun, each gets little of the processor, and all of them are late.

use std::cell::RefCell;
use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, Instant};

use jaylock_control::InstanceLease;
use jaylock_types::OrganisationId;

/// Time between two measurements of the delay of the event loop.
const MEASURE_INTERVAL: Duration = Duration::from_millis(10);
/// Time over which the delay is averaged, so that a pause of the whole process doesn't count as overload.
const AVERAGE_TIME: Duration = Duration::from_millis(200);
/// Longest delay that is counted, as a process that was suspended is not overloaded.
const MAX_MEASURED_DELAY: Duration = Duration::from_millis(200);
/// Time between two changes of the limit, in which requests can end.
const ADJUST_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two lines about an overload that lasts.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Delay of the event loop from which the limit falls. A request passes the loop several times before it is sent on.
const MAX_DELAY: Duration = Duration::from_millis(25);
/// Such a delay while callers should choose other routers, as what is begun now can end once they have.
const MAX_WITHDRAWN_DELAY: Duration = Duration::from_millis(60);
/// Factor by which the limit falls.
const DECREASE: f64 = 0.92;
/// Factor by which the limit grows while the delay is short.
const INCREASE: f64 = 1.1;
/// The fewest requests that are in progress before any is refused.
const MIN_LIMIT: f64 = 24.0;
/// Requests in progress below which no organisation is refused while the limit is not exceeded.
const MIN_SHARE: f64 = 16.0;
/// Factor by which the limit may be exceeded until organisations have no more than their max-min share.
const MAX_EXCESS: f64 = 2.0;
/// Refusals for each request that is admitted while the processor is overloaded; they take about a third of the time.
const REFUSALS_PER_REQUEST: f64 = 2.0;
/// Further refusals a second, so that connections are always accepted, unless the settings say otherwise.
const REFUSALS_PER_SECOND: f64 = 250.0;
/// Largest number of refusals in a row.
const MAX_REFUSAL_CREDIT: f64 = 50.0;
/// The limit ends once it is so many times the requests in progress.
const END_FACTOR: f64 = 2.0;

/// Part of the longest delay of an event for which a stream collects events; the rest is for the way to the caller.
///
/// Each write and each wakeup costs more than the events in it. An event waits for the event loop twice, when it is read
/// and when it is written: with half of 200 ms, and two delays of up to `MAX_WITHDRAWN_DELAY`, it would arrive late.
const EVENT_DIVISOR: u32 = 4;
/// Delay of the event loop from which events are forwarded together.
const MAX_EVENT_DELAY: Duration = Duration::from_millis(10);

/// Delays after which a refused caller should return. Another router can serve it at once, and callers who return at
/// different times don't meet again.
const RETRY_DELAYS: Range<Duration> = Duration::from_millis(100)..Duration::from_millis(500);
/// Such delays while callers are sent to other routers, which balancers notice after one or two seconds.
const WITHDRAWN_RETRY_DELAYS: Range<Duration> = Duration::from_secs(1)..Duration::from_millis(2500);
/// Time after an overload for which callers should choose other routers, so that requests in progress can end.
const WITHDRAWAL_REST: Duration = Duration::from_secs(4);

/// Error code of requests that are refused because the processor is overloaded.
pub const ERROR_KIND: &str = "router-overloaded";
/// Reason that their callers are told.
pub const ERROR_MESSAGE: &str =
    "this instance has more requests in progress than it can serve in time";

/// Limits the requests in progress while the event loop is late; clones share the state.
///
/// Only organisations with more than their max-min share of the limit are refused.
#[derive(Debug, Clone)]
pub struct OverloadGuard(Rc<RefCell<State>>);

#[derive(Debug, Default)]
struct State {
    // Refusals that are always allowed in a second.
    refusals_per_second: f64,
    // Longest time that an event of a stream may take to its caller.
    event_timeout: Duration,
    // Requests in progress of each organisation, sorted by identifier.
    in_progress: Vec<(OrganisationId, usize)>,
    total: usize,
    // Mean delay of the event loop, in seconds.
    delay: f64,
    // Requests that may be in progress; unset while the delay is short.
    limit: Option<f64>,
    adjusted_at: Option<Instant>,
    // Delay when the limit was last adjusted.
    adjusted_delay: f64,
    // Whether the requests in progress have reached the limit since it was set.
    was_at_limit: bool,
    // Until when callers should choose other routers.
    withdrawn_until: Option<Instant>,
    // Requests since the last line about the overload.
    admitted: u64,
    refused: u64,
    // Time since that line in which connections waited.
    deferred: Duration,
    logged_at: Option<Instant>,
    // Refusals that may follow before connections wait.
    refusal_credit: f64,
}

/// A request in progress, until it is dropped.
#[derive(Debug)]
pub struct RequestPermit {
    guard: OverloadGuard,
    organisation: OrganisationId,
}

impl OverloadGuard {
    /// Creates a guard under which events of streams are delayed for at most `event_timeout`.
    #[must_use]
    pub fn new(event_timeout: Duration) -> Self {
        Self::with_refusals(event_timeout, REFUSALS_PER_SECOND)
    }

    /// Creates a guard that also allows so many refusals in a second, however few requests are admitted.
    #[must_use]
    pub fn with_refusals(event_timeout: Duration, refusals_per_second: f64) -> Self {
        let state = State {
            refusals_per_second,
            event_timeout,
            ..State::default()
        };
        Self(Rc::new(RefCell::new(state)))
    }

    /// Measures the delay of the event loop until the future is dropped.
    pub async fn run(self) {
        loop {
            let due = Instant::now() + MEASURE_INTERVAL;
            compio::time::sleep_until(due).await;
            let now = Instant::now();
            self.record_delay(now.saturating_duration_since(due), now);
        }
    }

    /// Admits a request; `None` if it is to be refused.
    #[must_use]
    pub fn admit(&self, organisation: &OrganisationId) -> Option<RequestPermit> {
        let mut state = self.0.borrow_mut();
        if !state.has_room(organisation) {
            state.refused += 1;
            return None;
        }
        state.total += 1;
        state.admitted += 1;
        state.add_credit(REFUSALS_PER_REQUEST + 1.0);
        match state.search(organisation) {
            Ok(index) => state.in_progress[index].1 += 1,
            Err(index) => state.in_progress.insert(index, (organisation.clone(), 1)),
        }
        Some(RequestPermit {
            guard: self.clone(),
            organisation: organisation.clone(),
        })
    }

    /// Whether requests are refused, so that connections should end after responses, for callers to choose other routers.
    #[must_use]
    pub fn is_overloaded(&self) -> bool {
        let state = self.0.borrow();
        state
            .limit
            .is_some_and(|limit| to_f64(state.total) >= limit)
    }

    /// Whether new connections wait, as too many requests were refused for those that were admitted.
    ///
    /// Callers whose connections are not accepted soon choose another router.
    #[must_use]
    pub fn defers_connections(&self) -> bool {
        self.0.borrow().defers_connections()
    }

    /// Mean delay of the event loop.
    #[must_use]
    pub fn delay(&self) -> Duration {
        Duration::from_secs_f64(self.0.borrow().delay)
    }

    /// Whether callers should choose other routers, as the processor is or was a moment ago overloaded.
    #[must_use]
    pub fn wants_withdrawal(&self, now: Instant) -> bool {
        self.0.borrow().wants_withdrawal(now)
    }

    /// Whether callers are sent to other routers, which control must allow.
    #[must_use]
    pub fn is_withdrawn(&self, lease: &InstanceLease) -> bool {
        self.wants_withdrawal(Instant::now()) && lease.allows_withdrawal()
    }

    /// Time for which a stream waits after it forwarded events; zero while the processor has time.
    ///
    /// `is_relayed` says that another router passes the stream on, whose processor has none.
    #[must_use]
    pub fn event_interval(&self, is_relayed: bool) -> Duration {
        let state = self.0.borrow();
        let is_late = state.delay > MAX_EVENT_DELAY.as_secs_f64();
        if is_relayed || state.limit.is_some() || is_late {
            state.event_timeout / EVENT_DIVISOR
        } else {
            Duration::ZERO
        }
    }

    /// Counts an accepted connection as a refusal until its request is admitted.
    ///
    /// All connections that wait are accepted at once, long before their requests are refused.
    pub fn record_connection(&self) {
        let mut state = self.0.borrow_mut();
        if state.limit.is_some() {
            state.refusal_credit -= 1.0;
        }
    }

    /// Adds a measured delay of the event loop and adjusts the limit.
    pub fn record_delay(&self, delay: Duration, now: Instant) {
        let mut state = self.0.borrow_mut();
        let delay = delay.min(MAX_MEASURED_DELAY);
        let span = MEASURE_INTERVAL + delay;
        if state.defers_connections() {
            state.deferred += span;
        }
        let refusals = span.as_secs_f64() * state.refusals_per_second;
        state.add_credit(refusals);
        let weight = (span.as_secs_f64() / AVERAGE_TIME.as_secs_f64()).min(1.0);
        state.delay += (delay.as_secs_f64() - state.delay) * weight;
        let is_due = |at: Instant| now.saturating_duration_since(at) >= ADJUST_INTERVAL;
        if state.adjusted_at.is_none_or(is_due) {
            state.adjusted_at = Some(now);
            state.adjust(now);
            state.update_withdrawal(now);
            state.log_overload(now);
        }
    }
}

impl State {
    fn defers_connections(&self) -> bool {
        self.limit.is_some() && self.refusal_credit < 1.0
    }

    fn has_room(&self, organisation: &OrganisationId) -> bool {
        let Some(limit) = self.limit else {
            return true;
        };
        let search = self.search(organisation);
        let own = search.map_or(0, |index| self.in_progress[index].1);
        let share = || self.max_min_share(limit).max(self.min_share(limit));
        to_f64(self.total) < limit || to_f64(own) < share()
    }

    /// Requests that every organisation may have in progress; fewer the more the limit is exceeded.
    ///
    /// Many organisations with so few requests each would otherwise overload the router together.
    fn min_share(&self, limit: f64) -> f64 {
        let excess = (to_f64(self.total) / limit - 1.0) / (MAX_EXCESS - 1.0);
        MIN_SHARE * (1.0 - excess).clamp(0.0, 1.0)
    }

    /// Requests that an organisation may have in progress while the others leave so much of the limit.
    fn max_min_share(&self, limit: f64) -> f64 {
        let mut counts: Vec<usize> = self.in_progress.iter().map(|(_, count)| *count).collect();
        counts.sort_unstable();
        let mut left = limit;
        for (index, count) in counts.iter().enumerate() {
            let share = left / to_f64(counts.len() - index);
            if to_f64(*count) >= share {
                return share;
            }
            left -= to_f64(*count);
        }
        limit
    }

    fn add_credit(&mut self, refusals: f64) {
        self.refusal_credit = (self.refusal_credit + refusals).min(MAX_REFUSAL_CREDIT);
    }

    fn wants_withdrawal(&self, now: Instant) -> bool {
        self.withdrawn_until.is_some_and(|until| now < until)
    }

    fn adjust(&mut self, now: Instant) {
        let total = to_f64(self.total);
        let is_rising = self.delay >= self.adjusted_delay;
        self.adjusted_delay = self.delay;
        let max_delay = if self.wants_withdrawal(now) {
            MAX_WITHDRAWN_DELAY
        } else {
            MAX_DELAY
        };
        if self.delay > max_delay.as_secs_f64() {
            // The last decrease shows no effect before so many requests have ended.
            let may_fall = |limit| is_rising && total <= limit;
            if self.limit.is_none_or(may_fall) {
                self.limit = Some((total * DECREASE).max(MIN_LIMIT));
            }
            return;
        }
        let Some(limit) = self.limit else { return };
        let grown = limit * INCREASE + 1.0;
        self.limit = (grown < total.max(MIN_LIMIT) * END_FACTOR).then_some(grown);
    }

    /// Asks for callers to choose other routers once the limit was reached, which it isn't after a pause of a process that
    /// has little to do.
    fn update_withdrawal(&mut self, now: Instant) {
        let Some(limit) = self.limit else {
            self.was_at_limit = false;
            return;
        };
        self.was_at_limit |= to_f64(self.total) >= limit;
        if self.was_at_limit || self.defers_connections() {
            self.withdrawn_until = Some(now + WITHDRAWAL_REST);
        }
    }

    /// Logs the state of an overload once a `LOG_INTERVAL`, and its end.
    fn log_overload(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < LOG_INTERVAL;
        if self.limit.is_some() && self.logged_at.is_some_and(is_recent) {
            return;
        }
        if let Some(limit) = self.limit {
            let most = self.in_progress.iter().max_by_key(|(_, count)| *count);
            log::warn!(
                target: "router",
                in_progress = self.total, limit = limit.round(), delay_ms = (self.delay * 1e3).round(),
                admitted = self.admitted, refused = self.refused, deferred_ms = self.deferred.as_millis(),
                organisation:% = most.map_or("none", |(id, _)| id.as_str()),
                of_organisation = most.map_or(0, |(_, count)| *count);
                "the processor is overloaded: requests are refused"
            );
            self.logged_at = Some(now);
        } else if self.logged_at.take().is_some() {
            log::info!(
                target: "router",
                in_progress = self.total, admitted = self.admitted, refused = self.refused;
                "the processor is no longer overloaded"
            );
        }
        (self.admitted, self.refused) = (0, 0);
        self.deferred = Duration::ZERO;
    }

    fn search(&self, organisation: &OrganisationId) -> Result<usize, usize> {
        self.in_progress
            .binary_search_by(|(id, _)| id.cmp(organisation))
    }
}

impl Drop for RequestPermit {
    fn drop(&mut self) {
        let mut state = self.guard.0.borrow_mut();
        state.total -= 1;
        if let Ok(index) = state.search(&self.organisation) {
            state.in_progress[index].1 -= 1;
            if state.in_progress[index].1 == 0 {
                state.in_progress.remove(index);
            }
        }
    }
}

/// Delay after which a refused caller should return, spread at random.
pub fn retry_delay(is_withdrawn: bool) -> Duration {
    let delays = if is_withdrawn {
        WITHDRAWN_RETRY_DELAYS
    } else {
        RETRY_DELAYS
    };
    rand::random_range(delays)
}

#[allow(clippy::cast_precision_loss)]
fn to_f64(count: usize) -> f64 {
    count as f64
}
