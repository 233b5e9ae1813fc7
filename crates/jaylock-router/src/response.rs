use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use jaylock_observe::RunStatus;
use jaylock_rpc::v1::refusal::Reason;
use jaylock_types::RequestId;
use serde::Serialize;

use crate::body::{Body, ReadError};

/// Header with the identifier of a request.
pub const REQUEST_ID: &str = "x-request-id";
/// Header that says whether a request ran.
pub const RUN: &str = "x-run";
/// Header that marks an answer that was recorded earlier.
pub const RECORDED: &str = "x-recorded";

/// An answer that carries no result, with the reason and the remedy.
#[derive(Debug, Clone)]
pub struct ErrorResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Short word for programs.
    pub kind: &'static str,
    /// The reason, for people.
    pub message: CompactString,
    /// What the caller can do.
    pub remedy: &'static str,
    /// Whether the request ran.
    pub run: RunStatus,
    /// When to ask again.
    pub retry_after: Option<Duration>,
    /// Other addresses to ask.
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
    /// A refusal of a request of which no byte left for a backend server.
    pub fn not_run(
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
            run: RunStatus::NotRun,
            retry_after: None,
            routers: Vec::new(),
        }
    }

    /// A refusal in the words of a scheduler.
    pub fn from_scheduler(refusal: &jaylock_rpc::v1::Refusal) -> Self {
        let (status, kind, message) = match refusal.reason() {
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
            Reason::Overloaded | Reason::Unspecified => (
                StatusCode::SERVICE_UNAVAILABLE,
                "overloaded",
                "the fleet has more work than it can queue",
            ),
        };
        let wait = Duration::from_millis(refusal.retry_after_ms.into());
        Self::not_run(
            status,
            kind,
            message,
            "ask again after the time in retry-after",
        )
        .with_retry_after(wait)
    }

    /// Adds when to ask again.
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Changes what is said about the run.
    pub fn with_run(mut self, run: RunStatus) -> Self {
        self.run = run;
        self
    }

    /// Adds other addresses to ask.
    pub fn with_routers(mut self, routers: Vec<String>) -> Self {
        self.routers = routers;
        self
    }

    /// The JSON form of the refusal.
    pub fn to_json(&self) -> Vec<u8> {
        let error = ErrorDetails {
            kind: self.kind,
            message: &self.message,
            remedy: self.remedy,
            run: run_text(self.run),
        };
        let body = ErrorBody {
            error,
            routers: &self.routers,
        };
        serde_json::to_vec(&body).unwrap_or_default()
    }

    /// The refusal as an answer to a request.
    pub fn response(&self, request: &RequestId) -> Response<Body> {
        let mut response = json_response(request, self.status, self.run, self.to_json());
        if let Some(wait) = self.retry_after {
            let seconds = wait.as_millis().div_ceil(1000).max(1);
            set_header(response.headers_mut(), "retry-after", &seconds.to_string());
        }
        response
    }
}

impl From<ReadError> for ErrorResponse {
    fn from(error: ReadError) -> Self {
        match error {
            ReadError::TooLong => Self::not_run(
                StatusCode::PAYLOAD_TOO_LARGE,
                "too-long",
                "the body is over the bound of this fleet",
                "send a shorter body",
            ),
            ReadError::TooSlow => Self::not_run(
                StatusCode::REQUEST_TIMEOUT,
                "too-slow",
                "the body did not arrive in time",
                "send it again, faster",
            ),
            ReadError::Broken => Self::not_run(
                StatusCode::BAD_REQUEST,
                "truncated",
                "the body ended early or was malformed",
                "send it again with the right length",
            ),
        }
    }
}

/// A JSON answer.
pub fn json_response(
    request: &RequestId,
    status: StatusCode,
    run: RunStatus,
    body: impl Into<Bytes>,
) -> Response<Body> {
    let mut response = Response::new(Body::full(body));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    set_header(headers, header::CONTENT_TYPE.as_str(), "application/json");
    set_run_headers(headers, request, run);
    response
}

/// Puts the identifier of the request and whether it ran into an answer's head.
pub fn set_run_headers(headers: &mut HeaderMap, request: &RequestId, run: RunStatus) {
    set_header(headers, REQUEST_ID, request.as_str());
    set_header(headers, RUN, run_text(run));
}

/// Sets a header field; a value that no header takes is left out.
pub fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// The word of a run state in headers and bodies.
pub fn run_text(run: RunStatus) -> &'static str {
    match run {
        RunStatus::NotRun => "not-run",
        RunStatus::Ran => "ran",
        RunStatus::Unknown => "unknown",
    }
}
