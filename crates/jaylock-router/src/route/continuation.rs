use http::{Response, StatusCode, header};

/// Media type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";

/// Why a response does not continue a stream.
pub const NO_CONTINUATION: &str = "the response does not continue the stream";
/// Why a response without an event does not complete a stream.
pub const NO_EVENT: &str = "the response ended before its first event";

/// Whether a response may go on with a stream that the caller has a part of: another success may be an error in its text.
pub fn may_continue<B>(response: &Response<B>) -> bool {
    let media_type = response.headers().get(header::CONTENT_TYPE);
    let is_event_stream = media_type.is_none_or(|value| {
        let text = value.to_str().unwrap_or_default();
        let name = text.split(';').next().unwrap_or_default();
        name.trim().eq_ignore_ascii_case(EVENT_STREAM)
    });
    response.status() == StatusCode::OK && is_event_stream
}
