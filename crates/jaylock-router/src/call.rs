use std::time::{Duration, Instant};

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, StatusCode};
use http_body::Body as _;
use hyper::body::Incoming;
use jaylock_observe::{RequestKind, RunStatus};
use jaylock_types::{Index, OrganisationId, PoolId, RequestId};
use sha2::{Digest, Sha256};

use crate::address;
use crate::body;
use crate::context::Context;
use crate::memory::BodyReservation;
use crate::quarantine::{self, Fingerprint};
use crate::response::ErrorResponse;
use crate::tracker::RequestTracker;

/// Header with the time that is left for a request, in ms.
pub const DEADLINE: &str = "x-deadline-ms";

/// Path under which plain services are reached.
pub const SERVICES: &str = "/services/";

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
    /// Whether the caller named that time itself.
    pub is_named: bool,
    /// Method, path and header fields.
    pub head: Parts,
    /// The whole body.
    pub body: Bytes,
    /// By what it is known if it crashes backend servers.
    pub fingerprint: Fingerprint,
    _room: BodyReservation,
}

impl Call {
    /// Admits a request: checks who sends it and whether this router serves, and reads its body.
    pub async fn admit(
        context: &Context,
        request: RequestId,
        head: Parts,
        incoming: Incoming,
    ) -> Result<Self, ErrorResponse> {
        let arrived = Instant::now();
        // A router that knows no configuration yet can't say that a key is unknown.
        check_service(context)?;
        let organisation = identify(context, &head.headers)?;
        let named = named_limit(&head.headers)?;
        let limit = named.unwrap_or(context.settings.default_timeout);
        // A body of unknown length is counted once it was read.
        let announced = incoming.size_hint().exact().unwrap_or(0);
        let announced = usize::try_from(announced).unwrap_or(usize::MAX);
        let mut room = take_room(context, &organisation, announced)?;
        let body = read(context, incoming).await?;
        if body.len() > announced {
            room = take_room(context, &organisation, body.len())?;
        }
        let fingerprint = fingerprint(&organisation, &head, &body);
        let call = Self {
            request,
            organisation,
            arrived,
            deadline: arrived + limit,
            is_named: named.is_some(),
            head,
            body,
            fingerprint,
            _room: room,
        };
        quarantine::check(context, &call.fingerprint, &call.request)?;
        Ok(call)
    }

    /// Starts tracking the request.
    pub fn tracker(&self, context: &Context, pool: PoolId, kind: RequestKind) -> RequestTracker {
        RequestTracker::new(
            context.observer.clone(),
            context.lifecycle.request_token(),
            &self.request,
            &self.organisation,
            self.arrived,
            (pool, kind),
        )
    }

    /// What is left until the deadline.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// The refusal of a request whose time is over.
pub fn deadline_exceeded(run: RunStatus) -> ErrorResponse {
    ErrorResponse::not_run(
        StatusCode::GATEWAY_TIMEOUT,
        "deadline",
        "the time limit of the request is over",
        "allow more time in x-deadline-ms, or ask again later",
    )
    .with_run(run)
    .with_retry_after(Duration::from_secs(1))
}

/// SHA-256 of organisation and body, and of method and path for a plain service.
fn fingerprint(organisation: &OrganisationId, head: &Parts, body: &[u8]) -> Fingerprint {
    let mut hash = Sha256::new();
    hash.update(organisation.as_str());
    hash.update([0]);
    if head.uri.path().starts_with(SERVICES) {
        hash.update(head.method.as_str());
        hash.update(head.uri.path());
        hash.update([0]);
    }
    hash.update(body);
    hash.finalize().into()
}

fn identify(context: &Context, headers: &HeaderMap) -> Result<OrganisationId, ErrorResponse> {
    let found = context.organisations.find(&context.view, headers);
    found.ok_or_else(|| {
        ErrorResponse::not_run(
            StatusCode::UNAUTHORIZED,
            "unknown-key",
            "no organisation has this key",
            "send a valid key as \"authorization: Bearer KEY\"",
        )
    })
}

fn check_service(context: &Context) -> Result<(), ErrorResponse> {
    if context.lifecycle.closed.is_set() {
        return Err(elsewhere(context, "leaving", "this instance is stopping"));
    }
    check_connected(context)
}

/// Checks that this instance hears the fleet; one that is cut off takes nothing new.
pub fn check_connected(context: &Context) -> Result<(), ErrorResponse> {
    if context.view.is_connected() && context.view.index() != Index(0) {
        return Ok(());
    }
    let message = "this instance is cut off from the fleet";
    Err(elsewhere(context, "disconnected", message))
}

fn elsewhere(context: &Context, kind: &'static str, message: &'static str) -> ErrorResponse {
    let refusal = ErrorResponse::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        kind,
        message,
        "ask one of the other addresses",
    );
    let wait = context.settings.retry_after;
    refusal
        .with_retry_after(wait)
        .with_routers(address::others(context))
}

/// Takes room for a body that is within the bound of one request.
fn take_room(
    context: &Context,
    organisation: &OrganisationId,
    bytes: usize,
) -> Result<BodyReservation, ErrorResponse> {
    let bytes = bytes.min(context.settings.max_body.0);
    context.memory.reserve(organisation, bytes).ok_or_else(|| {
        ErrorResponse::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "bodies-full",
            "the bodies of requests in progress are at their bound",
            "ask again after the time in retry-after, or another address",
        )
        .with_retry_after(context.settings.retry_after)
        .with_routers(address::others(context))
    })
}

/// The time limit that a caller names.
fn named_limit(headers: &HeaderMap) -> Result<Option<Duration>, ErrorResponse> {
    let Some(value) = headers.get(DEADLINE) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(|v| v.parse().ok());
    let limit = parsed.map(Duration::from_millis);
    limit.map(Some).ok_or_else(|| {
        ErrorResponse::not_run(
            StatusCode::BAD_REQUEST,
            "malformed",
            "x-deadline-ms is no whole number",
            "send the milliseconds that are left",
        )
    })
}

/// Reads the body of a request within the router's bounds.
pub async fn read(context: &Context, incoming: Incoming) -> Result<Bytes, ErrorResponse> {
    let settings = &context.settings;
    let outcome = body::read(incoming, settings.max_body, settings.sender_timeout).await;
    outcome.map_err(ErrorResponse::from)
}
