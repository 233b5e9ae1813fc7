use std::time::{Duration, Instant};

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Request, StatusCode, header};
use hyper::body::{Body, Incoming};
use jaylock_rpc::v1::{Configuration, Route};
use jaylock_types::{ByteSize, KeyHash, OrganisationId, RequestId};

use super::context::RouteContext;
use super::headers::RouteHeaders;
use super::prompt::Prompt;
use super::request::RouteRequest;
use super::table;
use crate::body;
use crate::memory::BodyReservation;
use crate::response::ErrorResponse;

/// Organisation that requests without a key count for.
const NOBODY: &str = "public";

/// Admits a request: finds its route and organisation, and reads its body.
pub async fn admit(
    context: &RouteContext,
    request: Request<Incoming>,
) -> Result<RouteRequest, ErrorResponse> {
    let arrived = Instant::now();
    if context.lifecycle.closed.is_set() {
        return Err(not_now(context, "leaving", "this instance is stopping"));
    }
    let Some(configuration) = context.configuration() else {
        let message = "this instance does not know the newest configuration";
        return Err(not_now(context, "disconnected", message));
    };
    let (head, incoming) = request.into_parts();
    let names = &context.names;
    let route = find_route(&configuration, &head)?;
    let key = find_key(&configuration, route, &head.headers, names)?;
    let attempt = single(&head.headers, names.request_id)?.ok_or_else(no_identifier)?;
    let limit = named_limit(&head.headers, names)?;
    let timeout = Duration::from_millis(route.timeout_ms.into());
    let service = table::choose(&route.targets, rand::random()).unwrap_or_default();
    let engine = configuration.services.iter().find(|s| s.id == service);
    let event_tokens = engine.and_then(|s| s.engine).map_or(1, |e| e.event_tokens);
    let pool = service.parse().map_err(|_| no_route())?;
    let after = single(&head.headers, "last-event-id")?;
    let after = after.and_then(|v| v.to_str().ok()?.parse().ok());
    let organisation = key.clone().unwrap_or_else(nobody);
    let (body, room) = read(context, &configuration, &organisation, incoming).await?;
    let id = attempt.to_str().ok().and_then(|text| text.parse().ok());
    Ok(RouteRequest {
        id: id.unwrap_or_else(RequestId::random),
        attempt: attempt.clone(),
        route: route.clone(),
        pool,
        is_keyed: key.is_some(),
        organisation,
        arrived,
        deadline: arrived + limit.unwrap_or(timeout).min(timeout),
        body,
        _room: room,
        prompt: Prompt::parse(&head.headers, names),
        event_tokens,
        after: after.unwrap_or(0),
        head,
    })
}

fn find_route<'a>(
    configuration: &'a Configuration,
    head: &Parts,
) -> Result<&'a Route, ErrorResponse> {
    let host = single(&head.headers, header::HOST.as_str())?;
    let host = host.and_then(|h| h.to_str().ok()).ok_or_else(no_route)?;
    let name = host.split(':').next().unwrap_or_default();
    let name = name.to_ascii_lowercase();
    table::find(configuration, &name, head.uri.path()).ok_or_else(no_route)
}

/// The organisation of the key; none where the route or the configuration asks for no key.
fn find_key(
    configuration: &Configuration,
    route: &Route,
    headers: &HeaderMap,
    names: &RouteHeaders,
) -> Result<Option<OrganisationId>, ErrorResponse> {
    if route.public || configuration.organisations.is_empty() {
        return Ok(None);
    }
    let value = single(headers, names.key)?.and_then(|v| v.to_str().ok());
    let key = value.and_then(|v| v.strip_prefix(names.key_prefix));
    let hash = KeyHash::from_key(key.unwrap_or_default().trim()).0;
    let holds = |hashes: &[Vec<u8>]| hashes.iter().any(|h| *h == hash);
    let mut organisations = configuration.organisations.iter();
    let found = organisations.find(|o| key.is_some() && holds(&o.key_hashes));
    let id = found.and_then(|o| o.id.parse().ok());
    id.map(Some).ok_or_else(|| {
        ErrorResponse::not_run(
            StatusCode::UNAUTHORIZED,
            "unknown-key",
            "no organisation has this key",
            "send a key that the operators gave you",
        )
    })
}

fn nobody() -> OrganisationId {
    NOBODY.parse().expect("a valid name")
}

/// The value of a field that may stand once.
fn single<'a>(
    headers: &'a HeaderMap,
    name: &str,
) -> Result<Option<&'a HeaderValue>, ErrorResponse> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (value, None) => Ok(value),
        _ => Err(malformed("a header field stands twice that may stand once")),
    }
}

fn named_limit(
    headers: &HeaderMap,
    names: &RouteHeaders,
) -> Result<Option<Duration>, ErrorResponse> {
    let Some(value) = single(headers, names.timeout)? else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(|v| v.trim().parse().ok());
    let limit = parsed.map(Duration::from_millis);
    let refused = || malformed("the time limit is no whole number of milliseconds");
    limit.map(Some).ok_or_else(refused)
}

/// Reads a body once there is room for it; one whose length is not told takes its room afterwards.
async fn read(
    context: &RouteContext,
    configuration: &Configuration,
    organisation: &OrganisationId,
    incoming: Incoming,
) -> Result<(Bytes, BodyReservation), ErrorResponse> {
    let limits = &context.limits;
    let named = configuration.limits.map_or(0, |l| l.body_bytes as usize);
    let bound = if named > 0 {
        ByteSize(named)
    } else {
        limits.max_body
    };
    let take = |bytes| {
        let room = context.memory.reserve(organisation, bytes);
        let message = "the bodies of requests in progress are at their bound";
        room.ok_or_else(|| not_now(context, "bodies-full", message))
    };
    let told = incoming.size_hint().exact();
    let told = told.and_then(|bytes| usize::try_from(bytes).ok());
    let room = match told.filter(|bytes| *bytes <= bound.0) {
        Some(bytes) => Some(take(bytes)?),
        None => None,
    };
    let body = body::read(incoming, bound, limits.sender_timeout).await?;
    let room = match room {
        Some(room) => room,
        None => take(body.len())?,
    };
    Ok((body, room))
}

fn not_now(context: &RouteContext, kind: &'static str, message: &'static str) -> ErrorResponse {
    ErrorResponse::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        kind,
        message,
        "ask again after the time in retry-after, or another instance",
    )
    .with_retry_after(context.limits.retry_after)
}

fn no_route() -> ErrorResponse {
    ErrorResponse::not_run(
        StatusCode::NOT_FOUND,
        "no-route",
        "no route has this host and path",
        "ask the operators which routes are configured",
    )
}

fn no_identifier() -> ErrorResponse {
    malformed("the request has no identifier")
}

fn malformed(reason: &'static str) -> ErrorResponse {
    ErrorResponse::not_run(
        StatusCode::BAD_REQUEST,
        "malformed",
        reason,
        "send the form that docs/operators/routes.md shows",
    )
}
