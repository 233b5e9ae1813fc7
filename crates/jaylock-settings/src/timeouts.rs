use std::time::Duration;

use crate::key::{Key, Part};
use crate::value::{DURATION, duration};

/// How long the router waits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TimeoutSettings {
    /// Time for the first byte of a backend server's answer.
    pub first_byte: Duration,
    /// Longest silence within an answer.
    pub silence: Duration,
    /// Time for a whole request whose caller names no deadline.
    pub deadline: Duration,
    /// Longest time of a graceful shutdown.
    pub stop: Duration,
    /// How long a backend server counts as alive after it was last heard.
    pub backend: Duration,
}

impl Default for TimeoutSettings {
    fn default() -> Self {
        Self {
            first_byte: Duration::from_secs(5),
            silence: Duration::from_secs(5),
            deadline: Duration::from_mins(2),
            stop: Duration::from_mins(5),
            backend: Duration::from_secs(3),
        }
    }
}

impl Part for TimeoutSettings {
    const SECTION: &'static str = "timeouts";
    const KEYS: &'static [Key<Self>] = &[
        Key::optional("first_byte", DURATION, |s, v| {
            duration(v).map(|d| s.first_byte = d)
        }),
        Key::optional("silence", DURATION, |s, v| {
            duration(v).map(|d| s.silence = d)
        }),
        Key::optional("deadline", DURATION, |s, v| {
            duration(v).map(|d| s.deadline = d)
        }),
        Key::optional("stop", DURATION, |s, v| duration(v).map(|d| s.stop = d)),
        Key::optional("backend", DURATION, |s, v| {
            duration(v).map(|d| s.backend = d)
        }),
    ];
}

/// The list of addresses that callers ask for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AddressSettings {
    /// How long callers keep the list.
    pub keep: Duration,
}

impl Default for AddressSettings {
    fn default() -> Self {
        Self {
            keep: Duration::from_secs(5),
        }
    }
}

impl Part for AddressSettings {
    const SECTION: &'static str = "addresses";
    const KEYS: &'static [Key<Self>] = &[Key::optional("keep", DURATION, |s, v| {
        duration(v).map(|d| s.keep = d)
    })];
}
