use std::time::Duration;

use hdrhistogram::Histogram;
use hdrhistogram::serialization::{Deserializer, Serializer, V2Serializer};

/// Longest time that a histogram tells apart, in ms.
const LONGEST_MS: u64 = 3_600_000;
/// Significant decimal digits of the times in a histogram.
const DIGITS: u8 = 1;

/// Counts of good and bad requests, with a histogram of their times.
#[derive(Debug, Clone)]
pub struct Tally {
    /// Requests that kept the objective.
    pub good: u64,
    /// Requests that did not.
    pub bad: u64,
    times: Option<Histogram<u32>>,
}

impl Default for Tally {
    fn default() -> Self {
        // The bounds are constants that the library takes, so there always is a histogram.
        Self {
            good: 0,
            bad: 0,
            times: Histogram::new_with_max(LONGEST_MS, DIGITS).ok(),
        }
    }
}

impl Tally {
    /// Reads a tally as it was sent; an unreadable histogram counts as an empty one.
    #[must_use]
    pub fn read(good: u64, bad: u64, histogram: &[u8]) -> Self {
        let mut cursor = std::io::Cursor::new(histogram);
        let times = Deserializer::new().deserialize(&mut cursor).ok();
        Self {
            good,
            bad,
            times: times.or(Self::default().times),
        }
    }

    /// The histogram in the library's V2 form without compression.
    #[must_use]
    pub fn histogram(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        if let Some(times) = &self.times {
            // Writing to memory never fails.
            let _ = V2Serializer::new().serialize(times, &mut bytes);
        }
        bytes
    }

    /// Counts one request.
    pub fn count(&mut self, is_good: bool, time: Duration) {
        if is_good {
            self.good += 1;
        } else {
            self.bad += 1;
        }
        let ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        if let Some(times) = &mut self.times {
            times.saturating_record(ms);
        }
    }

    /// Adds the counts of another tally.
    pub fn add(&mut self, other: &Self) {
        self.good += other.good;
        self.bad += other.bad;
        if let (Some(times), Some(more)) = (&mut self.times, &other.times) {
            // Both have the same bounds, so nothing is out of range.
            let _ = times.add(more);
        }
    }

    /// Requests counted.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.good + self.bad
    }

    /// Time within which this share of the requests stayed; zero when there are none.
    #[must_use]
    pub fn quantile(&self, share: f64) -> Duration {
        let times = self.times.as_ref();
        Duration::from_millis(times.map_or(0, |t| t.value_at_quantile(share)))
    }
}
