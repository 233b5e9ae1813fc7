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
/// Observations from which a backend server has a pace of its own.
const MIN_OBSERVATIONS: u32 = 8;
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
/// Paces that count as the pool's. Over 32 prompts of different sizes the estimates of equal engines
/// differ by up to some 15 %, and a choice between equal engines by noise would only scatter cached parts.
const USUAL_PACES: [f64; 2] = [0.8, 1.25];

/// Inverse weight of the newest call in the mean time of a backend server's calls.
const CALL_WINDOW: u32 = 64;
/// Standard errors by which the mean time of calls must differ from the pool's. The calls of one service may differ
/// a lot, and equal backend servers are chosen by their load.
const MIN_STANDARD_ERRORS: f64 = 3.0;

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
    /// When the last first event was reported.
    last_first_event: Option<Instant>,
}

impl Default for ServerPace {
    fn default() -> Self {
        Self {
            observations: Observations::default(),
            calls: CallTimes::default(),
            slowness: Slowness::USUAL,
            work_time: None,
            last_first_event: None,
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
    /// When the engine began to read the prompt and whether it was idle before, given its first event before.
    ///
    /// Returns `None` if that can't be told.
    fn begin(&self, previous: Option<Instant>) -> Option<(Instant, bool)> {
        // The engine may read the prompt during the delay of the first event before.
        let idle_until = self.granted_at + self.delay;
        match previous.filter(|at| *at > self.granted_at) {
            Some(at) if at > idle_until + self.delay => Some((at, false)),
            Some(at) if at > idle_until => None,
            // What was ahead ended without a first event, at an unknown time.
            None if self.ahead_tokens > self.own_tokens => None,
            _ => (self.expected >= MIN_IDLE_SAMPLE).then_some((self.granted_at, true)),
        }
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
        self.last_first_event = None;
        self.work_time = None;
    }

    /// Adds a first event as an observation of the prefill.
    ///
    /// The time counts from the first event before, as an engine reads one prompt after the other, or from
    /// the grant if the engine was idle then; only the latter includes the constant delay of a first event.
    /// Engines that interleave prompts finish some of them together, which evens out over several observations.
    pub fn record_first_event(&mut self, event: &FirstEvent, now: Instant) {
        let previous = self.last_first_event.replace(now);
        if event.own_tokens < MIN_SAMPLE_TOKENS {
            return;
        }
        let Some((begin, is_first)) = event.begin(previous) else {
            return;
        };
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

    /// Whether enough was observed for a pace.
    fn is_known(&self) -> bool {
        self.observations.count >= MIN_OBSERVATIONS
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
    squared_work: f64,
    work_by_time: f64,
}

impl Observations {
    fn add(&mut self, work: f64, time: f64, is_first: bool, expected: f64) {
        let expected = match self.time_per_work(0.0) {
            Some(known) if self.count >= MIN_OBSERVATIONS => known * work,
            _ => expected,
        };
        let max_time = expected * MAX_SAMPLE_FACTOR + if is_first { MAX_DELAY_MS } else { 0.0 };
        let time = time.min(max_time);
        self.count = self.count.saturating_add(1);
        let kept = 1.0 - 1.0 / WINDOW;
        let first = f64::from(u8::from(is_first));
        let add = |sum: &mut f64, value: f64| *sum = *sum * kept + value;
        add(&mut self.first_count, first);
        add(&mut self.first_work, first * work);
        add(&mut self.first_time, first * time);
        add(&mut self.squared_work, work * work);
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

    /// Time for a unit of work, if a first event takes this delay besides.
    fn time_per_work(&self, delay: f64) -> Option<f64> {
        let with_delay = self.work_by_time / self.squared_work;
        let without = (self.work_by_time - delay * self.first_work) / self.squared_work;
        let time = without.max(with_delay * MIN_WORK_PART);
        (time.is_finite() && time > 0.0).then_some(time)
    }

    /// Numerator and denominator of the delay that fits these observations best.
    fn delay_fit(&self) -> [f64; 2] {
        let work = self.first_work / self.squared_work;
        let numerator = self.first_time - self.work_by_time * work;
        let denominator = self.first_count - self.first_work * work;
        [numerator, denominator]
    }
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
    fn pace(&self, pool_time: f64) -> Option<f64> {
        let mean = self.known_mean()?;
        let variance = (self.mean_square - mean * mean).max(0.0);
        let standard_error = (variance / f64::from(self.count.min(CALL_WINDOW))).sqrt();
        let is_significant = (mean - pool_time).abs() > standard_error * MIN_STANDARD_ERRORS;
        is_significant.then_some(pool_time / mean)
    }
}

/// Time of a call at the mean pace of the backend servers.
fn mean_call_time<'a>(calls: impl Iterator<Item = &'a CallTimes>) -> f64 {
    let rates = calls.filter_map(|calls| Some(1.0 / calls.known_mean()?));
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
    let known = paces.iter().map(|pace| &**pace);
    let known = known.filter(|pace| pace.is_known());
    let delay = fit_delay(known.clone().map(|pace| &pace.observations));
    let rate = |pace: &ServerPace| Some(1.0 / pace.observations.time_per_work(delay)?);
    let (sum, count) = known
        .filter_map(rate)
        .fold((0.0, 0.0), |(sum, count), rate| (sum + rate, count + 1.0));
    let call_time = mean_call_time(paces.iter().map(|pace| &pace.calls));
    for pace in paces {
        let prefill = rate(pace).filter(|_| pace.is_known());
        let prefill = prefill.map(|own| own * count / sum);
        let own = prefill.or_else(|| pace.calls.pace(call_time));
        pace.slowness = own.map_or(Slowness::USUAL, Slowness::from_pace);
    }
    Duration::from_secs_f64(delay / 1e3)
}
