use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compio::net::TcpStream;
use cyper_core::HyperStream;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Timeout of a short call, from connecting to the end of the response.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a call has no usable response.
#[derive(Debug, Error)]
pub enum HttpError {
    /// Connecting failed.
    #[error("can't connect, try another address: {0}")]
    Connect(io::Error),
    /// The connection failed during the request.
    #[error("connection lost, try again: {0}")]
    Connection(#[from] hyper::Error),
    /// The response was not complete in time.
    #[error("no response in time, try another address")]
    Timeout,
    /// The response is not in the expected format.
    #[error("unexpected response, check the versions of both sides: {0}")]
    Decode(#[from] serde_json::Error),
    /// The status of the response is not 200.
    #[error("the response has status {0}")]
    Status(StatusCode),
    /// The request is invalid.
    #[error("invalid request, check the address and headers: {0}")]
    Request(#[from] http::Error),
}

/// Sends one request on a new connection and returns the response before its body is read.
///
/// Dropping the response closes the connection.
///
/// # Errors
/// Connecting failed, or the connection was lost before the head of the response.
pub async fn send(
    address: SocketAddr,
    mut request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, HttpError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(HttpError::Connect)?;
    let _ = stream.set_nodelay(true);
    let stream = HyperStream::new_plain(stream);
    let (mut sender, connection) = http1::handshake(stream).await?;
    compio::runtime::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(target: "standin", "connection to {address} ended: {error}");
        }
    })
    .detach();
    let host = HeaderValue::try_from(address.to_string()).map_err(http::Error::from)?;
    request.headers_mut().insert(header::HOST, host);
    Ok(sender.send_request(request).await?)
}

/// Posts a value as JSON and returns the status and the body of the response.
///
/// # Errors
/// As [`send`], or no complete response within 2 s.
pub async fn post<T: Serialize>(
    address: SocketAddr,
    path: &str,
    value: &T,
) -> Result<(StatusCode, Bytes), HttpError> {
    let request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::from(serde_json::to_vec(value)?))?;
    send_and_read(address, request).await
}

/// Requests a value as JSON.
///
/// # Errors
/// As [`send`], no complete response within 2 s, a status other than 200 or an unexpected format.
pub async fn read_json<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
) -> Result<T, HttpError> {
    let request = Request::builder().uri(path).body(Full::default())?;
    let (status, body) = send_and_read(address, request).await?;
    if status != StatusCode::OK {
        return Err(HttpError::Status(status));
    }
    Ok(serde_json::from_slice(&body)?)
}

async fn send_and_read(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<(StatusCode, Bytes), HttpError> {
    let call = async {
        let response = send(address, request).await?;
        let status = response.status();
        let body = response.into_body().collect().await?.to_bytes();
        Ok((status, body))
    };
    let result = compio::time::timeout(CALL_TIMEOUT, call).await;
    result.unwrap_or(Err(HttpError::Timeout))
}
