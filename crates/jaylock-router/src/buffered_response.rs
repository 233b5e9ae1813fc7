use bytes::Bytes;
use http::{HeaderMap, StatusCode, header};

/// The answer of a backend server, read to its end.
#[derive(Debug, Clone)]
pub struct BufferedResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// The whole body.
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
