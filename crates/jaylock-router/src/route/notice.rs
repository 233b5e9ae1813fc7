use std::time::Duration;

use http::{HeaderName, HeaderValue, Response, StatusCode, header};
use jaylock_types::{NamedWorkTime, Notice};

use super::headers::RouteHeaders;

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
    let is_refusal = response.status() == StatusCode::SERVICE_UNAVAILABLE;
    let pause = text(response, header::RETRY_AFTER).filter(|_| is_refusal);
    Notice {
        limit,
        is_leaving: text(response, names.leaving) == Some("1"),
        pause: pause.and_then(parse_seconds),
        work_time: text(response, names.load).and_then(NamedWorkTime::from_load),
    }
}

/// Parses a positive number of seconds, fractions included.
fn parse_seconds(text: &str) -> Option<Duration> {
    let seconds: f64 = text.parse().ok()?;
    let pause = Duration::try_from_secs_f64(seconds).ok()?;
    (!pause.is_zero()).then_some(pause)
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
