use std::time::{Duration, Instant};

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Request, StatusCode, header};
use hyper::body::Incoming;
use jaylock_control::{self as control, KeyRequirement, key_requirement};
use jaylock_rpc::v1::{Configuration, Route};
use jaylock_types::{ByteSize, OrganisationId, RequestId};

use super::attempts::MAX_DELAY_DIVISOR;
use super::context::RouteContext;
use super::headers::RouteHeaders;
use super::prompt::{ListedParts, Prompt};
use super::request::{RouteRequest, ServiceTarget};
use super::table;
use crate::body::{self, ReadError};
use crate::memory::BodyReservation;
use crate::response::ErrorResponse;

/// Organisation of requests that need no key.
const PUBLIC_ORGANISATION: &str = "public";

/// Admits a request: finds the route, authenticates the caller and reads the body.
pub async fn admit(
    context: &RouteContext,
    request: Request<Incoming>,
) -> Result<RouteRequest, ErrorResponse> {
    let arrived_at = Instant::now();
    if context.lifecycle.closed.is_set() {
        return Err(context.leaving());
    }
    let Some(configuration) = context.configuration() else {
        let message = "this instance does not know the newest configuration";
        return Err(context.unavailable("disconnected", message));
    };
    let (head, incoming) = request.into_parts();
    let names = &context.names;
    let route = find_route(&configuration, &head)?;
    let authenticated = authenticate(context, &configuration, route, &head.headers)?;
    let caller_id = single_value(&head.headers, names.request_id)?.ok_or_else(missing_id)?;
    let requested = requested_timeout(&head.headers, names)?;
    let timeout = Duration::from_millis(route.timeout_ms.into());
    let service = table::pick_service(&route.targets, rand::random()).unwrap_or_default();
    let target = service_target(&configuration, service).ok_or_else(no_route)?;
    let last_event = single_value(&head.headers, "last-event-id")?;
    let last_event = last_event.and_then(|v| v.to_str().ok()?.parse().ok());
    let resumed = single_value(&head.headers, names.resumed_request)?;
    let resumed = resumed.and_then(|v| v.to_str().ok()?.parse().ok());
    let other_targets = match resumed {
        Some(_) => other_targets(&configuration, route, service),
        None => Vec::new(),
    };
    let organisation = authenticated.clone().unwrap_or_else(public_organisation);
    let permit = context.overload.admit(&organisation);
    let allowed = requested.unwrap_or(timeout).min(timeout);
    let permit = permit.ok_or_else(|| context.overloaded(allowed / MAX_DELAY_DIVISOR))?;
    let deadline = arrived_at + allowed;
    let reading = read_body(context, &configuration, &organisation, (incoming, allowed));
    let plan = context.run_plan(route, deadline);
    let body = context.lifecycle.wait_to_start(plan, reading).await;
    let (body, reservation) = body.ok_or_else(|| context.leaving())??;
    let id = caller_id.to_str().ok().and_then(|text| text.parse().ok());
    let digest = RouteRequest::hash(&organisation, &head, &body);
    let parts = ListedParts::parse(&head.headers, names);
    let prompt = Prompt::parse(&head.headers, names, &parts.placed);
    let further_causes = match prompt {
        Some(_) => parts.further,
        None => parts.shared().collect(),
    };
    Ok(RouteRequest {
        id: id.unwrap_or_else(RequestId::random),
        caller_id: caller_id.clone(),
        route: route.clone(),
        target,
        other_targets,
        is_authenticated: authenticated.is_some(),
        organisation,
        arrived_at,
        deadline,
        body,
        digest,
        _reservation: reservation,
        _permit: permit,
        prompt,
        further_causes,
        last_event,
        resumed,
        head,
    })
}

fn find_route<'a>(
    configuration: &'a Configuration,
    head: &Parts,
) -> Result<&'a Route, ErrorResponse> {
    let host = single_value(&head.headers, header::HOST.as_str())?;
    let host = host.and_then(|h| h.to_str().ok()).ok_or_else(no_route)?;
    control::find_route(configuration, host, head.uri.path()).ok_or_else(no_route)
}

/// Describes a service by its name.
fn service_target(configuration: &Configuration, service: &str) -> Option<ServiceTarget> {
    let found = control::find_service(configuration, service);
    let engine = found.and_then(|s| s.engine);
    Some(ServiceTarget {
        pool: service.parse().ok()?,
        event_tokens: engine.map_or(1, |e| e.event_tokens),
    })
}

/// Returns the services of a route that may serve requests, except one.
fn other_targets(configuration: &Configuration, route: &Route, except: &str) -> Vec<ServiceTarget> {
    let targets = route.targets.iter();
    let others = targets.filter(|target| target.weight > 0 && target.service != except);
    let described = others.map(|target| service_target(configuration, &target.service));
    described.flatten().collect()
}

/// Returns the organisation of the key, or `None` where no key is required.
fn authenticate(
    context: &RouteContext,
    configuration: &Configuration,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<OrganisationId>, ErrorResponse> {
    let names = &context.names;
    if route.public {
        return Ok(None);
    }
    match key_requirement(configuration) {
        KeyRequirement::Required => {}
        KeyRequirement::NotRequired => return Ok(None),
        KeyRequirement::Unknown => {
            let message = "it is not known whether callers of this route need a key";
            return Err(context.unavailable("keys-unknown", message));
        }
    }
    let value = single_value(headers, names.key)?.and_then(|v| v.to_str().ok());
    let key = value.and_then(|v| v.strip_prefix(names.key_prefix));
    let id = key.and_then(|key| context.organisations.find_key(configuration, key.trim()));
    id.map(Some).ok_or_else(|| {
        ErrorResponse::new(
            StatusCode::UNAUTHORIZED,
            "unknown-key",
            "no organisation has this key",
            "send a key that the operators gave you",
        )
    })
}

fn public_organisation() -> OrganisationId {
    PUBLIC_ORGANISATION.parse().expect("a valid name")
}

/// Returns the value of a header that may occur at most once.
fn single_value<'a>(
    headers: &'a HeaderMap,
    name: &str,
) -> Result<Option<&'a HeaderValue>, ErrorResponse> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (value, None) => Ok(value),
        _ => Err(malformed("a header field stands twice that may stand once")),
    }
}

fn requested_timeout(
    headers: &HeaderMap,
    names: &RouteHeaders,
) -> Result<Option<Duration>, ErrorResponse> {
    let Some(value) = single_value(headers, names.timeout)? else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(|v| v.trim().parse().ok());
    let timeout = parsed.map(Duration::from_millis);
    let invalid = || malformed("the time limit is no whole number of milliseconds");
    timeout.map(Some).ok_or_else(invalid)
}

/// Reads a body within the memory that its organisation may use and the time that its request has.
async fn read_body(
    context: &RouteContext,
    configuration: &Configuration,
    organisation: &OrganisationId,
    (incoming, allowed): (Incoming, Duration),
) -> Result<(Bytes, BodyReservation), ErrorResponse> {
    let limits = &context.limits;
    let configured = configuration.limits.map_or(0, |l| l.body_bytes as usize);
    let max_body = if configured > 0 {
        ByteSize(configured)
    } else {
        limits.max_body
    };
    let (timeout, memory) = (limits.sender_timeout.min(allowed), &context.memory);
    let read = body::read_request(incoming, max_body, timeout, memory, organisation).await;
    read.map_err(|error| match error {
        ReadError::NoMemory => {
            let message = "the bodies of requests in progress are at their bound";
            context.unavailable("bodies-full", message)
        }
        error => error.into(),
    })
}

fn no_route() -> ErrorResponse {
    ErrorResponse::new(
        StatusCode::NOT_FOUND,
        "no-route",
        "no route has this host and path",
        "ask the operators which routes are configured",
    )
}

fn missing_id() -> ErrorResponse {
    malformed("the request has no identifier")
}

fn malformed(reason: &'static str) -> ErrorResponse {
    ErrorResponse::new(
        StatusCode::BAD_REQUEST,
        "malformed",
        reason,
        "send the form that docs/operators/routes.md shows",
    )
}
