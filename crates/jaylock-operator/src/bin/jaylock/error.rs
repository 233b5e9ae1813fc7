use std::io;

use serde_json::json;
use thiserror::Error;
use tonic::{Code, Status};

/// Result of a command of the tool.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum Error {
    /// The fleet refused the command; nothing was changed.
    #[error("{0}")]
    Refused(String),
    /// The command line is invalid.
    #[error("{0}")]
    Usage(String),
    /// Another change came first; nothing was changed.
    #[error(
        "another change came first, the configuration is at revision {revision}: read it with \"jaylock config show\", then repeat with --expect {revision}"
    )]
    Conflict {
        /// Current revision.
        revision: u64,
    },
    /// No instance responded.
    #[error("{reason}: check the addresses given with --instance, or retry later")]
    NotReached {
        /// Last error.
        reason: String,
    },
    /// It is unknown whether the change was made.
    #[error(
        "{reason}: the change may have been made or not; repeat the same command with {options}, so that the change is not made twice"
    )]
    Unknown {
        /// Last error.
        reason: String,
        /// Options to add to the repeated command.
        options: String,
    },
    /// The revision is not active on every instance.
    #[error("revision {revision} is not active on {lagging}: look at \"jaylock instance list\"")]
    NotActive {
        /// Awaited revision.
        revision: u64,
        /// Instances that lag behind, with their revisions.
        lagging: String,
    },
    /// The output of a command that succeeded can't be written.
    #[error("the output can't be written: {0}; the command itself succeeded")]
    Unwritten(io::Error),
    /// A local operation failed.
    #[error("{0}")]
    Local(String),
}

impl Error {
    /// Exit code of the tool.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Refused(_) | Self::Local(_) => 1,
            Self::Usage(_) => 2,
            Self::Conflict { .. } => 3,
            Self::NotReached { .. } | Self::Unknown { .. } => 4,
            Self::NotActive { .. } => 5,
            Self::Unwritten(_) => 6,
        }
    }

    /// The error as a line of JSON.
    pub fn json(&self) -> String {
        let error = json!({ "kind": self.kind(), "message": self.to_string() });
        format!("{}\n", json!({ "error": error }))
    }

    fn kind(&self) -> &'static str {
        match self {
            Self::Refused(_) => "refused",
            Self::Usage(_) => "usage",
            Self::Conflict { .. } => "conflict",
            Self::NotReached { .. } => "not-reached",
            Self::Unknown { .. } => "unknown",
            Self::NotActive { .. } => "not-in-force",
            Self::Unwritten(_) => "unwritten",
            Self::Local(_) => "local",
        }
    }
}

/// Converts a status to a final error; `None` when the call should be retried at another instance.
pub fn final_error(status: &Status) -> Option<Error> {
    let is_final = matches!(
        status.code(),
        Code::InvalidArgument
            | Code::NotFound
            | Code::AlreadyExists
            | Code::PermissionDenied
            | Code::FailedPrecondition
            | Code::OutOfRange
            | Code::Unimplemented
            | Code::Unauthenticated
    );
    is_final.then(|| Error::Refused(status.message().to_owned()))
}
