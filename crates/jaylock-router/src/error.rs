use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http::StatusCode;
use thiserror::Error;

use crate::body::ReadError;

/// Why an attempt failed.
#[derive(Debug, Clone, Error)]
pub enum AttemptError {
    /// No connection could be opened, so no byte was sent.
    #[error("no connection: {0}")]
    Unreachable(CompactString),
    /// The backend server reported that it did not run the request.
    #[error("the backend server declined the request")]
    Declined,
    /// The backend server excluded the request while it waited for a connection, so no byte was sent.
    #[error("the backend server wants no requests now")]
    Excluded,
    /// The connection was lost before the response was complete.
    #[error("the connection broke: {0}")]
    Lost(CompactString),
    /// No byte arrived within the time limit.
    #[error("the backend server is silent")]
    TimedOut,
    /// The response violates the protocol.
    #[error("{0}")]
    Invalid(CompactString),
    /// The bodies of requests and responses in progress leave no memory for the response.
    #[error("the bodies in progress are at their bound")]
    NoMemory,
    /// The backend server returned an error status, to be forwarded to the caller.
    #[error("the backend server answered {0}")]
    ErrorStatus(StatusCode, Bytes),
}

impl AttemptError {
    /// Whether the request certainly did not run in this attempt.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::Unreachable(_) | Self::Declined | Self::Excluded)
    }

    /// Whether the backend server's answer broke off, or what it sent was none.
    pub fn is_broken_answer(&self) -> bool {
        matches!(self, Self::Lost(_) | Self::Invalid(_))
    }
}

impl From<ReadError> for AttemptError {
    fn from(error: ReadError) -> Self {
        match error {
            ReadError::TooLong => Self::Invalid("the answer is over the bound".into()),
            ReadError::NoMemory => Self::NoMemory,
            ReadError::TooSlow => Self::TimedOut,
            ReadError::Broken => Self::Lost("the answer ended early".into()),
        }
    }
}

/// Waits for a backend server, with [`AttemptError::TimedOut`] after `timeout`.
pub async fn with_timeout<T>(
    timeout: Duration,
    operation: impl Future<Output = T>,
) -> Result<T, AttemptError> {
    compio::time::timeout(timeout, operation)
        .await
        .map_err(|_| AttemptError::TimedOut)
}
