use std::fmt::{self, Display, Formatter};
use std::str::FromStr;
use std::time::Duration;

use jaylock_types::Tokens;

use crate::key::{Key, SettingsSection};
use crate::value::{COUNT, DURATION, count, duration, parsed};

/// Service-level objectives of the burn report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObjectiveSettings {
    /// Target share of requests that end with a complete response.
    pub availability: Percentage,
    /// Threshold for the time to the first token.
    pub first_token: Duration,
    /// Target share of requests whose first token arrives within that threshold.
    pub first_token_target: Percentage,
    /// Threshold for the time that a short request waits for a slot.
    pub short_wait: Duration,
    /// Target share of short requests that wait no longer than that threshold.
    pub short_wait_target: Percentage,
    /// Threshold for the completion time of a long request.
    pub completion: Duration,
    /// Target share of long requests that complete within that threshold.
    pub completion_target: Percentage,
    /// Maximum number of response tokens of a short request; the others are long requests.
    pub short_tokens: Tokens,
}

impl Default for ObjectiveSettings {
    fn default() -> Self {
        Self {
            availability: Percentage(99_900),
            first_token: Duration::from_secs(1),
            first_token_target: Percentage(95_000),
            short_wait: Duration::from_secs(1),
            short_wait_target: Percentage(99_000),
            completion: Duration::from_mins(10),
            completion_target: Percentage(99_000),
            short_tokens: Tokens(64),
        }
    }
}

impl SettingsSection for ObjectiveSettings {
    const SECTION: &'static str = "objectives";
    const KEYS: &'static [Key<Self>] = &[
        Key::optional("availability", TARGET, |s, v| {
            parsed(v).map(|p| s.availability = p)
        }),
        Key::optional("first_token", DURATION, |s, v| {
            duration(v).map(|d| s.first_token = d)
        }),
        Key::optional("first_token_target", TARGET, |s, v| {
            parsed(v).map(|p| s.first_token_target = p)
        }),
        Key::optional("short_wait", DURATION, |s, v| {
            duration(v).map(|d| s.short_wait = d)
        }),
        Key::optional("short_wait_target", TARGET, |s, v| {
            parsed(v).map(|p| s.short_wait_target = p)
        }),
        Key::optional("completion", DURATION, |s, v| {
            duration(v).map(|d| s.completion = d)
        }),
        Key::optional("completion_target", TARGET, |s, v| {
            parsed(v).map(|p| s.completion_target = p)
        }),
        Key::optional("short_tokens", COUNT, |s, v| {
            count(v).map(|n| s.short_tokens = Tokens(n))
        }),
    ];
}

/// A share above 0 % and below 100 %, in thousandths of a percent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Percentage(u32);

/// 100 % in thousandths of a percent.
const ONE_HUNDRED_PERCENT: u32 = 100_000;

impl Percentage {
    /// Converts the share to parts per million.
    #[must_use]
    pub fn to_ppm(self) -> u32 {
        self.0 * (1_000_000 / ONE_HUNDRED_PERCENT)
    }

    /// Converts the share to a number between 0 and 1.
    #[must_use]
    pub fn ratio(self) -> f64 {
        f64::from(self.0) / f64::from(ONE_HUNDRED_PERCENT)
    }
}

impl Display for Percentage {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let text = format!("{}.{:03}", self.0 / 1000, self.0 % 1000);
        let short = text.trim_end_matches('0').trim_end_matches('.');
        write!(f, "{short}%")
    }
}

impl FromStr for Percentage {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.strip_suffix('%').ok_or(TARGET)?.trim_end();
        let (integer, fraction) = number.split_once('.').unwrap_or((number, "0"));
        let is_number = |text: &str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
        if !is_number(integer) || !is_number(fraction) || integer.len() > 2 || fraction.len() > 3 {
            return Err(TARGET);
        }
        let thousandths: u32 = format!("{integer}{fraction:0<3}")
            .parse()
            .map_err(|_| TARGET)?;
        match thousandths {
            0 => Err(TARGET),
            share => Ok(Self(share)),
        }
    }
}

/// Form of a target, for errors.
const TARGET: &str = "a percentage below 100% with at most three decimals, such as 99.9%";
