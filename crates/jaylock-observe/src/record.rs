use std::time::Duration;

use jaylock_types::{OrganisationId, PoolId, RequestId, Tokens};

/// What a request was for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// A model's answer.
    Model,
    /// A plain service's answer.
    Service,
}

/// Whether a request ran, as reported to its caller in `x-run`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunStatus {
    /// No byte left for a backend server.
    NotRun,
    /// It ran and its outcome is known.
    Ran,
    /// It may have run.
    Unknown,
}

/// One finished request, as its router saw it.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// Identifier that the caller was told.
    pub request: RequestId,
    /// Organisation whose key was sent.
    pub organisation: OrganisationId,
    /// Pool that served it or would have.
    pub pool: PoolId,
    /// What it was for.
    pub kind: RequestKind,
    /// HTTP status of the answer.
    pub status: u16,
    /// Whether it ran.
    pub run: RunStatus,
    /// Short word for why it was refused or given up; empty when it was answered.
    pub reason: &'static str,
    /// Whether the caller received the complete answer.
    pub is_complete: bool,
    /// Tokens generated.
    pub tokens: Tokens,
    /// Time from arrival until a slot was first asked for.
    pub admission_time: Duration,
    /// Time spent waiting for slots.
    pub wait_time: Duration,
    /// Time from the last sending to the head of a backend server's answer.
    pub head_time: Option<Duration>,
    /// Time from arrival to the first token or byte of the answer.
    pub first_token_time: Option<Duration>,
    /// Time from arrival to the end.
    pub total_time: Duration,
    /// Attempts at backend servers.
    pub attempts: u32,
}
