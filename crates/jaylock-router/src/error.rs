use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http::StatusCode;
use thiserror::Error;

/// Why an attempt failed.
#[derive(Debug, Clone, Error)]
pub enum AttemptError {
    /// No connection could be opened; no byte left.
    #[error("no connection: {0}")]
    Unreachable(CompactString),
    /// The backend server said that it did not run the request.
    #[error("the backend server declined the request")]
    Declined,
    /// The connection ended before the answer was whole.
    #[error("the connection broke: {0}")]
    Lost(CompactString),
    /// No byte came for too long.
    #[error("the backend server is silent")]
    TimedOut,
    /// The answer can't be trusted.
    #[error("{0}")]
    Invalid(CompactString),
    /// The backend server's final word, to be passed on.
    #[error("the backend server answered {0}")]
    ErrorStatus(StatusCode, Bytes),
}

impl AttemptError {
    /// Whether the request surely did not run in this attempt.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::Unreachable(_) | Self::Declined)
    }
}

/// Gives up on a backend server that stays silent.
pub async fn with_timeout<T>(
    limit: Duration,
    wait: impl Future<Output = T>,
) -> Result<T, AttemptError> {
    compio::time::timeout(limit, wait)
        .await
        .map_err(|_| AttemptError::TimedOut)
}
