use serde_json::json;
use thiserror::Error;
use tonic::{Code, Status};

/// What a command of the tool gives.
pub type Result<T, E = Failure> = std::result::Result<T, E>;

/// Why a command did not do what it was asked for.
#[derive(Debug, Error)]
pub enum Failure {
    /// The system refused it; nothing was changed.
    #[error("{0}")]
    Refused(String),
    /// The command was wrongly written.
    #[error("{0}")]
    Usage(String),
    /// Another command was accepted first; nothing was changed.
    #[error(
        "the configuration has moved on to revision {revision}: read it with \"jaylock config show\", then repeat with --expect {revision}"
    )]
    Conflict {
        /// Revision to read.
        revision: u64,
    },
    /// No instance could be asked.
    #[error("{reason}: check the addresses given with --instance, or ask again later")]
    NotReached {
        /// Last failure that was seen.
        reason: String,
    },
    /// A change may have been made or not.
    #[error(
        "{reason}: the change may be in force or not; repeat the same command with {advice}, which never makes it twice"
    )]
    Unknown {
        /// Last failure that was seen.
        reason: String,
        /// Options to repeat with.
        advice: String,
    },
    /// Instances lack the revision.
    #[error("revision {revision} is not in force on {lagging}: look at \"jaylock instance list\"")]
    NotInForce {
        /// Revision that was waited for.
        revision: u64,
        /// Instances that lag.
        lagging: String,
    },
    /// Something failed on this machine.
    #[error("{0}")]
    Local(String),
}

impl Failure {
    /// What the tool exits with.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Refused(_) | Self::Local(_) => 1,
            Self::Usage(_) => 2,
            Self::Conflict { .. } => 3,
            Self::NotReached { .. } | Self::Unknown { .. } => 4,
            Self::NotInForce { .. } => 5,
        }
    }

    /// The failure as a line for programs.
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
            Self::NotInForce { .. } => "not-in-force",
            Self::Local(_) => "local",
        }
    }
}

/// The final failure that a status stands for; `None` when another instance should be asked.
pub fn final_failure(status: &Status) -> Option<Failure> {
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
    is_final.then(|| Failure::Refused(status.message().to_owned()))
}
