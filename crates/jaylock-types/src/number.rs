use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// An error for text that is not a valid number or size.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("\"{text}\" is no {kind}: write {expected}")]
pub struct InvalidNumber {
    kind: &'static str,
    text: CompactString,
    expected: &'static str,
}

macro_rules! number {
    ($($(#[$doc:meta])* $name:ident: $kind:literal;)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The number after this one.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl Display for $name {
            fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
                Display::fmt(&self.0, f)
            }
        }

        impl FromStr for $name {
            type Err = InvalidNumber;

            fn from_str(text: &str) -> Result<Self, InvalidNumber> {
                let invalid = |_| InvalidNumber {
                    kind: $kind,
                    text: text.into(),
                    expected: "a whole number",
                };
                text.parse().map(Self).map_err(invalid)
            }
        }
    )*};
}

number! {
    /// Counts the leadership terms of the replicated log.
    Term: "term";
    /// Position of an entry in the replicated log, starting at 1.
    Index: "log index";
    /// Counts the accepted changes by operators.
    Revision: "revision";
    /// Counts the successive schedulers of a pool.
    Epoch: "epoch";
    /// Fencing number of an order to a model engine; a higher one supersedes a lower one.
    Fence: "fencing number";
    /// Identifies one start of a process; later starts have higher numbers.
    Incarnation: "incarnation";
    /// Number of generated or expected tokens.
    Tokens: "number of tokens";
    /// Share of capacity relative to other organisations.
    Weight: "weight";
}

/// A size in bytes, written as `64KiB`, `2MiB` or a bare number of bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ByteSize(pub usize);

/// Units of [`ByteSize`], largest first.
const UNITS: [(&str, usize); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

impl Display for ByteSize {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let divides = |unit: &usize| self.0 >= *unit && self.0.is_multiple_of(*unit);
        match UNITS.iter().find(|(_, unit)| divides(unit)) {
            Some((name, unit)) => write!(f, "{}{name}", self.0 / unit),
            None => write!(f, "{}B", self.0),
        }
    }
}

impl FromStr for ByteSize {
    type Err = InvalidNumber;

    fn from_str(text: &str) -> Result<Self, InvalidNumber> {
        let invalid = || InvalidNumber {
            kind: "size",
            text: text.into(),
            expected: "a whole number followed by B, KiB, MiB or GiB",
        };
        let suffix_start = text
            .find(|c: char| !c.is_ascii_digit())
            .unwrap_or(text.len());
        let (digits, suffix) = text.split_at(suffix_start);
        let count: usize = digits.parse().map_err(|_| invalid())?;
        let name = if suffix.is_empty() {
            "B"
        } else {
            suffix.trim()
        };
        let unit = UNITS
            .iter()
            .find(|(known, _)| *known == name)
            .ok_or_else(invalid)?;
        count.checked_mul(unit.1).map(Self).ok_or_else(invalid)
    }
}

/// A rate of requests with a resolution of a thousandth of a request a second, written as a decimal number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestRate {
    /// Requests in 1000 s.
    pub milli: u64,
}

impl RequestRate {
    /// Requests a second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        #[allow(clippy::cast_precision_loss)]
        let milli = self.milli as f64;
        milli / 1e3
    }

    /// This rate times a factor of at least 0.
    #[must_use]
    pub fn scaled(self, factor: f64) -> Self {
        Self::from_per_second(self.per_second() * factor)
    }

    /// A rate beyond the range, which is no limit in practice, becomes the largest one.
    fn from_per_second(per_second: f64) -> Self {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let milli = (per_second * 1e3) as u64;
        Self { milli }
    }
}

impl Display for RequestRate {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        Display::fmt(&self.per_second(), f)
    }
}

impl FromStr for RequestRate {
    type Err = InvalidNumber;

    fn from_str(text: &str) -> Result<Self, InvalidNumber> {
        let invalid = || InvalidNumber {
            kind: "rate of requests",
            text: text.into(),
            expected: "a decimal number of requests a second",
        };
        let per_second: f64 = text.trim().parse().map_err(|_| invalid())?;
        if !per_second.is_finite() || per_second < 0.0 {
            return Err(invalid());
        }
        Ok(Self::from_per_second(per_second))
    }
}

/// How long work takes at a backend server, in percent of the usual time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkPercent(u32);

impl WorkPercent {
    /// The usual time.
    pub const USUAL: Self = Self(100);
    /// Times beyond these are absurd: a backend server that works ten times as fast or as slowly as usual is broken,
    /// or its figure is.
    const LIMITS: [u32; 2] = [10, 1000];

    /// Creates the time; `None` if it is absurd.
    #[must_use]
    pub fn new(percent: u32) -> Option<Self> {
        let [least, most] = Self::LIMITS;
        (least..=most).contains(&percent).then_some(Self(percent))
    }

    /// The time in percent.
    #[must_use]
    pub fn get(self) -> u32 {
        self.0
    }
}

impl FromStr for WorkPercent {
    type Err = InvalidNumber;

    fn from_str(text: &str) -> Result<Self, InvalidNumber> {
        let invalid = || InvalidNumber {
            kind: "time for work",
            text: text.into(),
            expected: "a whole number of percent from 10 to 1000",
        };
        let percent = text.trim().parse().map_err(|_| invalid())?;
        Self::new(percent).ok_or_else(invalid)
    }
}

/// Part of a processor core, or several cores, with a resolution of a thousandth, written as a decimal number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProcessorShare(u32);

impl ProcessorShare {
    /// Shares beyond these, in thousandths of a core, are absurd.
    const LIMITS: [u32; 2] = [1, 64_000];

    /// Creates the share of so many thousandths of a core; `None` if it is absurd.
    #[must_use]
    pub fn new(thousandths: u32) -> Option<Self> {
        let [least, most] = Self::LIMITS;
        (least..=most)
            .contains(&thousandths)
            .then_some(Self(thousandths))
    }

    /// Thousandths of a core.
    #[must_use]
    pub fn thousandths(self) -> u32 {
        self.0
    }

    /// Cores.
    #[must_use]
    pub fn cores(self) -> f64 {
        f64::from(self.0) / 1e3
    }
}

impl Display for ProcessorShare {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        Display::fmt(&self.cores(), f)
    }
}

impl FromStr for ProcessorShare {
    type Err = InvalidNumber;

    fn from_str(text: &str) -> Result<Self, InvalidNumber> {
        let invalid = || InvalidNumber {
            kind: "share of a processor",
            text: text.into(),
            expected: "a decimal number of cores from 0.001 to 64",
        };
        let cores: f64 = text.trim().parse().map_err(|_| invalid())?;
        // Numbers beyond the range become its ends, which are refused.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let thousandths = (cores * 1e3).round() as u32;
        Self::new(thousandths).ok_or_else(invalid)
    }
}
