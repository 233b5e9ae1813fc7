use std::str::FromStr;
use std::time::Duration;

/// Parses a value with its `FromStr` implementation.
pub(crate) fn parsed<T: FromStr>(text: &str) -> Option<T> {
    text.parse().ok()
}

/// Parses a duration greater than zero, such as `500ms` or `3s`.
pub(crate) fn duration(text: &str) -> Option<Duration> {
    let duration = humantime::parse_duration(text).ok()?;
    (!duration.is_zero()).then_some(duration)
}

/// Parses an integer of at least 1.
pub(crate) fn count<T: FromStr + Default + PartialEq>(text: &str) -> Option<T> {
    let count: T = text.parse().ok()?;
    (count != T::default()).then_some(count)
}

/// Form of a duration, for errors.
pub(crate) const DURATION: &str = "a duration greater than zero, such as 500ms, 3s or 10m";

/// Form of a count, for errors.
pub(crate) const COUNT: &str = "an integer of at least 1";

/// Form of a size, for errors.
pub(crate) const SIZE: &str = "a size such as 64KiB or 1MiB";

/// Form of an address, for errors.
pub(crate) const ADDRESS: &str = "an IP address with a port, such as 127.0.0.1:7080";
