use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::format_compact;
use http::{Request, StatusCode, header};
use http_body_util::Full;
use jaylock_types::ByteSize;

use crate::body;
use crate::connection::Connection;
use crate::error::{AttemptError, with_timeout};

/// Result of reading a document.
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
    let opened = Connection::open(address, timeout).await;
    let mut connection = opened.map_err(|e| AttemptError::Unreachable(format_compact!("{e}")))?;
    let sending = connection.send(request(address, path)?);
    let response = with_timeout(timeout, sending).await??;
    if response.status() != StatusCode::OK {
        return Err(AttemptError::ErrorStatus(response.status(), Bytes::new()));
    }
    let bytes = body::read(response.into_body(), max_size, timeout).await?;
    connection.mark_used();
    Ok(bytes)
}

fn request(address: SocketAddr, path: &str) -> Result<Request<Full<Bytes>>> {
    let request = Request::get(path)
        .header(header::HOST, address.to_string())
        .header(header::CONNECTION, "close");
    let request = request.body(Full::default());
    request.map_err(|e| AttemptError::Invalid(format_compact!("{e}")))
}
