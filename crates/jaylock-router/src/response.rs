use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use jaylock_observe::RunStatus;
use jaylock_rpc::v1::refusal::Reason;
use jaylock_types::RequestId;
use serde::Serialize;

use crate::body::{Body, ReadError};

/// Header with the request identifier.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the run status of a request.
pub const RUN_HEADER: &str = "x-run";
/// Header that marks a response recorded by an earlier run.
pub const RECORDED_HEADER: &str = "x-recorded";

/// Error code of requests that are refused because others like them crashed backend servers.
pub const QUARANTINED: &str = "quarantined";

/// A response without a result, with a reason and a remedy.
#[derive(Debug, Clone)]
pub struct ErrorResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Error code for programs.
    pub kind: &'static str,
    /// Reason in plain text.
    pub message: CompactString,
    /// Action that the caller can take.
    pub remedy: &'static str,
    /// Whether the request ran.
    pub run_status: RunStatus,
    /// Delay before the caller should retry.
    pub retry_after: Option<Duration>,
    /// Addresses of other routers that the caller can use.
    pub routers: Vec<String>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetails<'a>,
    #[serde(skip_serializing_if = "<[String]>::is_empty")]
    routers: &'a [String],
}

#[derive(Serialize)]
struct ErrorDetails<'a> {
    kind: &'a str,
    message: &'a str,
    remedy: &'a str,
    run: &'a str,
}

impl ErrorResponse {
    /// Creates an error for a request that did not run; [`Self::with_run_status`] sets another run status.
    pub fn new(
        status: StatusCode,
        kind: &'static str,
        message: impl Into<CompactString>,
        remedy: &'static str,
    ) -> Self {
        Self {
            status,
            kind,
            message: message.into(),
            remedy,
            run_status: RunStatus::NotRun,
            retry_after: None,
            routers: Vec::new(),
        }
    }

    /// Creates the error for a request whose work was cancelled because the instance stops.
    pub fn cancelled() -> Self {
        Self::new(
            StatusCode::BAD_GATEWAY,
            "stopped",
            "this instance stopped before the answer was complete",
            "ask another instance, if the request may be repeated",
        )
        .with_run_status(RunStatus::Unknown)
    }

    /// Converts a scheduler's refusal.
    pub fn from_scheduler(refusal: &jaylock_rpc::v1::Refusal) -> Self {
        let delay = Duration::from_millis(refusal.retry_after_ms.into());
        let (status, kind, message) = match refusal.reason() {
            Reason::Quarantined => return Self::quarantined(delay),
            Reason::QueueFull => (
                StatusCode::TOO_MANY_REQUESTS,
                "queue-full",
                "too many requests of this organisation wait",
            ),
            Reason::NoBackend => (
                StatusCode::SERVICE_UNAVAILABLE,
                "no-backend",
                "no backend server serves this now",
            ),
            Reason::UnknownStream => (
                StatusCode::SERVICE_UNAVAILABLE,
                "unknown-stream",
                "it is not known which version of the backend servers began this stream",
            ),
            Reason::Overloaded | Reason::Unspecified => (
                StatusCode::SERVICE_UNAVAILABLE,
                "overloaded",
                "the fleet has more work than it can queue",
            ),
        };
        Self::new(
            status,
            kind,
            message,
            "ask again after the time in retry-after",
        )
        .with_retry_after(delay)
    }

    /// Creates the error for a request that is like others which crashed backend servers.
    pub fn quarantined(remaining: Duration) -> Self {
        Self::new(
            StatusCode::SERVICE_UNAVAILABLE,
            QUARANTINED,
            "a part of this prompt, or this request itself, crashed several backend servers",
            "leave that part out, or ask again after the time in retry-after",
        )
        .with_retry_after(remaining)
    }

    /// Sets the delay before the caller should retry.
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Sets the run status.
    pub fn with_run_status(mut self, run_status: RunStatus) -> Self {
        self.run_status = run_status;
        self
    }

    /// Sets the addresses of other routers.
    pub fn with_routers(mut self, routers: Vec<String>) -> Self {
        self.routers = routers;
        self
    }

    /// Serialises the error as JSON.
    pub fn to_json(&self) -> Vec<u8> {
        let error = ErrorDetails {
            kind: self.kind,
            message: &self.message,
            remedy: self.remedy,
            run: run_status_text(self.run_status),
        };
        let body = ErrorBody {
            error,
            routers: &self.routers,
        };
        serde_json::to_vec(&body).unwrap_or_default()
    }

    /// Converts the error into the HTTP response to a request.
    pub fn to_response(&self, request: &RequestId) -> Response<Body> {
        let mut response = json_response(request, self.status, self.run_status, self.to_json());
        if let Some(delay) = self.retry_after {
            let seconds = delay.as_millis().div_ceil(1000).max(1);
            set_header(response.headers_mut(), "retry-after", &seconds.to_string());
        }
        response
    }
}

impl From<ReadError> for ErrorResponse {
    fn from(error: ReadError) -> Self {
        match error {
            ReadError::TooLong => Self::new(
                StatusCode::PAYLOAD_TOO_LARGE,
                "too-long",
                "the body is over the bound of this fleet",
                "send a shorter body",
            ),
            ReadError::TooSlow => Self::new(
                StatusCode::REQUEST_TIMEOUT,
                "too-slow",
                "the body did not arrive in time",
                "send it again, faster",
            ),
            ReadError::NoMemory => Self::new(
                StatusCode::SERVICE_UNAVAILABLE,
                "bodies-full",
                "the bodies of requests in progress are at their bound",
                "ask again after a moment, or another instance",
            ),
            ReadError::Broken => Self::new(
                StatusCode::BAD_REQUEST,
                "truncated",
                "the body ended early or was malformed",
                "send it again with the right length",
            ),
        }
    }
}

/// Creates a JSON response.
pub fn json_response(
    request: &RequestId,
    status: StatusCode,
    run_status: RunStatus,
    body: impl Into<Bytes>,
) -> Response<Body> {
    let mut response = Response::new(Body::full(body));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    set_header(headers, header::CONTENT_TYPE.as_str(), "application/json");
    set_run_headers(headers, request, run_status);
    response
}

/// Sets the headers with the request identifier and the run status.
pub fn set_run_headers(headers: &mut HeaderMap, request: &RequestId, run_status: RunStatus) {
    set_header(headers, REQUEST_ID_HEADER, request.as_str());
    set_header(headers, RUN_HEADER, run_status_text(run_status));
}

/// Sets a header, unless the value is not valid in a header.
pub fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Text of a run status in headers and bodies.
pub fn run_status_text(run_status: RunStatus) -> &'static str {
    match run_status {
        RunStatus::NotRun => "not-run",
        RunStatus::Ran => "ran",
        RunStatus::Unknown => "unknown",
    }
}
