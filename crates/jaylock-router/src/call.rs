use std::time::{Duration, Instant};

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, StatusCode};
use hyper::body::Incoming;
use jaylock_observe::Run;
use jaylock_types::{OrganisationId, RequestId};
use sha2::{Digest, Sha256};

use crate::address;
use crate::answer::Refusal;
use crate::body::{self, ReadError};
use crate::quarantine::{self, Fingerprint};
use crate::router::Shared;
use crate::service;

/// Header with the time that is left for a request, in ms.
pub const DEADLINE: &str = "x-deadline-ms";

/// An admitted request of a caller.
pub struct Call {
    /// Identifier that the caller is told.
    pub request: RequestId,
    /// Organisation of the key.
    pub organisation: OrganisationId,
    /// When its head arrived.
    pub arrived: Instant,
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// Method, path and header fields.
    pub head: Parts,
    /// The whole body.
    pub body: Bytes,
    /// By what it is known if it crashes backend servers.
    pub fingerprint: Fingerprint,
}

impl Call {
    /// Admits a request: checks who sends it and whether this router serves, and reads its body.
    pub async fn admit(
        shared: &Shared,
        request: RequestId,
        head: Parts,
        incoming: Incoming,
    ) -> Result<Self, Refusal> {
        let arrived = Instant::now();
        let organisation = identify(shared, &head.headers)?;
        check_service(shared)?;
        let limit = time_left(&head.headers, shared.settings.deadline)?;
        let body = read(shared, incoming).await?;
        let fingerprint = fingerprint(&organisation, &head, &body);
        let call = Self {
            request,
            organisation,
            arrived,
            deadline: arrived + limit,
            head,
            body,
            fingerprint,
        };
        quarantine::check(shared, &call.fingerprint, &call.request)?;
        Ok(call)
    }

    /// What is left until the deadline.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// The refusal of a request whose time is over.
pub fn late(run: Run) -> Refusal {
    Refusal::not_run(
        StatusCode::GATEWAY_TIMEOUT,
        "deadline",
        "the time limit of the request is over",
        "allow more time in x-deadline-ms, or ask again later",
    )
    .ran(run)
    .after(Duration::from_secs(1))
}

/// SHA-256 of organisation and body, and of method and path for a plain service.
fn fingerprint(organisation: &OrganisationId, head: &Parts, body: &[u8]) -> Fingerprint {
    let mut hash = Sha256::new();
    hash.update(organisation.as_str());
    hash.update([0]);
    if head.uri.path().starts_with(service::PREFIX) {
        hash.update(head.method.as_str());
        hash.update(head.uri.path());
        hash.update([0]);
    }
    hash.update(body);
    hash.finalize().into()
}

fn identify(shared: &Shared, headers: &HeaderMap) -> Result<OrganisationId, Refusal> {
    let found = shared.organisations.find(&shared.view, headers);
    found.ok_or_else(|| {
        Refusal::not_run(
            StatusCode::UNAUTHORIZED,
            "unknown-key",
            "no organisation has this key",
            "send a valid key as \"authorization: Bearer KEY\"",
        )
    })
}

fn check_service(shared: &Shared) -> Result<(), Refusal> {
    if shared.closed.is_thrown() {
        return Err(elsewhere(shared, "leaving", "this instance is stopping"));
    }
    check_connected(shared)
}

/// Checks that this instance hears the fleet; one that is cut off takes nothing new.
pub fn check_connected(shared: &Shared) -> Result<(), Refusal> {
    if shared.view.is_connected() {
        return Ok(());
    }
    let message = "this instance is cut off from the fleet";
    Err(elsewhere(shared, "disconnected", message))
}

fn elsewhere(shared: &Shared, kind: &'static str, message: &'static str) -> Refusal {
    let refusal = Refusal::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        kind,
        message,
        "ask one of the other addresses",
    );
    let wait = shared.settings.retry_after;
    refusal.after(wait).elsewhere(address::others(shared))
}

fn time_left(headers: &HeaderMap, default: Duration) -> Result<Duration, Refusal> {
    let Some(value) = headers.get(DEADLINE) else {
        return Ok(default);
    };
    let parsed = value.to_str().ok().and_then(|v| v.parse().ok());
    let limit = parsed.map(Duration::from_millis);
    limit.ok_or_else(|| {
        Refusal::not_run(
            StatusCode::BAD_REQUEST,
            "malformed",
            "x-deadline-ms is no whole number",
            "send the milliseconds that are left",
        )
    })
}

/// Reads the body of a request within the router's bounds.
pub async fn read(shared: &Shared, incoming: Incoming) -> Result<Bytes, Refusal> {
    let settings = &shared.settings;
    let outcome = body::read(incoming, settings.body_bound, settings.slow_sender).await;
    outcome.map_err(|error| match error {
        ReadError::TooLong => Refusal::not_run(
            StatusCode::PAYLOAD_TOO_LARGE,
            "too-long",
            "the body is over the bound of this fleet",
            "send a shorter body",
        ),
        ReadError::TooSlow => Refusal::not_run(
            StatusCode::REQUEST_TIMEOUT,
            "too-slow",
            "the body did not arrive in time",
            "send it again, faster",
        ),
        ReadError::Broken => Refusal::not_run(
            StatusCode::BAD_REQUEST,
            "truncated",
            "the body ended early or was malformed",
            "send it again with the right length",
        ),
    })
}
