use bytes::Bytes;
use http::{HeaderMap, StatusCode, header};

/// A complete response of a backend server.
#[derive(Debug, Clone)]
pub struct BufferedResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl BufferedResponse {
    /// Media type of the body.
    pub fn content_type(&self) -> String {
        let value = self.headers.get(header::CONTENT_TYPE);
        let value = value.and_then(|v| v.to_str().ok());
        value.unwrap_or("application/octet-stream").to_owned()
    }
}
