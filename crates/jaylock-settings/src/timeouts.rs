use std::time::Duration;

use crate::key::{Key, SettingsSection};
use crate::value::{DURATION, duration};

/// Timeouts of the router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TimeoutSettings {
    /// Timeout for the first byte of a backend server's response.
    pub first_byte: Duration,
    /// Longest time without a byte within a backend server's response.
    pub silence: Duration,
    /// Timeout of a whole request if the caller sets no deadline.
    pub deadline: Duration,
    /// Maximum duration of a graceful shutdown.
    pub stop: Duration,
    /// How long a backend server counts as alive after its last report.
    pub backend: Duration,
    /// Longest time that an event of a stream may take through a router to its caller.
    pub event: Duration,
}

impl Default for TimeoutSettings {
    fn default() -> Self {
        Self {
            first_byte: Duration::from_secs(5),
            silence: Duration::from_secs(5),
            deadline: Duration::from_mins(2),
            stop: Duration::from_mins(5),
            backend: Duration::from_secs(3),
            event: Duration::from_millis(120),
        }
    }
}

impl SettingsSection for TimeoutSettings {
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
        Key::optional("event", DURATION, |s, v| duration(v).map(|d| s.event = d)),
    ];
}

/// Settings of the address list that callers request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AddressSettings {
    /// How long callers may cache the list.
    pub keep: Duration,
}

impl Default for AddressSettings {
    fn default() -> Self {
        Self {
            keep: Duration::from_secs(5),
        }
    }
}

impl SettingsSection for AddressSettings {
    const SECTION: &'static str = "addresses";
    const KEYS: &'static [Key<Self>] = &[Key::optional("keep", DURATION, |s, v| {
        duration(v).map(|d| s.keep = d)
    })];
}
