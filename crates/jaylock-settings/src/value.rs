use std::str::FromStr;
use std::time::Duration;

/// Reads a value that knows its own form.
pub(crate) fn parsed<T: FromStr>(text: &str) -> Option<T> {
    text.parse().ok()
}

/// Reads a duration longer than nothing, such as `500ms` or `3s`.
pub(crate) fn duration(text: &str) -> Option<Duration> {
    let duration = humantime::parse_duration(text).ok()?;
    (!duration.is_zero()).then_some(duration)
}

/// Reads a whole number from 1.
pub(crate) fn count<T: FromStr + Default + PartialEq>(text: &str) -> Option<T> {
    let count: T = text.parse().ok()?;
    (count != T::default()).then_some(count)
}

/// What a duration looks like.
pub(crate) const DURATION: &str = "a duration longer than nothing, such as 500ms, 3s or 10m";

/// What a whole number looks like.
pub(crate) const COUNT: &str = "a whole number from 1";

/// What a size looks like.
pub(crate) const SIZE: &str = "a size such as 64KiB or 1MiB";

/// What an address looks like.
pub(crate) const ADDRESS: &str = "an IP address with a port, such as 127.0.0.1:7080";
