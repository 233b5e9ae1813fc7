use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::format_compact;
use http::{HeaderValue, Request, StatusCode, header};
use http_body_util::Full;
use jaylock_types::ByteSize;

use crate::body;
use crate::connection::Connection;
use crate::error::{AttemptError, with_timeout};

/// Result of a request on a connection of its own.
pub type Result<T, E = AttemptError> = std::result::Result<T, E>;

/// Reads a document of limited size from a backend server, on a connection of its own.
///
/// # Errors
/// Why there is no document, which includes any status other than 200.
pub async fn fetch(
    address: SocketAddr,
    path: &str,
    max_size: ByteSize,
    timeout: Duration,
) -> Result<Bytes> {
    let request = Request::get(path).body(Full::default());
    let request = request.map_err(|e| AttemptError::Invalid(format_compact!("{e}")))?;
    let (status, bytes) = request_once(address, request, max_size, timeout).await?;
    if status != StatusCode::OK {
        return Err(AttemptError::ErrorStatus(status, Bytes::new()));
    }
    Ok(bytes)
}

/// Sends a request to a backend server on a connection of its own, and reads the response, whose body is limited.
///
/// Each step takes at most `timeout`.
///
/// # Errors
/// Why there is no complete response.
pub async fn request_once(
    address: SocketAddr,
    mut request: Request<Full<Bytes>>,
    max_size: ByteSize,
    timeout: Duration,
) -> Result<(StatusCode, Bytes)> {
    let host = HeaderValue::try_from(address.to_string());
    let host = host.map_err(|e| AttemptError::Invalid(format_compact!("{e}")))?;
    let headers = request.headers_mut();
    headers.insert(header::HOST, host);
    headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    let opened = Connection::open(address, timeout).await;
    let mut connection = opened.map_err(|e| AttemptError::Unreachable(format_compact!("{e}")))?;
    let response = with_timeout(timeout, connection.send(request)).await??;
    let status = response.status();
    let bytes = body::read(response.into_body(), max_size, timeout).await?;
    connection.mark_used();
    Ok((status, bytes))
}
