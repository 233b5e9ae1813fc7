use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use futures_channel::oneshot;
use http::{HeaderName, Request, Response, StatusCode, Uri};
use http_body_util::Full;
use jaylock_observe::{RequestKind, RunStatus};
use jaylock_rpc::v1::{Ask, Service, Settle};
use jaylock_types::{PoolId, RequestId};

use crate::attempt;
use crate::body::{self, Body};
use crate::buffered_response::BufferedResponse;
use crate::call::{self, Call, DEADLINE_HEADER, SERVICES_PATH};
use crate::claim::{ClaimOutcome, HeldClaim, recorded_response, unknown_outcome};
use crate::context::Context;
use crate::error::{AttemptError, with_timeout};
use crate::framing::is_framed;
use crate::response::{
    ErrorResponse, RECORDED_HEADER, REQUEST_ID_HEADER, RUN_HEADER, set_header, set_run_headers,
};
use crate::retry::RetryState;
use crate::slot::Slot;
use crate::tracker::RequestTracker;

/// Headers that are not forwarded, in lower case: hop-by-hop, set by this router, or overriding the method.
const STRIPPED_HEADERS: [&str; 15] = [
    "authorization",
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "transfer-encoding",
    "trailer",
    "upgrade",
    "x-http-method",
    "x-http-method-override",
    "x-method-override",
    RECORDED_HEADER,
    RUN_HEADER,
    REQUEST_ID_HEADER,
    DEADLINE_HEADER,
];

/// A call to a plain service.
struct ServiceCall {
    context: Rc<Context>,
    call: Call,
    path: CompactString,
    tracker: RequestTracker,
    retry: RetryState,
}

/// Responds to a request for a plain service.
pub async fn respond(context: &Rc<Context>, call: Call) -> Result<Response<Body>, ErrorResponse> {
    let (pool, path, is_idempotent) = target(context, &call)?;
    let service_call = ServiceCall {
        context: context.clone(),
        path,
        tracker: call.tracker(context, pool.clone(), RequestKind::Service),
        retry: RetryState::new(context.clone(), &call, pool),
        call,
    };
    if is_idempotent {
        service_call.run_with_retries().await
    } else {
        spawn_once(service_call).await
    }
}

/// Runs a non-idempotent request in a task that continues when the caller disconnects.
async fn spawn_once(call: ServiceCall) -> Result<Response<Body>, ErrorResponse> {
    let (sender, receiver) = oneshot::channel();
    let remaining = call.call.remaining();
    compio::runtime::spawn(async move {
        let _ = sender.send(call.run_once().await);
    })
    .detach();
    match compio::time::timeout(remaining, receiver).await {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(_)) => Err(unknown_outcome()),
        Err(_) => Err(still_running()),
    }
}

fn still_running() -> ErrorResponse {
    ErrorResponse::new(
        StatusCode::GATEWAY_TIMEOUT,
        "deadline",
        "the time limit is over and the call goes on",
        "ask for its outcome with the same key",
    )
    .with_run_status(RunStatus::Unknown)
    .with_retry_after(Duration::from_secs(1))
}

impl ServiceCall {
    /// Runs a non-idempotent request at most once, under a claim.
    async fn run_once(mut self) -> Result<Response<Body>, ErrorResponse> {
        let claim = match HeldClaim::acquire(&self.context, &self.call).await {
            Ok(ClaimOutcome::Granted(claim)) => claim,
            Ok(ClaimOutcome::Recorded(settle)) => return Ok(self.respond_recorded(settle)),
            Err(error) => return Err(self.fail(error)),
        };
        let (max_idle, timeout) = (
            self.context.settings.max_idle_once,
            self.context.settings.once_timeout,
        );
        loop {
            let (address, slot) = match self.acquire_slot().await {
                Ok(slot) => slot,
                Err(error) => {
                    claim.release();
                    return Err(self.fail(error));
                }
            };
            let error = match self.send((address, &slot), max_idle, timeout).await {
                Ok(response) => {
                    self.retry.record_success(slot);
                    claim.settle(Some(&response)).await;
                    return Ok(self.respond(response));
                }
                Err(error) => error,
            };
            let tracker = &self.tracker;
            let retry = self
                .retry
                .record_failure(&error, address, slot, tracker)
                .await;
            if !error.is_not_run() {
                claim.settle(None).await;
                return Err(self.fail(unknown_outcome()));
            }
            if let Err(error) = retry {
                claim.release();
                return Err(self.fail(error));
            }
        }
    }

    /// Runs an idempotent request until it completes or its deadline passes.
    async fn run_with_retries(mut self) -> Result<Response<Body>, ErrorResponse> {
        let remaining = self.call.remaining();
        match compio::time::timeout(remaining, self.run_until_complete()).await {
            Ok(Ok(response)) => Ok(self.respond(response)),
            Ok(Err(error)) => Err(self.fail(error)),
            Err(_) => {
                let error = call::deadline_exceeded(self.retry.run_status());
                Err(self.fail(error))
            }
        }
    }

    async fn run_until_complete(&mut self) -> Result<BufferedResponse, ErrorResponse> {
        let (max_idle, timeout) = (
            self.context.settings.max_idle,
            self.context.settings.first_byte_timeout,
        );
        loop {
            let (address, slot) = self.acquire_slot().await?;
            let error = match self.send((address, &slot), max_idle, timeout).await {
                Ok(response) => {
                    self.retry.record_success(slot);
                    return Ok(response);
                }
                Err(error) => error,
            };
            let tracker = &self.tracker;
            self.retry
                .record_failure(&error, address, slot, tracker)
                .await?;
        }
    }

    async fn acquire_slot(&mut self) -> Result<(SocketAddr, Slot), ErrorResponse> {
        let remaining = self.call.remaining();
        let waiting = self.retry.acquire_slot(Ask::default(), &mut self.tracker);
        let outcome = compio::time::timeout(remaining, waiting).await;
        outcome.unwrap_or_else(|_| Err(call::deadline_exceeded(self.retry.run_status())))
    }

    async fn send(
        &self,
        (address, slot): (SocketAddr, &Slot),
        max_idle: Duration,
        timeout: Duration,
    ) -> Result<BufferedResponse, AttemptError> {
        let id = RequestId::random();
        let request = || {
            let may_send = !slot.is_excluded();
            may_send.then(|| self.request(&id, address))
        };
        let connect_timeout = self.context.settings.connect_timeout;
        let sending = self
            .context
            .connections
            .send(address, max_idle, connect_timeout, request);
        let (mut connection, response) = with_timeout(timeout, sending).await??;
        attempt::check_origin(&mut connection, &response, &id)?;
        if !is_framed(response.status(), response.headers()) {
            return Err(AttemptError::Invalid("the answer tells no length".into()));
        }
        let status = response.status();
        let headers = response.headers().clone();
        let max_response = self.context.settings.max_response;
        let (memory, organisation) = (&self.context.memory, &self.call.organisation);
        let body = response.into_body();
        let body = body::read_response(body, max_response, timeout, memory, organisation).await?;
        self.context.connections.put_back(connection);
        Ok(BufferedResponse {
            status,
            headers,
            body,
        })
    }

    fn request(&self, id: &RequestId, address: SocketAddr) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.call.body.clone()));
        *request.method_mut() = self.call.head.method.clone();
        *request.uri_mut() = self.path.parse().unwrap_or_else(|_| Uri::from_static("/"));
        let headers = request.headers_mut();
        for (name, value) in &self.call.head.headers {
            if !is_stripped(name) {
                headers.append(name.clone(), value.clone());
            }
        }
        set_header(headers, "host", &address.to_string());
        set_header(headers, REQUEST_ID_HEADER, id.as_str());
        set_header(headers, "x-organisation", self.call.organisation.as_str());
        set_header(
            headers,
            DEADLINE_HEADER,
            &self.call.remaining().as_millis().to_string(),
        );
        request
    }

    fn respond(mut self, buffered: BufferedResponse) -> Response<Body> {
        let mut response = Response::new(Body::full(buffered.body));
        *response.status_mut() = buffered.status;
        let headers = response.headers_mut();
        for (name, value) in &buffered.headers {
            if !is_stripped(name) {
                headers.append(name.clone(), value.clone());
            }
        }
        set_run_headers(headers, &self.call.request, RunStatus::Ran);
        self.tracker.record_first_token();
        self.tracker.record.is_complete = true;
        self.tracker
            .record_response(buffered.status, RunStatus::Ran);
        response
    }

    fn respond_recorded(mut self, settle: Settle) -> Response<Body> {
        let response = recorded_response(&self.call.request, settle);
        self.tracker.record.is_complete = true;
        self.tracker
            .record_response(response.status(), RunStatus::Ran);
        response
    }

    /// Records an error in the tracker and returns it.
    fn fail(&mut self, error: ErrorResponse) -> ErrorResponse {
        self.tracker.record_error(&error);
        error
    }
}

fn is_stripped(name: &HeaderName) -> bool {
    STRIPPED_HEADERS.contains(&name.as_str())
}

/// Returns the pool, the path within the service, and whether the call is idempotent.
fn target(context: &Context, call: &Call) -> Result<(PoolId, CompactString, bool), ErrorResponse> {
    let uri = &call.head.uri;
    let rest = uri.path().strip_prefix(SERVICES_PATH).unwrap_or_default();
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let current = context.view.current();
    let search = current
        .services
        .binary_search_by(|s| s.id.as_str().cmp(name));
    let (Ok(index), Ok(pool)) = (search, name.parse()) else {
        return Err(ErrorResponse::new(
            StatusCode::NOT_FOUND,
            "unknown-service",
            "no such service is configured",
            "ask the operators which services are configured",
        ));
    };
    let path = format_compact!("/{path}");
    if !is_unambiguous(&path) {
        return Err(ErrorResponse::new(
            StatusCode::BAD_REQUEST,
            "malformed",
            "the path holds dot segments or empty ones",
            "send the path in its shortest form",
        ));
    }
    let is_idempotent = is_idempotent(&current.services[index], call.head.method.as_str(), &path);
    let full = match uri.query() {
        Some(query) => format_compact!("{path}?{query}"),
        None => path,
    };
    Ok((pool, full, is_idempotent))
}

/// Whether the path is unambiguous: a service can't take it for another, non-idempotent one.
fn is_unambiguous(path: &str) -> bool {
    let lower = path.to_ascii_lowercase().replace("%2e", ".");
    let is_ambiguous = ["%2f", "%5c", "\\", ";", "//"]
        .iter()
        .any(|p| lower.contains(p));
    let mut segments = lower.split('/');
    !is_ambiguous && !segments.any(|s| s == "." || s == "..")
}

fn is_idempotent(service: &Service, method: &str, path: &str) -> bool {
    let mut routes = service.repeatable.iter();
    routes.any(|r| {
        let has_method = r.method.is_empty() || r.method.eq_ignore_ascii_case(method);
        has_method && is_under(path, &r.prefix)
    })
}

/// Whether a path equals the prefix or lies under it, by complete segments.
fn is_under(path: &str, prefix: &str) -> bool {
    let rest = path.strip_prefix(prefix);
    rest.is_some_and(|r| r.is_empty() || prefix.ends_with('/') || r.starts_with('/'))
}
