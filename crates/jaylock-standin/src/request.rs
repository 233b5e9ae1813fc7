use std::net::SocketAddr;
use std::time::Duration;

use http::HeaderMap;
use serde::Serialize;

/// What a caller wants.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub enum CallerRequest {
    /// A model's answer.
    Chat {
        /// Name of the model.
        model: String,
        /// Prompt, which decides the answer.
        prompt: String,
        /// Whether the answer comes as server-sent events.
        stream: bool,
    },
    /// A call of a plain service that runs at most once.
    Call {
        /// Name of the service.
        service: String,
        /// Path below the service.
        path: String,
        /// Body.
        body: String,
        /// Key under which it is sent again.
        key: String,
    },
}

/// Whether a request ran, as the system says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum RunStatus {
    /// `not-run`.
    NotRun,
    /// `ran`.
    Ran,
    /// `unknown`.
    Unknown,
    /// The system said nothing.
    Missing,
}

impl RunStatus {
    /// Reads the header of an answer.
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

/// How one try ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub enum AttemptResult {
    /// The whole answer came, and it is the right one.
    #[serde(rename = "Whole")]
    Complete,
    /// An answer came that is no success.
    Refused {
        /// Body of the answer.
        text: String,
        /// When the system says to ask again.
        retry_after: Option<Duration>,
    },
    /// The stream ended with an explicit error.
    Failed(String),
    /// The connection ended, or fell silent, before the end of the answer.
    #[serde(rename = "Cut")]
    Interrupted(String),
    /// What came as whole is not the answer to this request.
    Wrong(String),
}

/// One try.
#[derive(Debug, Clone, Serialize)]
pub struct Attempt {
    /// Where it was sent.
    pub address: SocketAddr,
    /// HTTP status, once the head of the answer came.
    pub status: Option<u16>,
    /// Whether it ran, as the system says.
    pub run: RunStatus,
    /// Id that the system gave to the request.
    #[serde(rename = "request")]
    pub request_id: String,
    /// How it ended.
    #[serde(rename = "end")]
    pub result: AttemptResult,
}

/// How an errand ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Outcome {
    /// The whole answer came, and it is the right one.
    Served,
    /// The system says that it can't be said whether the call ran.
    Unknown,
    /// The system refused it for good.
    Refused,
    /// The caller's patience ended.
    GaveUp,
    /// A wrong answer came.
    Wrong,
}

/// An errand and all that came of it.
#[derive(Debug, Clone, Serialize)]
pub struct RequestResult {
    /// What was wanted.
    #[serde(rename = "errand")]
    pub request: CallerRequest,
    /// All tries, in their order.
    pub attempts: Vec<Attempt>,
    /// How it ended.
    pub outcome: Outcome,
    /// Time from the first try to the end.
    #[serde(rename = "took")]
    pub total_time: Duration,
}
