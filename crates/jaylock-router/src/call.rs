use std::time::{Duration, Instant};

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, StatusCode};
use hyper::body::Incoming;
use jaylock_observe::{RequestKind, RunStatus};
use jaylock_types::{Index, OrganisationId, PoolId, RequestId};
use sha2::{Digest, Sha256};

use crate::address;
use crate::body::{self, ReadError};
use crate::context::Context;
use crate::lifecycle::RunPlan;
use crate::memory::BodyReservation;
use crate::overload::{self, RequestPermit};
use crate::quarantine::{self, Fingerprint};
use crate::response::ErrorResponse;
use crate::tracker::RequestTracker;

/// Header with the time remaining for a request, in ms.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Path prefix of plain services: `/services/SERVICE/PATH` is forwarded as `/PATH`.
pub const SERVICES_PATH: &str = "/services/";

/// An admitted request.
pub struct Call {
    /// Identifier that is returned to the caller.
    pub request: RequestId,
    /// Organisation of the caller's key.
    pub organisation: OrganisationId,
    /// When the head of the request arrived.
    pub arrived_at: Instant,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Whether the caller set the deadline.
    pub has_deadline: bool,
    /// Method, path and headers.
    pub head: Parts,
    /// Complete body.
    pub body: Bytes,
    /// Identifies the request if it crashes backend servers.
    pub fingerprint: Fingerprint,
    _reservation: BodyReservation,
    /// Place among the requests in progress until the request has ended.
    _permit: RequestPermit,
}

impl Call {
    /// Admits a request: checks that this router is serving, authenticates the caller, reads the body.
    pub async fn admit(
        context: &Context,
        request: RequestId,
        head: Parts,
        incoming: Incoming,
    ) -> Result<Self, ErrorResponse> {
        let arrived_at = Instant::now();
        // A router without a configuration can't decide that a key is unknown.
        check_serving(context)?;
        let organisation = authenticate(context, &head.headers)?;
        let requested = requested_timeout(&head.headers)?;
        let timeout = requested.unwrap_or(context.settings.default_timeout);
        let permit = context.overload.admit(&organisation);
        let permit = permit.ok_or_else(|| overloaded(context))?;
        let deadline = arrived_at + timeout;
        let reading = read_reserved(context, &organisation, incoming);
        let plan = RunPlan {
            deadline,
            needed: None,
        };
        let body = context.lifecycle.wait_to_start(plan, reading).await;
        let (body, reservation) = body.ok_or_else(|| leaving(context))??;
        let fingerprint = fingerprint(&organisation, &head, &body);
        let call = Self {
            request,
            organisation,
            arrived_at,
            deadline,
            has_deadline: requested.is_some(),
            head,
            body,
            fingerprint,
            _reservation: reservation,
            _permit: permit,
        };
        quarantine::check(context, &call.fingerprint, &call.request)?;
        Ok(call)
    }

    /// Starts tracking the request.
    pub fn tracker(&self, context: &Context, pool: PoolId, kind: RequestKind) -> RequestTracker {
        RequestTracker::new(
            context.observer.clone(),
            context.lifecycle.clone(),
            &self.request,
            &self.organisation,
            self.arrived_at,
            (pool, kind),
        )
    }

    /// Time remaining until the deadline.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Error for a request whose deadline has passed.
pub fn deadline_exceeded(run_status: RunStatus) -> ErrorResponse {
    ErrorResponse::new(
        StatusCode::GATEWAY_TIMEOUT,
        "deadline",
        "the time limit of the request is over",
        "allow more time in x-deadline-ms, or ask again later",
    )
    .with_run_status(run_status)
    .with_retry_after(Duration::from_secs(1))
}

/// SHA-256 of organisation and body, plus method and path for a plain service.
fn fingerprint(organisation: &OrganisationId, head: &Parts, body: &[u8]) -> Fingerprint {
    let mut hash = Sha256::new();
    hash.update(organisation.as_str());
    hash.update([0]);
    if head.uri.path().starts_with(SERVICES_PATH) {
        hash.update(head.method.as_str());
        hash.update(head.uri.path());
        hash.update([0]);
    }
    hash.update(body);
    hash.finalize().into()
}

fn authenticate(context: &Context, headers: &HeaderMap) -> Result<OrganisationId, ErrorResponse> {
    let organisation = context.organisations.find(&context.view.current(), headers);
    organisation.ok_or_else(|| {
        ErrorResponse::new(
            StatusCode::UNAUTHORIZED,
            "unknown-key",
            "no organisation has this key",
            "send a valid key as \"authorization: Bearer KEY\"",
        )
    })
}

fn check_serving(context: &Context) -> Result<(), ErrorResponse> {
    if context.lifecycle.closed.is_set() {
        return Err(leaving(context));
    }
    check_connected(context)
}

/// Error for a request that did not run because this instance stops.
pub fn leaving(context: &Context) -> ErrorResponse {
    unavailable(context, "leaving", "this instance is stopping")
}

/// Checks that this instance is connected to control, as a disconnected one accepts no requests.
pub fn check_connected(context: &Context) -> Result<(), ErrorResponse> {
    if context.view.is_connected() && context.view.index() != Index(0) {
        return Ok(());
    }
    let message = "this instance is cut off from the fleet";
    Err(unavailable(context, "disconnected", message))
}

fn unavailable(context: &Context, kind: &'static str, message: &'static str) -> ErrorResponse {
    let error = ErrorResponse::new(
        StatusCode::SERVICE_UNAVAILABLE,
        kind,
        message,
        "ask one of the other addresses",
    );
    let delay = context.settings.retry_after;
    error
        .with_retry_after(delay)
        .with_routers(address::others(context))
}

/// Error for a request that did not run because this instance has no processor time for it.
fn overloaded(context: &Context) -> ErrorResponse {
    unavailable(context, overload::ERROR_KIND, overload::ERROR_MESSAGE)
        .with_retry_after(overload::retry_delay(context.is_withdrawn()))
}

/// Reads a body within the memory that its organisation may use.
async fn read_reserved(
    context: &Context,
    organisation: &OrganisationId,
    incoming: Incoming,
) -> Result<(Bytes, BodyReservation), ErrorResponse> {
    let Context {
        settings, memory, ..
    } = context;
    let (max_body, timeout) = (settings.max_body, settings.sender_timeout);
    let read = body::read_request(incoming, max_body, timeout, memory, organisation).await;
    read.map_err(|error| match error {
        ReadError::NoMemory => ErrorResponse::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "bodies-full",
            "the bodies of requests in progress are at their bound",
            "ask again after the time in retry-after, or another address",
        )
        .with_retry_after(settings.retry_after)
        .with_routers(address::others(context)),
        error => error.into(),
    })
}

/// Returns the timeout that the caller requests.
fn requested_timeout(headers: &HeaderMap) -> Result<Option<Duration>, ErrorResponse> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(|v| v.parse().ok());
    let timeout = parsed.map(Duration::from_millis);
    timeout.map(Some).ok_or_else(|| {
        ErrorResponse::new(
            StatusCode::BAD_REQUEST,
            "malformed",
            "x-deadline-ms is no whole number",
            "send the milliseconds that are left",
        )
    })
}

/// Reads the body of a request within the router's size and time limits.
pub async fn read(context: &Context, incoming: Incoming) -> Result<Bytes, ErrorResponse> {
    let settings = &context.settings;
    let outcome = body::read(incoming, settings.max_body, settings.sender_timeout).await;
    outcome.map_err(ErrorResponse::from)
}
