use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use jaylock_rpc::v1::route::Kind;

use super::context::RouteContext;
use super::headers::RouteHeaders;
use super::request::RouteRequest;
use crate::connection::Connection;
use crate::error::{AttemptError, with_timeout};
use crate::response::set_header;

/// Where one attempt goes.
pub struct Destination<'a> {
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Its identifier, so that no other one at this address runs the request.
    pub backend: &'a str,
    /// Number of the last event that was passed on, for a stream that goes on.
    pub after: u64,
}

/// Sends a request and waits for the head of an answer that belongs to it, for as long as `patience`.
///
/// # Errors
/// [`AttemptError::Declined`] and [`AttemptError::Unreachable`] say that it did not run.
pub async fn send(
    context: &RouteContext,
    request: &RouteRequest,
    to: &Destination<'_>,
    patience: Duration,
) -> Result<(Connection, Response<Incoming>), AttemptError> {
    let limits = &context.limits;
    let may_repeat = request.route.kind() == Kind::Repeatable;
    let fresh = if may_repeat {
        limits.max_idle
    } else {
        limits.max_idle_once
    };
    let message = || message(context, request, to);
    let exchange = context
        .connections
        .send(to.address, fresh, limits.connect_timeout, message);
    let (connection, response) = with_timeout(patience, exchange).await??;
    check_head(&response, request, &context.names)?;
    Ok((connection, response))
}

fn message(
    context: &RouteContext,
    request: &RouteRequest,
    to: &Destination<'_>,
) -> Request<Full<Bytes>> {
    let names = &context.names;
    let mut message = Request::new(Full::new(request.body.clone()));
    *message.method_mut() = request.head.method.clone();
    *message.uri_mut() = request.head.uri.clone();
    let headers = message.headers_mut();
    let listed = listed_by_connection(request);
    for (name, value) in &request.head.headers {
        let is_listed = listed.iter().any(|l| l.eq_ignore_ascii_case(name.as_str()));
        if !is_listed && !names.is_stripped(name.as_str()) {
            headers.append(name.clone(), value.clone());
        }
    }
    set_header(headers, names.expected_backend, to.backend);
    set_header(
        headers,
        names.timeout,
        &request.left().as_millis().max(1).to_string(),
    );
    if request.is_keyed {
        set_header(headers, names.organisation, request.organisation.as_str());
    }
    if to.after > 0 {
        set_header(headers, "last-event-id", &to.after.to_string());
    }
    if !request.body.is_empty() {
        headers.insert(
            header::CONTENT_LENGTH,
            HeaderValue::from(request.body.len()),
        );
    }
    message
}

/// Fields that the caller's `connection` field lists as its own.
fn listed_by_connection(request: &RouteRequest) -> Vec<&str> {
    let values = request.head.headers.get_all(header::CONNECTION);
    let texts = values.into_iter().filter_map(|v| v.to_str().ok());
    texts.flat_map(|t| t.split(',').map(str::trim)).collect()
}

/// Checks that an answer is this request's, and whether it says that the request did not run.
fn check_head(
    response: &Response<Incoming>,
    request: &RouteRequest,
    names: &RouteHeaders,
) -> Result<(), AttemptError> {
    let (status, headers) = (response.status(), response.headers());
    let echoed = headers.get(names.request_id);
    if echoed.is_some_and(|e| *e != request.attempt) {
        return Err(AttemptError::Invalid(
            "the answer is another request's".into(),
        ));
    }
    let is_declined = headers.contains_key(names.not_run) && !status.is_success();
    if is_declined || status == StatusCode::MISDIRECTED_REQUEST {
        return Err(AttemptError::Declined);
    }
    if !headers.contains_key(names.seal) {
        return Err(AttemptError::Invalid("the answer has no seal".into()));
    }
    if headers.contains_key(header::CONTENT_ENCODING) {
        return Err(AttemptError::Invalid("the answer is encoded".into()));
    }
    if echoed.is_none() && status.is_success() {
        return Err(AttemptError::Invalid("the answer names no request".into()));
    }
    Ok(())
}
