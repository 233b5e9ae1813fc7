use std::time::Duration;

use jaylock_types::{OrganisationId, PoolId, RequestId, Tokens};

/// What a request is addressed to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// A model.
    Model,
    /// A plain service.
    Service,
}

/// Whether a request ran, as reported to its caller in `x-run`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunStatus {
    /// The request certainly did not run: not sent, or declined by each backend server.
    NotRun,
    /// The request ran and its outcome is known.
    Ran,
    /// The request may have run.
    Unknown,
}

/// A finished request, as recorded by its router.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// Identifier that the caller receives in `x-request-id`.
    pub request: RequestId,
    /// Organisation that the API key belongs to.
    pub organisation: OrganisationId,
    /// Pool that the request was routed to.
    pub pool: PoolId,
    /// What the request was addressed to.
    pub kind: RequestKind,
    /// HTTP status of the response.
    pub status: u16,
    /// Whether the request ran.
    pub run: RunStatus,
    /// Short code for why the request was rejected or abandoned; empty when it got a response.
    pub reason: &'static str,
    /// Whether the caller received the complete response.
    pub is_complete: bool,
    /// Generated tokens.
    pub tokens: Tokens,
    /// Time from arrival to the first request for a slot.
    pub admission_time: Duration,
    /// Time spent waiting for slots.
    pub wait_time: Duration,
    /// Time from the last attempt's start to the head of the backend server's response.
    pub head_time: Option<Duration>,
    /// Time from arrival to the first token or byte of the response.
    pub first_token_time: Option<Duration>,
    /// Time from arrival to the end of the response.
    pub total_time: Duration,
    /// Attempts at backend servers.
    pub attempts: u32,
}
