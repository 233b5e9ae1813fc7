use std::net::SocketAddr;
use std::time::Duration;

use http::HeaderMap;
use serde::Serialize;

/// A request of a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub enum CallerRequest {
    /// A chat completion.
    Chat {
        /// Name of the model.
        model: String,
        /// Prompt, which determines the text of the response.
        prompt: String,
        /// Whether the response is a stream of server-sent events.
        stream: bool,
    },
    /// A call of a plain service, executed at most once.
    Call {
        /// Name of the service.
        service: String,
        /// Path below the service.
        path: String,
        /// Body.
        body: String,
        /// Idempotency key.
        key: String,
    },
}

/// Whether a request ran, as the header `x-run` reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum RunStatus {
    /// `not-run`.
    NotRun,
    /// `ran`.
    Ran,
    /// `unknown`.
    Unknown,
    /// The response has no valid `x-run`.
    Missing,
}

impl RunStatus {
    /// Reads the header `x-run` of a response.
    #[must_use]
    pub fn from_headers(headers: &HeaderMap) -> Self {
        let value = headers.get("x-run").and_then(|v| v.to_str().ok());
        match value {
            Some("not-run") => Self::NotRun,
            Some("ran") => Self::Ran,
            Some("unknown") => Self::Unknown,
            _ => Self::Missing,
        }
    }
}

/// Result of one attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub enum AttemptResult {
    /// The response is complete and correct.
    #[serde(rename = "Whole")]
    Complete,
    /// The status was not 200.
    Refused {
        /// Body of the response.
        text: String,
        /// Value of the header `retry-after`.
        retry_after: Option<Duration>,
    },
    /// The stream ended with an `error` event.
    Failed(String),
    /// The connection failed or the idle timeout passed before the end of the response.
    #[serde(rename = "Cut")]
    Interrupted(String),
    /// The response is not the expected one, or the request could not be built.
    Wrong(String),
}

/// One attempt to send a request.
#[derive(Debug, Clone, Serialize)]
pub struct Attempt {
    /// Address that the request was sent to.
    pub address: SocketAddr,
    /// HTTP status; unset without the head of a response.
    pub status: Option<u16>,
    /// Whether the request ran, as reported.
    pub run: RunStatus,
    /// Value of the header `x-request-id`.
    #[serde(rename = "request")]
    pub request_id: String,
    /// Result of the attempt.
    #[serde(rename = "end")]
    pub result: AttemptResult,
}

/// Outcome of a request with all its attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Outcome {
    /// The response is complete and correct.
    Served,
    /// The response reports that it is unknown whether the call ran.
    Unknown,
    /// The request was refused and must not be retried.
    Refused,
    /// The timeout of the request does not allow another attempt.
    GaveUp,
    /// The response is not the expected one, or the request could not be built.
    Wrong,
}

/// A request, its attempts and its outcome.
#[derive(Debug, Clone, Serialize)]
pub struct RequestResult {
    /// The request.
    #[serde(rename = "errand")]
    pub request: CallerRequest,
    /// All attempts, in order.
    pub attempts: Vec<Attempt>,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Time from the start of the first attempt to the outcome.
    #[serde(rename = "took")]
    pub total_time: Duration,
}
