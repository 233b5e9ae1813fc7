use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::format_compact;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use jaylock_rpc::v1::route::Kind;

use super::context::RouteContext;
use super::headers::RouteHeaders;
use super::notice;
use super::request::RouteRequest;
use crate::connection::Connection;
use crate::error::{AttemptError, with_timeout};
use crate::origin::ExpectedOrigin;
use crate::response::set_header;
use crate::slot::Slot;

/// Statuses by which a router promises that a request did not run.
const PROMISES: [StatusCode; 3] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Destination of one attempt.
pub struct Destination<'a> {
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Slot at the backend server; no other one at this address may run the request.
    pub slot: &'a Slot,
    /// Whether the request was sent to this address before.
    pub is_tried: bool,
    /// Number of the last event that the caller has; unset for a new stream.
    pub last_event: Option<u64>,
}

/// Sends a request and waits for the head of its response, at most for `timeout`.
///
/// # Errors
/// [`AttemptError::Declined`], [`AttemptError::Unreachable`] and [`AttemptError::Excluded`] mean that the request did not run.
pub async fn send(
    context: &RouteContext,
    request: &RouteRequest,
    to: &Destination<'_>,
    timeout: Duration,
) -> Result<(Connection, Response<Incoming>), AttemptError> {
    let limits = &context.limits;
    let max_idle = match request.route.kind() {
        // A response to the attempt before names this request too.
        _ if to.is_tried => Duration::ZERO,
        Kind::Repeatable => limits.max_idle,
        Kind::Once | Kind::Stream => limits.max_idle_once,
    };
    let outgoing = || {
        let may_send = !to.slot.is_excluded();
        may_send.then(|| outgoing_request(context, request, to))
    };
    let sending = context
        .connections
        .send(to.address, max_idle, limits.connect_timeout, outgoing);
    let (mut connection, response) = with_timeout(timeout, sending).await??;
    let origin = ExpectedOrigin {
        header: context.names.request_id,
        id: request.caller_id.as_bytes(),
    };
    let is_refusal = is_refusal(&response, &context.names);
    let belongs = origin.check(&mut connection, &response, is_refusal);
    if matches!(belongs, Ok(()) | Err(AttemptError::Declined)) {
        to.slot
            .record_notice(&notice::parse(&response, &context.names));
    }
    belongs?;
    validate_head(&response, &context.names)?;
    Ok((connection, response))
}

fn outgoing_request(
    context: &RouteContext,
    request: &RouteRequest,
    to: &Destination<'_>,
) -> Request<Full<Bytes>> {
    let names = &context.names;
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.head.method.clone();
    *outgoing.uri_mut() = request.head.uri.clone();
    let headers = outgoing.headers_mut();
    let listed = listed_by_connection(request);
    for (name, value) in &request.head.headers {
        let is_listed = listed.iter().any(|l| l.eq_ignore_ascii_case(name.as_str()));
        if !is_listed && !names.is_stripped(name.as_str()) {
            headers.append(name.clone(), value.clone());
        }
    }
    set_header(headers, names.expected_backend, to.slot.backend());
    set_header(
        headers,
        names.timeout,
        &request.remaining().as_millis().max(1).to_string(),
    );
    if request.is_authenticated {
        set_header(headers, names.organisation, request.organisation.as_str());
    }
    if let Some(last_event) = to.last_event {
        set_header(headers, "last-event-id", &last_event.to_string());
    }
    if !request.body.is_empty() {
        headers.insert(
            header::CONTENT_LENGTH,
            HeaderValue::from(request.body.len()),
        );
    }
    outgoing
}

/// Returns the headers that the caller's `connection` header lists as hop-by-hop.
fn listed_by_connection(request: &RouteRequest) -> Vec<&str> {
    let values = request.head.headers.get_all(header::CONNECTION);
    let texts = values.into_iter().filter_map(|v| v.to_str().ok());
    texts.flat_map(|t| t.split(',').map(str::trim)).collect()
}

/// Whether a response says that its request did not run.
fn is_refusal(response: &Response<Incoming>, names: &RouteHeaders) -> bool {
    let status = response.status();
    let is_marked = response.headers().contains_key(names.not_run);
    status == StatusCode::MISDIRECTED_REQUEST || is_marked && !status.is_success()
}

/// Checks that a response is a backend server's own and can be forwarded as it is.
fn validate_head(response: &Response<Incoming>, names: &RouteHeaders) -> Result<(), AttemptError> {
    let (status, headers) = (response.status(), response.headers());
    if !headers.contains_key(names.seal) {
        return Err(AttemptError::Invalid("the answer has no seal".into()));
    }
    if PROMISES.contains(&status) {
        let reason = format_compact!("the answer is {status}, but does not say that it is not run");
        return Err(AttemptError::Invalid(reason));
    }
    if headers.contains_key(header::CONTENT_ENCODING) {
        return Err(AttemptError::Invalid("the answer is encoded".into()));
    }
    if !headers.contains_key(names.request_id) && status.is_success() {
        return Err(AttemptError::Invalid("the answer names no request".into()));
    }
    Ok(())
}
