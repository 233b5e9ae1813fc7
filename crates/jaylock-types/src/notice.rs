use std::time::Duration;

use crate::{RequestRate, WorkPercent};

/// What a backend server tells about itself in the head of a response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Notice {
    /// Requests a second that it takes from all routers together.
    pub limit: Option<RequestRate>,
    /// Whether it leaves and wants no new request from anyone.
    pub is_leaving: bool,
    /// Time for which it wants no request from this router.
    pub pause: Option<Duration>,
    /// Time for which it is still cold; 0 if it is not or doesn't say.
    pub cold: Duration,
    /// How long work takes there at the moment.
    pub work_time: Option<NamedWorkTime>,
}

/// Time for work that a backend server names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NamedWorkTime {
    /// A time in percent of the usual one.
    Percent(WorkPercent),
    /// Text that is no such time, or an absurd one.
    Invalid,
}

impl NamedWorkTime {
    /// Parses the time for work, which is the fourth figure of a load; one of three figures names none.
    #[must_use]
    pub fn from_load(load: &str) -> Option<Self> {
        let mut figures = load.split(',').skip(3);
        let percent = figures.next()?;
        let is_last = figures.next().is_none();
        let percent = percent.parse().ok().filter(|_| is_last);
        Some(percent.map_or(Self::Invalid, Self::Percent))
    }
}
