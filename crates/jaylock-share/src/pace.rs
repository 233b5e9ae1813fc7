//! How fast each backend server of a pool works, relative to the mean of the pool.
//!
//! For pools whose backend servers differ: a third of the engines reads prompts at 1.7 times the mean and
//! the others at 0.7 times. With one rate for all, the slowest engines get as many prompts as the fastest.

use std::time::{Duration, Instant};

use jaylock_types::WorkPercent;

/// Time in which the weight of a time for work that a response named falls from full to none.
///
/// Slowdowns of the target deployment last 600 ms. One that is noticed at a random moment still lasts after a
/// time t with the probability 1 - t / 600 ms, so that this weight gives the expected time.
pub const WORK_TIME_LIFETIME: Duration = Duration::from_millis(600);

/// Inverse weight of the newest observation: 900 prompts per second at 90 engines are 10 per second at each,
/// so that a pace follows a lasting change within some 3 s and averages over slowdowns of 0.6 s.
const WINDOW: f64 = 32.0;
/// Observations from which a backend server has a pace of its own; 8 let the noise of the first ones decide.
const MIN_OBSERVATIONS: u32 = 12;
/// Prefill below this, in tokens, is too short to show a pace.
const MIN_SAMPLE_TOKENS: u64 = 1000;
/// Factor by which one observation may differ from the expected time, so that a pause of the engine or of a
/// router counts as little more than a slow prompt.
const MAX_SAMPLE_FACTOR: f64 = 4.0;
/// Expected prefill below this says nothing about an engine that was idle, as the delay of the first event
/// takes more of the time.
const MIN_IDLE_SAMPLE: Duration = Duration::from_millis(40);
/// Weight, in observations, of the delay that was fitted over the whole pool, and there of no delay at all.
/// It decides where each engine gets prompts of one size, from which its delay can't be told.
const PRIOR_WEIGHT: f64 = 8.0;
/// Longest delay of a first event besides prefill, in ms; engines of the target deployments take 20 to 90 ms.
const MAX_DELAY_MS: f64 = 150.0;
/// Least part of an observed time that is prefill, whatever delay was estimated.
const MIN_WORK_PART: f64 = 0.25;
/// Slowest and fastest pace that a backend server may have, relative to the pool's.
const PACE_LIMITS: [f64; 2] = [0.25, 4.0];
/// Paces that count as the pool's, as a choice between equal engines by noise would only scatter cached parts. In played
/// loads with delays of 20 to 90 ms the estimates of equal engines left this band in a hundredth of the cases, for
/// which `MIN_STANDARD_ERRORS` accounts.
const USUAL_PACES: [f64; 2] = [0.8, 1.25];

/// Inverse weight of the newest call in the mean time of a backend server's calls.
const CALL_WINDOW: u32 = 64;
/// Standard errors by which a time must differ from the pool's mean, for a backend server that had the pool's pace
/// before and for one that had its own. Delays of first events and calls of one service may differ a lot, and equal
/// backend servers would be ranked by that: three standard errors, at both, gave some of them a pace of their own.
const MIN_STANDARD_ERRORS: [f64; 2] = [4.0, 2.0];

/// Time that a backend server takes for work, in thousandths of the pool's mean time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Slowness(u32);

impl Slowness {
    /// That of a backend server with the pool's pace.
    pub const USUAL: Self = Self(1000);

    /// Work at the pool's pace that takes as long as this work at this pace.
    pub fn scale(self, work: u64) -> u64 {
        if self == Self::USUAL {
            return work;
        }
        work.saturating_mul(u64::from(self.0)) / u64::from(Self::USUAL.0)
    }

    /// Work that is done at this pace in the time of this work at the pool's pace.
    pub fn unscale(self, work: u64) -> u64 {
        if self == Self::USUAL {
            return work;
        }
        work.saturating_mul(u64::from(Self::USUAL.0)) / u64::from(self.0.max(1))
    }

    /// The time in percent of the pool's.
    pub fn percent(self) -> u32 {
        self.0 * 100 / Self::USUAL.0
    }

    /// The time for work that takes longer by both factors.
    fn times(self, other: Self) -> Self {
        if other == Self::USUAL {
            return self;
        }
        Self(self.0 * other.0 / Self::USUAL.0)
    }

    /// The pace in percent of the pool's.
    pub fn pace_percent(self) -> u32 {
        100 * Self::USUAL.0 / self.0.max(1)
    }

    fn factor(self) -> f64 {
        f64::from(self.0.max(1)) / f64::from(Self::USUAL.0)
    }

    /// Limits a pace and takes one that is nearly the pool's for the pool's.
    fn from_pace(pace: f64) -> Self {
        let [slowest, fastest] = PACE_LIMITS;
        let [lower, upper] = USUAL_PACES;
        if !pace.is_finite() || (lower..=upper).contains(&pace) {
            return Self::USUAL;
        }
        Self::from_factor(1.0 / pace.clamp(slowest, fastest))
    }

    /// The time for work that takes longer by this factor.
    fn from_factor(factor: f64) -> Self {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        Self((factor * f64::from(Self::USUAL.0)).round() as u32)
    }
}

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
        let left = WORK_TIME_LIFETIME.saturating_sub(age).as_millis();
        let lifetime = WORK_TIME_LIFETIME.as_millis();
        let (usual, named) = (u128::from(Slowness::USUAL.0), u128::from(self.slowness.0));
        let mean = (named * left + usual * (lifetime - left)) / lifetime;
        Slowness(u32::try_from(mean).unwrap_or(u32::MAX))
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

/// Weighted sums over the observed work and times of one backend server, for a least-squares fit of
/// `time = delay (of the first prompt after a pause) + work x time per work`.
#[derive(Debug, Default, Clone, Copy)]
struct Observations {
    count: u32,
    /// First prompts after a pause: how many, their work and their time.
    first_count: f64,
    first_work: f64,
    first_time: f64,
    total: f64,
    total_work: f64,
    total_time: f64,
    squared_work: f64,
    squared_time: f64,
    work_by_time: f64,
}

impl Observations {
    fn add(&mut self, work: f64, time: f64, is_first: bool, expected: f64) {
        let known = self.work_times(0.0);
        let expected = known.map_or(expected, |known| known.total * work);
        let max_time = expected * MAX_SAMPLE_FACTOR + if is_first { MAX_DELAY_MS } else { 0.0 };
        let time = time.min(max_time);
        self.count = self.count.saturating_add(1);
        let kept = 1.0 - 1.0 / WINDOW;
        let first = f64::from(u8::from(is_first));
        let add = |sum: &mut f64, value: f64| *sum = *sum * kept + value;
        add(&mut self.first_count, first);
        add(&mut self.first_work, first * work);
        add(&mut self.first_time, first * time);
        add(&mut self.total, 1.0);
        add(&mut self.total_work, work);
        add(&mut self.total_time, time);
        add(&mut self.squared_work, work * work);
        add(&mut self.squared_time, time * time);
        add(&mut self.work_by_time, work * time);
    }

    /// Adds the observations of another backend server.
    fn merge(&mut self, other: &Self) {
        self.first_count += other.first_count;
        self.first_work += other.first_work;
        self.first_time += other.first_time;
        self.squared_work += other.squared_work;
        self.work_by_time += other.work_by_time;
    }

    /// Times for a unit of work, if enough was observed.
    fn work_times(&self, delay: f64) -> Option<WorkTimes> {
        if self.count < MIN_OBSERVATIONS {
            return None;
        }
        let limited = |time: f64, with_delay: f64| {
            let time = time.max(with_delay * MIN_WORK_PART);
            (time.is_finite() && time > 0.0).then_some(time)
        };
        let fitted = self.work_by_time - delay * self.first_work;
        let total = self.total_time - delay * self.first_count;
        Some(WorkTimes {
            fitted: limited(
                fitted / self.squared_work,
                self.work_by_time / self.squared_work,
            )?,
            total: limited(total / self.total_work, self.total_time / self.total_work)?,
        })
    }

    /// Standard error of the time for a unit of work.
    fn standard_error(&self, time_per_work: f64, delay: f64) -> f64 {
        let fitted = delay * (delay * self.first_count + 2.0 * time_per_work * self.first_work)
            + time_per_work * time_per_work * self.squared_work;
        let common = delay * self.first_time + time_per_work * self.work_by_time;
        let squared_residuals = (self.squared_time - 2.0 * common + fitted).max(0.0);
        (squared_residuals / self.total / self.squared_work).sqrt()
    }

    /// The pace of a backend server if that of the pool's mean takes these times for a unit of work.
    ///
    /// Of the two estimates the one that is nearer to the pool's counts, as each is misled by other things: the fit by
    /// prompts that are computed in turns, and the total by the delays of first events.
    fn pace(&self, pool: WorkTimes, delay: f64, min_errors: f64) -> Option<f64> {
        let own = self.work_times(delay)?;
        let error = self.standard_error(own.fitted, delay);
        if (own.fitted - pool.fitted).abs() <= error * min_errors {
            return None;
        }
        let (fitted, total) = (pool.fitted / own.fitted, pool.total / own.total);
        match (fitted < 1.0, total < 1.0) {
            (true, true) => Some(fitted.max(total)),
            (false, false) => Some(fitted.min(total)),
            _ => None,
        }
    }

    /// Numerator and denominator of the delay that fits these observations best.
    fn delay_fit(&self) -> [f64; 2] {
        let work = self.first_work / self.squared_work;
        let numerator = self.first_time - self.work_by_time * work;
        let denominator = self.first_count - self.first_work * work;
        [numerator, denominator]
    }
}

/// Times that a backend server takes for a unit of work, by two estimates.
#[derive(Debug, Clone, Copy)]
struct WorkTimes {
    /// Of the least-squares fit.
    fitted: f64,
    /// All time by all work.
    total: f64,
}

/// Times of one backend server's calls, in ms.
#[derive(Debug, Default)]
struct CallTimes {
    count: u32,
    mean: f64,
    mean_square: f64,
}

impl CallTimes {
    fn add(&mut self, time: f64) {
        let time = match self.known_mean() {
            Some(mean) => time.min(mean * MAX_SAMPLE_FACTOR),
            None => time,
        };
        self.count = self.count.saturating_add(1);
        let weight = 1.0 / f64::from(self.count.min(CALL_WINDOW));
        self.mean += (time - self.mean) * weight;
        self.mean_square += (time * time - self.mean_square) * weight;
    }

    /// The mean, if enough calls were observed.
    fn known_mean(&self) -> Option<f64> {
        let is_known = self.count >= MIN_OBSERVATIONS && self.mean > 0.0;
        is_known.then_some(self.mean)
    }

    /// The pace of a backend server if that of the pool's mean takes this time for a call.
    fn pace(&self, pool_time: f64, min_errors: f64) -> Option<f64> {
        let mean = self.known_mean()?;
        let variance = (self.mean_square - mean * mean).max(0.0);
        let standard_error = (variance / f64::from(self.count.min(CALL_WINDOW))).sqrt();
        let is_significant = (mean - pool_time).abs() > standard_error * min_errors;
        is_significant.then_some(pool_time / mean)
    }
}

/// Time for a unit of work at the mean pace of backend servers that take these times.
fn time_at_mean_pace(times: impl Iterator<Item = f64>) -> f64 {
    let rates = times.map(|time| 1.0 / time);
    let (sum, count) = rates.fold((0.0, 0.0), |(sum, count), rate| (sum + rate, count + 1.0));
    count / sum
}

/// Delay of a first event besides prefill, which all backend servers of the pool have in common.
///
/// It is fitted with a time per work for each backend server, or for the pool as a whole where that tells little.
fn fit_delay<'a>(observations: impl Iterator<Item = &'a Observations> + Clone) -> f64 {
    let mut pool = Observations::default();
    observations.clone().for_each(|other| pool.merge(other));
    let [numerator, denominator] = pool.delay_fit();
    let prior = limit_delay(numerator / (denominator + PRIOR_WEIGHT));
    let fits = observations.map(Observations::delay_fit);
    let start = [prior * PRIOR_WEIGHT, PRIOR_WEIGHT];
    let [numerator, denominator] = fits.fold(start, |sum, fit| [sum[0] + fit[0], sum[1] + fit[1]]);
    limit_delay(numerator / denominator)
}

fn limit_delay(delay: f64) -> f64 {
    if delay.is_finite() {
        delay.clamp(0.0, MAX_DELAY_MS)
    } else {
        0.0
    }
}

/// Recomputes the paces of the backend servers of a pool from what was observed.
///
/// A pace is relative to the mean of those that have been observed, and the others have the pool's.
/// Returns the delay of a first event besides prefill.
pub fn update_paces(paces: &mut [&mut ServerPace]) -> Duration {
    let observations = || paces.iter().map(|pace| &pace.observations);
    let known = observations().filter(|o| o.count >= MIN_OBSERVATIONS);
    let delay = fit_delay(known);
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
