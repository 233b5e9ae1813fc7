use std::convert::Infallible;
use std::io;
use std::time::Duration;

use bytes::Bytes;
use compio::net::{TcpListener, TcpStream};
use cyper_core::{CompioTimer, HyperStream};
use http::{Request, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Collected, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use serde::Serialize;
use thiserror::Error;

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Body of a response; an error closes the connection.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Error of a handler that closes the connection without a response.
#[derive(Debug, Clone, Copy, Error)]
#[error("the connection is closed without a response")]
pub struct NoResponse;

/// Serves HTTP/1 until the returned future is dropped, with one task for each connection.
pub async fn serve<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Result<Response<Body>, NoResponse>> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                compio::runtime::spawn(serve_connection(stream, handler.clone())).detach();
            }
            Err(error) => {
                log::warn!(target: "standin", "accept failed: {error}");
                compio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve_connection<H, F>(stream: TcpStream, handler: H)
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Result<Response<Body>, NoResponse>>,
{
    let _ = stream.set_nodelay(true);
    let stream = HyperStream::new_plain(stream);
    let connection = http1::Builder::new()
        .timer(CompioTimer)
        .serve_connection(stream, service_fn(handler));
    if let Err(error) = connection.await {
        log::debug!(target: "standin", "connection ended: {error}");
    }
}

/// Reads a body to its end.
///
/// # Errors
/// The connection was lost, or the body is larger than 16 MiB.
pub async fn read_body(body: Incoming) -> Result<Bytes, NoResponse> {
    let collected = Limited::new(body, MAX_BODY_BYTES).collect().await;
    collected.map(Collected::to_bytes).map_err(|_| NoResponse)
}

/// Returns a response with a body of known length.
#[must_use]
pub fn full_response(
    status: StatusCode,
    content_type: &'static str,
    body: Bytes,
) -> Response<Body> {
    let body = Full::new(body).map_err(|never: Infallible| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    let content_type = http::HeaderValue::from_static(content_type);
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// Returns a response with a value as JSON.
#[must_use]
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    full_response(status, "application/json", body.into())
}

/// Returns a response which reports that the request did not run.
#[must_use]
pub fn not_run_response(reason: &str) -> Response<Body> {
    let body = serde_json::json!({"error": {"kind": "not-run", "message": reason}});
    let mut response = json_response(StatusCode::SERVICE_UNAVAILABLE, &body);
    let value = http::HeaderValue::from_static("true");
    response.headers_mut().insert("x-not-run", value);
    response
}
