use std::ops::RangeInclusive;

use http::{HeaderMap, Response, StatusCode, header};

/// Valid statuses (RFC 9110, section 15).
const STATUSES: RangeInclusive<u16> = 100..=599;

/// Checks that a response has a valid status and is final, and that its body is framed in a way that the router reads.
///
/// The router asks for no other protocol and no transfer coding but chunks, so that a response with either is not meant for its
/// request. The HTTP library would take the first for a response without a body, and the second for one that the end of its
/// connection frames, with the coded bytes as its body.
///
/// # Errors
/// What is wrong with the response.
pub fn check<B>(response: &Response<B>) -> Result<(), &'static str> {
    if !STATUSES.contains(&response.status().as_u16()) {
        return Err("the answer has a status that HTTP knows no class of");
    }
    if response.status() == StatusCode::SWITCHING_PROTOCOLS {
        return Err("the answer changes the protocol, which was not asked for");
    }
    let mut codings = response.headers().get_all(header::TRANSFER_ENCODING).iter();
    match (codings.next(), codings.next()) {
        (None, _) => Ok(()),
        (Some(coding), None) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => Ok(()),
        _ => Err("the answer has a transfer coding that was not asked for"),
    }
}

/// Whether the end of a body shows, other than by the end of the connection.
pub fn is_framed(status: StatusCode, headers: &HeaderMap) -> bool {
    status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED
        || headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
}
