use jaylock_rpc::v1::BurnMinute;

use crate::clock::Minute;
use crate::minutes::{HOUR, SINGLE};
use crate::tally::Tally;

/// A stretch of time that ends now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Window {
    /// 5 minutes.
    FiveMinutes,
    /// 1 hour.
    Hour,
    /// 6 hours.
    SixHours,
    /// 3 days, over which the budget is reckoned.
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

    /// The name in reports.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::FiveMinutes => "5m",
            Self::Hour => "1h",
            Self::SixHours => "6h",
            Self::ThreeDays => "3d",
        }
    }

    /// Length in minutes.
    #[must_use]
    pub fn minutes(self) -> u64 {
        match self {
            Self::FiveMinutes => 5,
            Self::Hour => 60,
            Self::SixHours => 6 * 60,
            Self::ThreeDays => 3 * 24 * 60,
        }
    }

    /// Adds up the entries that lie in the window.
    ///
    /// The longest one is made of the totals of hours, the others of single minutes.
    pub(crate) fn sum<'a>(
        self,
        entries: impl Iterator<Item = &'a BurnMinute>,
        now: Minute,
    ) -> Tally {
        let span = if self == Self::ThreeDays {
            HOUR
        } else {
            SINGLE
        };
        // The minute in progress counts beside the whole ones.
        add_up(entries, span, now.before(self.minutes()))
    }

    /// Adds up the totals of the hours that reach into the window, which carry histograms.
    pub(crate) fn times<'a>(
        self,
        entries: impl Iterator<Item = &'a BurnMinute>,
        now: Minute,
    ) -> Tally {
        add_up(entries, HOUR, now.before(self.minutes()).hour())
    }
}

fn add_up<'a>(entries: impl Iterator<Item = &'a BurnMinute>, span: u32, first: Minute) -> Tally {
    let mut sum = Tally::default();
    let lies_within = |entry: &&BurnMinute| entry.span == span && entry.minute >= first.0;
    for entry in entries.filter(lies_within) {
        sum.add(&Tally::read(entry.good, entry.bad, &entry.histogram));
    }
    sum
}
