use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use futures_channel::oneshot;
use http::{HeaderName, Request, Response, StatusCode, Uri, header};
use http_body_util::Full;
use hyper::body::Incoming;
use jaylock_observe::{RequestKind, Run};
use jaylock_rpc::v1::{Ask, Service, Settle};
use jaylock_types::{PoolId, RequestId};

use crate::attempt;
use crate::body::{self, Body, ReadError};
use crate::buffered_response::BufferedResponse;
use crate::call::{self, Call, DEADLINE, SERVICES};
use crate::claim::{ClaimOutcome, HeldClaim, recorded_response, unknown_outcome};
use crate::context::Context;
use crate::error::{AttemptError, with_timeout};
use crate::response::{ErrorResponse, RECORDED, REQUEST_ID, RUN, set_header, set_run_headers};
use crate::retry::RetryState;
use crate::slot::Slot;
use crate::tracker::RequestTracker;

/// Header fields that belong to one connection or to this router, in lower case.
const OWN_HEADERS: [&str; 15] = [
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
    RECORDED,
    RUN,
    REQUEST_ID,
    DEADLINE,
];

/// A call of a plain service.
struct ServiceCall {
    context: Rc<Context>,
    call: Call,
    path: CompactString,
    tracker: RequestTracker,
    retry: RetryState,
}

/// Answers a request for a plain service.
pub async fn respond(context: &Rc<Context>, call: Call) -> Result<Response<Body>, ErrorResponse> {
    let (pool, path, repeatable) = target(context, &call)?;
    let service_call = ServiceCall {
        context: context.clone(),
        path,
        tracker: call.tracker(context, pool.clone(), RequestKind::Service),
        retry: RetryState::new(context.clone(), &call, pool),
        call,
    };
    if repeatable {
        service_call.repeat().await
    } else {
        once(service_call).await
    }
}

/// Runs a request at most once, in a task that outlives its caller.
async fn once(call: ServiceCall) -> Result<Response<Body>, ErrorResponse> {
    let (sender, receiver) = oneshot::channel();
    let left = call.call.remaining();
    compio::runtime::spawn(async move {
        let _ = sender.send(call.run_once().await);
    })
    .detach();
    match compio::time::timeout(left, receiver).await {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(_)) => Err(unknown_outcome()),
        Err(_) => Err(still_running()),
    }
}

fn still_running() -> ErrorResponse {
    ErrorResponse::not_run(
        StatusCode::GATEWAY_TIMEOUT,
        "deadline",
        "the time limit is over and the call goes on",
        "ask for its outcome with the same key",
    )
    .with_run(Run::Unknown)
    .with_retry_after(Duration::from_secs(1))
}

impl ServiceCall {
    async fn run_once(mut self) -> Result<Response<Body>, ErrorResponse> {
        let claim = match HeldClaim::acquire(&self.context, &self.call).await {
            Ok(ClaimOutcome::Granted(claim)) => claim,
            Ok(ClaimOutcome::Recorded(settle)) => return Ok(self.repeat_record(settle)),
            Err(refusal) => return Err(self.refuse(refusal)),
        };
        let (fresh, limit) = (
            self.context.settings.max_idle_once,
            self.context.settings.once_timeout,
        );
        loop {
            let (address, slot) = match self.slot().await {
                Ok(slot) => slot,
                Err(refusal) => {
                    claim.release();
                    return Err(self.refuse(refusal));
                }
            };
            let failure = match self.send(address, fresh, limit).await {
                Ok(record) => {
                    self.retry.record_success(slot);
                    claim.settle(Some(&record)).await;
                    return Ok(self.respond(record));
                }
                Err(failure) => failure,
            };
            let tracker = &self.tracker;
            let again = self
                .retry
                .record_failure(&failure, address, slot, tracker)
                .await;
            if !failure.is_not_run() {
                claim.settle(None).await;
                return Err(self.refuse(unknown_outcome()));
            }
            if let Err(refusal) = again {
                claim.release();
                return Err(self.refuse(refusal));
            }
        }
    }

    async fn repeat(mut self) -> Result<Response<Body>, ErrorResponse> {
        let left = self.call.remaining();
        match compio::time::timeout(left, self.repeat_until_whole()).await {
            Ok(Ok(record)) => Ok(self.respond(record)),
            Ok(Err(refusal)) => Err(self.refuse(refusal)),
            Err(_) => {
                let refusal = call::deadline_exceeded(self.retry.run());
                Err(self.refuse(refusal))
            }
        }
    }

    async fn repeat_until_whole(&mut self) -> Result<BufferedResponse, ErrorResponse> {
        let (idle, limit) = (
            self.context.settings.max_idle,
            self.context.settings.first_byte_timeout,
        );
        loop {
            let (address, slot) = self.slot().await?;
            let failure = match self.send(address, idle, limit).await {
                Ok(record) => {
                    self.retry.record_success(slot);
                    return Ok(record);
                }
                Err(failure) => failure,
            };
            let tracker = &self.tracker;
            self.retry
                .record_failure(&failure, address, slot, tracker)
                .await?;
        }
    }

    async fn slot(&mut self) -> Result<(SocketAddr, Slot), ErrorResponse> {
        let left = self.call.remaining();
        let waiting = self.retry.acquire_slot(Ask::default(), &mut self.tracker);
        let outcome = compio::time::timeout(left, waiting).await;
        outcome.unwrap_or_else(|_| Err(call::deadline_exceeded(self.retry.run())))
    }

    async fn send(
        &self,
        address: SocketAddr,
        fresh: Duration,
        limit: Duration,
    ) -> Result<BufferedResponse, AttemptError> {
        let id = RequestId::random();
        let request = || self.request(&id, address);
        let opening = self.context.settings.connect_timeout;
        let exchange = self
            .context
            .connections
            .send(address, fresh, opening, request);
        let (connection, response) = with_timeout(limit, exchange).await??;
        if attempt::is_declined(&response, &id) {
            return Err(AttemptError::Declined);
        }
        if attempt::is_mismatched(&response, &id) {
            return Err(AttemptError::Invalid(
                "the answer is another request's".into(),
            ));
        }
        if !has_end(&response) {
            return Err(AttemptError::Invalid("the answer tells no length".into()));
        }
        let status = response.status();
        let headers = response.headers().clone();
        let bound = self.context.settings.max_response;
        let body = body::read(response.into_body(), bound, limit).await;
        let body = body.map_err(|error| match error {
            ReadError::TooLong => AttemptError::Invalid("the answer is over the bound".into()),
            ReadError::TooSlow => AttemptError::TimedOut,
            ReadError::Broken => AttemptError::Lost("the answer ended early".into()),
        })?;
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
            if !is_own(name) {
                headers.append(name.clone(), value.clone());
            }
        }
        set_header(headers, "host", &address.to_string());
        set_header(headers, REQUEST_ID, id.as_str());
        set_header(headers, "x-organisation", self.call.organisation.as_str());
        set_header(
            headers,
            DEADLINE,
            &self.call.remaining().as_millis().to_string(),
        );
        request
    }

    fn respond(mut self, record: BufferedResponse) -> Response<Body> {
        let mut response = Response::new(Body::full(record.body));
        *response.status_mut() = record.status;
        let headers = response.headers_mut();
        for (name, value) in &record.headers {
            if !is_own(name) {
                headers.append(name.clone(), value.clone());
            }
        }
        set_run_headers(headers, &self.call.request, Run::Ran);
        self.tracker.record_first_token();
        self.tracker.record.whole = true;
        self.tracker.record_response(record.status, Run::Ran);
        response
    }

    fn repeat_record(mut self, settle: Settle) -> Response<Body> {
        let response = recorded_response(&self.call.request, settle);
        self.tracker.record.whole = true;
        self.tracker.record_response(response.status(), Run::Ran);
        response
    }

    fn refuse(&mut self, refusal: ErrorResponse) -> ErrorResponse {
        self.tracker.record_error(&refusal);
        refusal
    }
}

/// Whether an answer tells where it ends, so that a cut one is known.
fn has_end(response: &Response<Incoming>) -> bool {
    let headers = response.headers();
    let status = response.status();
    headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED
}

fn is_own(name: &HeaderName) -> bool {
    OWN_HEADERS.contains(&name.as_str())
}

/// The pool, the service's own path, and whether the call may be repeated.
fn target(context: &Context, call: &Call) -> Result<(PoolId, CompactString, bool), ErrorResponse> {
    let uri = &call.head.uri;
    let rest = uri.path().strip_prefix(SERVICES).unwrap_or_default();
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let current = context.view.current();
    let found = current
        .services
        .binary_search_by(|s| s.id.as_str().cmp(name));
    let (Ok(at), Ok(pool)) = (found, name.parse()) else {
        return Err(ErrorResponse::not_run(
            StatusCode::NOT_FOUND,
            "unknown-service",
            "no such service is configured",
            "ask the operators which services are configured",
        ));
    };
    let path = format_compact!("/{path}");
    if !is_plain(&path) {
        return Err(ErrorResponse::not_run(
            StatusCode::BAD_REQUEST,
            "malformed",
            "the path holds dot segments or empty ones",
            "send the path in its shortest form",
        ));
    }
    let repeatable = is_repeatable(&current.services[at], call.head.method.as_str(), &path);
    let full = match uri.query() {
        Some(query) => format_compact!("{path}?{query}"),
        None => path,
    };
    Ok((pool, full, repeatable))
}

/// Whether a service can't read the path as another one, which might not be repeatable.
fn is_plain(path: &str) -> bool {
    let lower = path.to_ascii_lowercase().replace("%2e", ".");
    let is_encoded = ["%2f", "%5c", "\\", ";", "//"]
        .iter()
        .any(|p| lower.contains(p));
    let mut segments = lower.split('/');
    !is_encoded && !segments.any(|s| s == "." || s == "..")
}

fn is_repeatable(service: &Service, method: &str, path: &str) -> bool {
    let mut routes = service.repeatable.iter();
    routes.any(|r| {
        let method_fits = r.method.is_empty() || r.method.eq_ignore_ascii_case(method);
        method_fits && is_under(path, &r.prefix)
    })
}

/// Whether a path is the prefix or lies under it, by whole segments.
fn is_under(path: &str, prefix: &str) -> bool {
    let rest = path.strip_prefix(prefix);
    rest.is_some_and(|r| r.is_empty() || prefix.ends_with('/') || r.starts_with('/'))
}
