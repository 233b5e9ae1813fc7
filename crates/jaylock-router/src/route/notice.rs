use std::time::Duration;

use http::{HeaderName, HeaderValue, Response, StatusCode, header};
use jaylock_types::{NamedWorkTime, Notice};

use super::headers::RouteHeaders;

/// Longest cold time that is believed.
const MAX_COLD_TIME: Duration = Duration::from_mins(10);

/// Returns what a backend server tells about itself in the head of a response.
///
/// A value that is invalid or given twice tells nothing.
pub fn parse<B>(response: &Response<B>, names: &RouteHeaders) -> Notice {
    let limit = text(response, names.limit).and_then(|text| {
        let rate = text.parse();
        if let Err(error) = &rate {
            log::warn!(target: "router", "a backend server names no valid limit: {error}");
        }
        rate.ok()
    });
    let cold = text(response, names.cold).and_then(|text| {
        let cold = parse_millis(text);
        if cold.is_none() {
            log::warn!(target: "router", "a backend server names no valid remaining cold time: {}", text.escape_debug());
        }
        cold
    });
    let is_refusal = response.status() == StatusCode::SERVICE_UNAVAILABLE;
    let pause = text(response, header::RETRY_AFTER).filter(|_| is_refusal);
    Notice {
        limit,
        is_leaving: text(response, names.leaving) == Some("1"),
        pause: pause.and_then(parse_seconds),
        cold: cold.unwrap_or_default(),
        work_time: text(response, names.load).and_then(NamedWorkTime::from_load),
    }
}

/// Parses a positive number of seconds, fractions included.
fn parse_seconds(text: &str) -> Option<Duration> {
    let seconds: f64 = text.parse().ok()?;
    let pause = Duration::try_from_secs_f64(seconds).ok()?;
    (!pause.is_zero()).then_some(pause)
}

/// Parses a number of ms that is at least 0, fractions included, and at most the longest cold time that is believed.
fn parse_millis(text: &str) -> Option<Duration> {
    let ms: f64 = text.parse().ok()?;
    let time = Duration::try_from_secs_f64(ms / 1e3).ok()?;
    Some(time.min(MAX_COLD_TIME))
}

/// Returns the value of a header that occurs once.
fn text<B>(response: &Response<B>, name: impl TryInto<HeaderName>) -> Option<&str> {
    let name = name.try_into().ok()?;
    let mut values = response.headers().get_all(name).iter();
    match (values.next().map(HeaderValue::to_str), values.next()) {
        (Some(Ok(text)), None) => Some(text.trim()),
        _ => None,
    }
}
