use std::time::Duration;

use hdrhistogram::Histogram;
use hdrhistogram::serialization::{Deserializer, Serializer, V2Serializer};
use jaylock_types::long_millis;

/// Longest time in a histogram; longer times are recorded as this one.
const MAX_TIME_MS: u64 = 3_600_000;
/// Precision of the times in a histogram, in decimal digits.
const SIGNIFICANT_DIGITS: u8 = 1;

/// Numbers of good and bad requests, with a histogram of their times.
#[derive(Debug, Clone)]
pub struct Tally {
    /// Requests that met the objective.
    pub good: u64,
    /// Requests that missed the objective.
    pub bad: u64,
    times: Option<Histogram<u32>>,
}

impl Default for Tally {
    fn default() -> Self {
        // The library accepts these constant bounds, so there always is a histogram.
        Self {
            good: 0,
            bad: 0,
            times: Histogram::new_with_max(MAX_TIME_MS, SIGNIFICANT_DIGITS).ok(),
        }
    }
}

impl Tally {
    /// Creates a tally from its encoded form; an invalid histogram is replaced by an empty one.
    #[must_use]
    pub fn decode(good: u64, bad: u64, histogram: &[u8]) -> Self {
        let mut cursor = std::io::Cursor::new(histogram);
        let times = Deserializer::new().deserialize(&mut cursor).ok();
        Self {
            good,
            bad,
            times: times.or(Self::default().times),
        }
    }

    /// The histogram in the V2 format of `HdrHistogram`, without compression.
    #[must_use]
    pub fn encode_histogram(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        if let Some(times) = &self.times {
            // Writing to memory never fails.
            let _ = V2Serializer::new().serialize(times, &mut bytes);
        }
        bytes
    }

    /// Adds one request.
    pub fn record(&mut self, is_good: bool, time: Duration) {
        if is_good {
            self.good += 1;
        } else {
            self.bad += 1;
        }
        let ms = long_millis(time);
        if let Some(times) = &mut self.times {
            times.saturating_record(ms);
        }
    }

    /// Adds the requests of another tally.
    pub fn add(&mut self, other: &Self) {
        self.good += other.good;
        self.bad += other.bad;
        if let (Some(times), Some(added)) = (&mut self.times, &other.times) {
            // Both histograms have the same bounds, so no value is out of range.
            let _ = times.add(added);
        }
    }

    /// Total number of requests.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.good + self.bad
    }

    /// Time that a share of the requests didn't exceed; zero when there are no requests.
    #[must_use]
    pub fn quantile(&self, share: f64) -> Duration {
        let times = self.times.as_ref();
        Duration::from_millis(times.map_or(0, |t| t.value_at_quantile(share)))
    }
}
