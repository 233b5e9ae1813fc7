use jaylock_rpc::v1::BurnMinute;

use crate::clock::Minute;
use crate::minutes::{HOUR_SPAN_MINUTES, MINUTE_SPAN_MINUTES};
use crate::tally::Tally;

/// A period of time that ends now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Window {
    /// 5 minutes.
    FiveMinutes,
    /// 1 hour.
    Hour,
    /// 6 hours.
    SixHours,
    /// 3 days, the period of the error budget.
    ThreeDays,
}

impl Window {
    /// All windows, shortest first.
    pub const ALL: [Self; 4] = [
        Self::FiveMinutes,
        Self::Hour,
        Self::SixHours,
        Self::ThreeDays,
    ];

    /// Name in reports.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::FiveMinutes => "5m",
            Self::Hour => "1h",
            Self::SixHours => "6h",
            Self::ThreeDays => "3d",
        }
    }

    /// Length, in minutes.
    #[must_use]
    pub fn minutes(self) -> u64 {
        match self {
            Self::FiveMinutes => 5,
            Self::Hour => 60,
            Self::SixHours => 6 * 60,
            Self::ThreeDays => 3 * 24 * 60,
        }
    }

    /// Sums up the entries in the window.
    ///
    /// Uses hourly totals for the longest window and single minutes for the others.
    pub(crate) fn sum<'a>(
        self,
        entries: impl Iterator<Item = &'a BurnMinute>,
        now: Minute,
    ) -> Tally {
        let span = if self == Self::ThreeDays {
            HOUR_SPAN_MINUTES
        } else {
            MINUTE_SPAN_MINUTES
        };
        // The current minute is counted in addition to the complete ones.
        sum_entries(entries, span, now.minus(self.minutes()))
    }

    /// Sums up the hourly totals that overlap the window; only these have histograms.
    pub(crate) fn times<'a>(
        self,
        entries: impl Iterator<Item = &'a BurnMinute>,
        now: Minute,
    ) -> Tally {
        sum_entries(
            entries,
            HOUR_SPAN_MINUTES,
            now.minus(self.minutes()).hour_start(),
        )
    }
}

fn sum_entries<'a>(
    entries: impl Iterator<Item = &'a BurnMinute>,
    span: u32,
    first: Minute,
) -> Tally {
    let mut sum = Tally::default();
    let is_included = |entry: &&BurnMinute| entry.span == span && entry.minute >= first.0;
    for entry in entries.filter(is_included) {
        sum.add(&Tally::decode(entry.good, entry.bad, &entry.histogram));
    }
    sum
}
