//! Work and times that were observed at backend servers, and the estimates of their paces.

/// Inverse weight of the newest observation: 900 prompts per second at 90 engines are 10 per second at each,
/// so that a pace follows a lasting change within some 3 s and averages over slowdowns of 0.6 s.
const WINDOW: f64 = 32.0;
/// Observations from which a backend server has a pace of its own; 8 let the noise of the first ones decide.
const MIN_OBSERVATIONS: u32 = 12;
/// Factor by which one observation may differ from the expected time, so that a pause of the engine or of a
/// router counts as little more than a slow prompt.
const MAX_SAMPLE_FACTOR: f64 = 4.0;
/// Weight, in observations, of the delay that was fitted over the whole pool, and there of no delay at all.
/// It decides where each engine gets prompts of one size, from which its delay can't be told.
const PRIOR_WEIGHT: f64 = 8.0;
/// Longest delay of a first event besides prefill, in ms; engines of the target deployments take 20 to 90 ms.
const MAX_DELAY_MS: f64 = 150.0;
/// Least part of an observed time that is prefill, whatever delay was estimated.
const MIN_WORK_PART: f64 = 0.25;
/// Inverse weight of the newest call in the mean time of a backend server's calls.
const CALL_WINDOW: u32 = 64;

/// Weighted sums over the observed work and times of one backend server, for a least-squares fit of
/// `time = delay (of the first prompt after a pause) + work x time per work`.
#[derive(Debug, Default, Clone, Copy)]
pub struct Observations {
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
    /// Adds an observation; `expected` is the expected time before any is known.
    pub fn add(&mut self, work: f64, time: f64, is_first: bool, expected: f64) {
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
    pub fn work_times(&self, delay: f64) -> Option<WorkTimes> {
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
    pub fn pace(&self, pool: WorkTimes, delay: f64, min_errors: f64) -> Option<f64> {
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
pub struct WorkTimes {
    /// Of the least-squares fit.
    pub fitted: f64,
    /// All time by all work.
    pub total: f64,
}

/// Times of one backend server's calls, in ms.
#[derive(Debug, Default)]
pub struct CallTimes {
    count: u32,
    mean: f64,
    mean_square: f64,
}

impl CallTimes {
    /// Adds the time of a call.
    pub fn add(&mut self, time: f64) {
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
    pub fn known_mean(&self) -> Option<f64> {
        let is_known = self.count >= MIN_OBSERVATIONS && self.mean > 0.0;
        is_known.then_some(self.mean)
    }

    /// The pace of a backend server if that of the pool's mean takes this time for a call.
    pub fn pace(&self, pool_time: f64, min_errors: f64) -> Option<f64> {
        let mean = self.known_mean()?;
        let variance = (self.mean_square - mean * mean).max(0.0);
        let standard_error = (variance / f64::from(self.count.min(CALL_WINDOW))).sqrt();
        let is_significant = (mean - pool_time).abs() > standard_error * min_errors;
        is_significant.then_some(pool_time / mean)
    }
}

/// Time for a unit of work at the mean pace of backend servers that take these times.
pub fn time_at_mean_pace(times: impl Iterator<Item = f64>) -> f64 {
    let rates = times.map(|time| 1.0 / time);
    let (sum, count) = rates.fold((0.0, 0.0), |(sum, count), rate| (sum + rate, count + 1.0));
    count / sum
}

/// Delay of a first event besides prefill, which all backend servers of the pool have in common.
///
/// It is fitted with a time per work for each backend server, or for the pool as a whole where that tells little.
pub fn fit_delay<'a>(observations: impl Iterator<Item = &'a Observations> + Clone) -> f64 {
    let observations = observations.filter(|o| o.count >= MIN_OBSERVATIONS);
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
