use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use jaylock_tests::fleet::{HttpResponse, send_in_parts, send_raw, send_raw_within};

use super::KEY;

/// A caller that writes raw requests in the platform's format.
#[derive(Clone)]
pub struct Caller {
    address: SocketAddr,
    method: &'static str,
    path: String,
    headers: Vec<(String, String)>,
    body: String,
    is_chunked: bool,
}

/// A response as the caller received it.
#[derive(Debug)]
pub struct CallerResponse {
    /// Head and raw body.
    pub answer: HttpResponse,
    /// Body without the chunked framing.
    pub body: String,
    /// Whether the response is complete.
    pub is_complete: bool,
}

impl Caller {
    /// Creates a caller of a router, with a valid key and a request identifier.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            method: "GET",
            path: "/look/1".into(),
            headers: vec![
                ("Host".into(), "app.example".into()),
                ("Attempt-Id".into(), "9c41d07be2a35f68".into()),
                ("Key".into(), KEY.into()),
                ("Time-Budget".into(), "3000".into()),
            ],
            body: String::new(),
            is_chunked: false,
        }
    }

    /// Sets the method and the path.
    pub fn request(mut self, method: &'static str, path: &str) -> Self {
        self.method = method;
        self.path = path.into();
        self
    }

    /// Sets a header field and replaces one of the same name.
    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.retain(|(known, _)| known != name);
        self.headers.push((name.into(), value.into()));
        self
    }

    /// Adds a header field even if one of the same name exists.
    pub fn with_duplicate(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    /// Removes a header field.
    pub fn without(mut self, name: &str) -> Self {
        self.headers.retain(|(known, _)| known != name);
        self
    }

    /// Sets the body.
    pub fn body(mut self, text: &str) -> Self {
        self.body = text.into();
        self
    }

    /// Sets the body, which is sent in chunks.
    pub fn chunked_body(mut self, text: &str) -> Self {
        self.body = text.into();
        self.is_chunked = true;
        self
    }

    /// Sends the request on a new connection and reads the response until the connection ends.
    pub fn send(&self) -> CallerResponse {
        self.try_send().expect("an answer")
    }

    /// Sends the request like [`Caller::send`].
    ///
    /// # Errors
    /// When the connection fails before a byte of a response.
    pub fn try_send(&self) -> io::Result<CallerResponse> {
        send_raw(self.address, self.text().as_bytes()).map(CallerResponse::from)
    }

    /// Sends the request like [`Caller::try_send`], with another timeout.
    ///
    /// # Errors
    /// When the connection fails before a byte of a response.
    pub fn try_send_within(&self, timeout: Duration) -> io::Result<CallerResponse> {
        let text = self.text();
        send_raw_within(self.address, text.as_bytes(), timeout).map(CallerResponse::from)
    }

    /// Sends the request like [`Caller::send`], and calls a function before the last byte.
    ///
    /// # Errors
    /// When the connection fails before a byte of a response.
    pub fn try_send_in_parts(&self, before_last: impl FnOnce()) -> io::Result<CallerResponse> {
        let text = self.text();
        let (first, last) = text.as_bytes().split_at(text.len() - 1);
        send_in_parts(self.address, first, before_last, last).map(CallerResponse::from)
    }

    /// Returns the bytes of the request as text.
    pub fn text(&self) -> String {
        let Self {
            method, path, body, ..
        } = self;
        let headers = self.headers.iter().map(|(n, v)| format!("{n}: {v}\r\n"));
        let headers: String = headers.collect();
        let (framing, body) = if self.is_chunked {
            ("Transfer-Encoding: chunked".into(), encode_chunks(body))
        } else {
            (format!("Content-Length: {}", body.len()), body.clone())
        };
        format!("{method} {path} HTTP/1.1\r\n{headers}{framing}\r\nConnection: close\r\n\r\n{body}")
    }
}

impl From<HttpResponse> for CallerResponse {
    fn from(answer: HttpResponse) -> Self {
        let is_chunked = answer.header("transfer-encoding") == Some("chunked");
        let (body, is_complete) = if is_chunked {
            decode_chunks(&answer.body)
        } else {
            let length = answer.header("content-length").and_then(|l| l.parse().ok());
            (answer.body.clone(), length == Some(answer.body.len()))
        };
        Self {
            answer,
            body,
            is_complete,
        }
    }
}

impl CallerResponse {
    /// Whether it is a complete response with success.
    pub fn is_complete_stream(&self) -> bool {
        self.is_complete && self.status() == 200
    }

    /// HTTP status.
    pub fn status(&self) -> u16 {
        self.answer.status
    }
}

/// Encodes a body in two chunks.
fn encode_chunks(body: &str) -> String {
    let (first, second) = body.split_at(body.len() / 2);
    let [first, second] = [first, second].map(|chunk| format!("{:x}\r\n{chunk}\r\n", chunk.len()));
    format!("{first}{second}0\r\n\r\n")
}

/// Decodes a chunked body; returns the body and whether the last chunk was present.
fn decode_chunks(raw: &str) -> (String, bool) {
    let mut body = String::new();
    let mut rest = raw;
    while let Some((size, after)) = rest.split_once("\r\n") {
        let size = usize::from_str_radix(size.trim(), 16).unwrap_or(0);
        if size == 0 {
            return (body, true);
        }
        let Some(chunk) = after.get(..size) else {
            body.push_str(after);
            return (body, false);
        };
        body.push_str(chunk);
        rest = after.get(size + 2..).unwrap_or_default();
    }
    (body, false)
}
