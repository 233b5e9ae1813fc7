//! How fast each backend server of a pool works, relative to the mean of the pool.
//!
//! For pools whose backend servers differ: a third of the engines reads prompts at 1.7 times the mean and
//! the others at 0.7 times. With one rate for all, the slowest engines get as many prompts as the fastest.

use std::time::{Duration, Instant};

use jaylock_types::WorkPercent;

use crate::placement::observations::{
    CallTimes, Observations, WorkTimes, fit_delay, time_at_mean_pace,
};
use crate::placement::slowness::{PACE_LIMITS, Slowness};

/// Time in which the weight of a time for work that a response named falls from full to none.
///
/// Slowdowns of the target deployment last 600 ms. One that is noticed at a random moment still lasts after a
/// time t with the probability 1 - t / 600 ms, so that this weight gives the expected time.
pub const WORK_TIME_LIFETIME: Duration = Duration::from_millis(600);

/// Prefill below this, in tokens, is too short to show a pace.
const MIN_SAMPLE_TOKENS: u64 = 1000;
/// Expected prefill below this says nothing about an engine that was idle, as the delay of the first event
/// takes more of the time.
const MIN_IDLE_SAMPLE: Duration = Duration::from_millis(40);
/// Standard errors by which a time must differ from the pool's mean, for a backend server that had the pool's pace
/// before and for one that had its own. Delays of first events and calls of one service may differ a lot, and equal
/// backend servers would be ranked by that: three standard errors, at both, gave some of them a pace of their own.
const MIN_STANDARD_ERRORS: [f64; 2] = [4.0, 2.0];

/// The pace of one backend server, learned from its responses.
#[derive(Debug)]
pub struct ServerPace {
    observations: Observations,
    calls: CallTimes,
    slowness: Slowness,
    work_time: Option<NamedTime>,
    /// Since when prefill has been pending.
    busy_since: Option<Instant>,
    /// The last first event that was reported, with the tokens of its prompt.
    last_first_event: Option<(Instant, u64)>,
    /// Whether a prompt ended since then without a first event, so that it took an unknown part of the time.
    is_interrupted: bool,
}

impl Default for ServerPace {
    fn default() -> Self {
        Self {
            observations: Observations::default(),
            calls: CallTimes::default(),
            slowness: Slowness::USUAL,
            work_time: None,
            busy_since: None,
            last_first_event: None,
            is_interrupted: false,
        }
    }
}

/// Time for work that a response named.
#[derive(Debug, Clone, Copy)]
struct NamedTime {
    slowness: Slowness,
    /// When the response arrived.
    at: Instant,
}

impl NamedTime {
    /// Expected time now; that of a response from an instant ahead is as if it had arrived now.
    fn slowness(self, now: Instant) -> Slowness {
        let age = now.saturating_duration_since(self.at);
        let left = WORK_TIME_LIFETIME.saturating_sub(age);
        self.slowness
            .weighted(left.div_duration_f64(WORK_TIME_LIFETIME))
    }
}

/// Prefill of a prompt whose first event was reported.
#[derive(Debug, Clone, Copy)]
pub struct FirstEvent {
    pub granted_at: Instant,
    /// Tokens of the prompt that had to be computed.
    pub own_tokens: u64,
    /// Tokens that were pending at the grant, including those of the prompt.
    pub ahead_tokens: u64,
    /// Expected time for the tokens of the prompt at the pool's pace.
    pub expected: Duration,
    /// Estimated delay of a first event besides prefill.
    pub delay: Duration,
}

impl FirstEvent {
    /// When the work began that ended with this event, and whether the engine was idle before.
    ///
    /// Returns `None` if that can't be told.
    fn begin(
        &self,
        busy_since: Option<Instant>,
        previous: Option<(Instant, u64)>,
    ) -> Option<(Instant, bool)> {
        let busy_since = busy_since?;
        let Some((at, tokens)) = previous.filter(|(at, _)| *at > busy_since) else {
            return Some((busy_since, true));
        };
        let was_only_one_ahead = self.ahead_tokens <= self.own_tokens.saturating_add(tokens);
        // The engine may have finished the prompt before, and be idle, during the delay of its first event.
        let idle_until = self.granted_at + self.delay;
        if at > self.granted_at && was_only_one_ahead && at <= idle_until + self.delay {
            return (at <= idle_until).then_some((self.granted_at, true));
        }
        Some((at, false))
    }
}

impl ServerPace {
    /// Expected time for work now, relative to the pool's mean.
    pub fn slowness(&self, now: Instant) -> Slowness {
        self.slowness.times(self.work_time(now))
    }

    /// Time for work that was learned from the responses of the last seconds, relative to the pool's mean.
    pub fn learned(&self) -> Slowness {
        self.slowness
    }

    /// Time for work that responses named lately, relative to the usual time of this backend server.
    pub fn work_time(&self, now: Instant) -> Slowness {
        let named = self.work_time.map(|named| named.slowness(now));
        named.unwrap_or(Slowness::USUAL)
    }

    /// Sets the time for work that a response named, unless a later response is known.
    ///
    /// A figure beyond the limits of a pace is limited, as it may be forged.
    pub fn set_work_time(&mut self, percent: WorkPercent, at: Instant) {
        if self.work_time.is_some_and(|known| known.at > at) {
            return;
        }
        let [slowest, fastest] = PACE_LIMITS;
        let slowness = f64::from(percent.get()) / 100.0;
        let slowness = slowness.clamp(1.0 / fastest, 1.0 / slowest);
        self.work_time = Some(NamedTime {
            slowness: Slowness::from_factor(slowness),
            at,
        });
    }

    /// Discards what is known about the current work of an earlier start; the machine is taken to be the same.
    pub fn restart(&mut self) {
        self.busy_since = None;
        self.last_first_event = None;
        self.is_interrupted = false;
        self.work_time = None;
    }

    /// Records a prompt with uncached tokens that is sent to the engine.
    pub fn record_prefill(&mut self, own_tokens: u64, ahead_tokens: u64, now: Instant) {
        if ahead_tokens <= own_tokens {
            self.busy_since = Some(now);
            self.is_interrupted = false;
        }
    }

    /// Records that a prompt ended without a first event.
    pub fn record_interruption(&mut self) {
        self.is_interrupted = true;
    }

    /// Adds a first event as an observation of the prefill.
    ///
    /// The time counts from the first event before, or from the grant if the engine was idle then; only the latter
    /// includes the constant delay of a first event. So all time in which prefill is pending counts once, whether the
    /// engine computes one prompt after the other or in turns.
    pub fn record_first_event(&mut self, event: &FirstEvent, now: Instant) {
        let begin = event.begin(self.busy_since, self.last_first_event);
        self.last_first_event = Some((now, event.own_tokens));
        let is_interrupted = std::mem::take(&mut self.is_interrupted);
        let Some((begin, is_first)) = begin.filter(|_| !is_interrupted) else {
            return;
        };
        let is_short = event.own_tokens < MIN_SAMPLE_TOKENS;
        if is_short || (is_first && event.expected < MIN_IDLE_SAMPLE) {
            return;
        }
        // What the backend server names as unusual is no part of its lasting pace. So a figure that is always
        // wrong makes up for itself after some observations.
        let time = now.saturating_duration_since(begin);
        let time = time.mul_f64(1.0 / self.work_time(now).factor());
        #[allow(clippy::cast_precision_loss)]
        let work = event.own_tokens as f64 / 1e3;
        let expected = event.expected.as_secs_f64() * 1e3;
        self.observations
            .add(work, time.as_secs_f64() * 1e3, is_first, expected);
    }

    /// Adds the time of a complete call of a plain service.
    pub fn record_call(&mut self, time: Duration, now: Instant) {
        self.calls
            .add(time.as_secs_f64() * 1e3 / self.work_time(now).factor());
    }
}

/// Recomputes the paces of the backend servers of a pool from what was observed.
///
/// A pace is relative to the mean of those that have been observed, and the others have the pool's.
/// Returns the delay of a first event besides prefill.
pub fn update_paces(paces: &mut [&mut ServerPace]) -> Duration {
    let observations = || paces.iter().map(|pace| &pace.observations);
    let delay = fit_delay(observations());
    let times = || observations().filter_map(|o| o.work_times(delay));
    let work_times = WorkTimes {
        fitted: time_at_mean_pace(times().map(|times| times.fitted)),
        total: time_at_mean_pace(times().map(|times| times.total)),
    };
    let call_times = paces.iter().filter_map(|pace| pace.calls.known_mean());
    let call_time = time_at_mean_pace(call_times);
    for pace in paces {
        let [for_usual, for_own] = MIN_STANDARD_ERRORS;
        let is_usual = pace.slowness == Slowness::USUAL;
        let min_errors = if is_usual { for_usual } else { for_own };
        let prefill = pace.observations.pace(work_times, delay, min_errors);
        let own = prefill.or_else(|| pace.calls.pace(call_time, min_errors));
        pace.slowness = own.map_or(Slowness::USUAL, Slowness::from_pace);
    }
    Duration::from_secs_f64(delay / 1e3)
}
