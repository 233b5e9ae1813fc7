use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Timeout of connecting and of each read.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout that a request states in its header `x-deadline-ms`.
const REQUEST_TIMEOUT_MS: u32 = 3000;

/// An HTTP/1 response.
#[derive(Debug, Clone)]
pub struct HttpResponse {
    /// Status code; 0 when the response has no valid status line.
    pub status: u16,
    /// Status line and headers, in lower case.
    pub head: String,
    /// The body as received, with its transfer encoding.
    pub body: String,
}

impl HttpResponse {
    /// Returns the value of a header.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(':'));
        lines
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value.trim())
    }
}

/// Sends bytes to an address and reads until the server closes the connection or a read times out.
///
/// # Errors
/// When the connection fails or no byte is received.
pub fn send_raw(address: SocketAddr, bytes: &[u8]) -> io::Result<HttpResponse> {
    send_in_parts(address, bytes, || (), &[])
}

/// Sends bytes like [`send_raw`], in two parts between which it calls a function.
///
/// # Errors
/// When the connection fails or no byte is received.
pub fn send_in_parts(
    address: SocketAddr,
    first: &[u8],
    between: impl FnOnce(),
    second: &[u8],
) -> io::Result<HttpResponse> {
    let stream = TcpStream::connect_timeout(&address, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    exchange(stream, first, between, second)
}

/// Sends bytes like [`send_raw`], with another timeout of connecting, of each write and of each read.
///
/// # Errors
/// When the connection fails or no byte is received.
pub fn send_raw_within(
    address: SocketAddr,
    bytes: &[u8],
    timeout: Duration,
) -> io::Result<HttpResponse> {
    let stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    exchange(stream, bytes, || (), &[])
}

fn exchange(
    mut stream: TcpStream,
    first: &[u8],
    between: impl FnOnce(),
    second: &[u8],
) -> io::Result<HttpResponse> {
    // The server may refuse the request and close before reading everything.
    let _ = stream.write_all(first);
    between();
    let _ = stream.write_all(second);
    let mut read = Vec::new();
    let outcome = stream.read_to_end(&mut read);
    if read.is_empty() {
        outcome?;
    }
    let text = String::from_utf8_lossy(&read);
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head.split(' ').nth(1).and_then(|code| code.parse().ok());
    Ok(HttpResponse {
        status: status.unwrap_or_default(),
        head: head.to_ascii_lowercase(),
        body: body.to_owned(),
    })
}

/// Sends a GET request.
///
/// # Errors
/// When the connection fails or no byte is received.
pub fn get(address: SocketAddr, path: &str) -> io::Result<HttpResponse> {
    let text = format!("GET {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\r\n");
    send_raw(address, text.as_bytes())
}

/// Sends a POST request with a JSON body and an organisation's key.
///
/// # Errors
/// When the connection fails or no byte is received.
pub fn post(address: SocketAddr, path: &str, key: &str, body: &str) -> io::Result<HttpResponse> {
    let length = body.len();
    let text = format!(
        "POST {path} HTTP/1.1\r\nhost: {address}\r\nauthorization: Bearer {key}\r\n\
         content-type: application/json\r\nx-deadline-ms: {REQUEST_TIMEOUT_MS}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
    );
    send_raw(address, text.as_bytes())
}
