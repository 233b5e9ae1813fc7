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

use crate::account::Account;
use crate::answer::{RECORDED, REQUEST_ID, RUN, Refusal, mark, put};
use crate::attempt;
use crate::body::{self, Body, ReadError};
use crate::call::{self, Call, DEADLINE, SERVICES};
use crate::claim::{Claimed, HeldClaim, recorded, unknown_outcome};
use crate::context::Context;
use crate::failure::{Failure, silence_limit};
use crate::record::Record;
use crate::retry::Retry;
use crate::slot::Slot;

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
    shared: Rc<Context>,
    call: Call,
    path: CompactString,
    account: Account,
    retry: Retry,
}

/// Answers a request for a plain service.
pub async fn answer(shared: &Rc<Context>, call: Call) -> Result<Response<Body>, Refusal> {
    let (pool, path, repeatable) = target(shared, &call)?;
    let service_call = ServiceCall {
        shared: shared.clone(),
        path,
        account: call.account(shared, pool.clone(), RequestKind::Service),
        retry: Retry::new(shared.clone(), &call, pool),
        call,
    };
    if repeatable {
        service_call.repeat().await
    } else {
        once(service_call).await
    }
}

/// Runs a request at most once, in a task that outlives its caller.
async fn once(call: ServiceCall) -> Result<Response<Body>, Refusal> {
    let (sender, receiver) = oneshot::channel();
    let left = call.call.left();
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

fn still_running() -> Refusal {
    Refusal::not_run(
        StatusCode::GATEWAY_TIMEOUT,
        "deadline",
        "the time limit is over and the call goes on",
        "ask for its outcome with the same key",
    )
    .ran(Run::Unknown)
    .after(Duration::from_secs(1))
}

impl ServiceCall {
    async fn run_once(mut self) -> Result<Response<Body>, Refusal> {
        let claim = match HeldClaim::take(&self.shared, &self.call).await {
            Ok(Claimed::Held(claim)) => claim,
            Ok(Claimed::Recorded(settle)) => return Ok(self.repeat_record(settle)),
            Err(refusal) => return Err(self.refuse(refusal)),
        };
        let (fresh, limit) = (
            self.shared.settings.max_idle_once,
            self.shared.settings.once_timeout,
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
                    self.retry.succeeded(slot);
                    claim.settle(Some(&record)).await;
                    return Ok(self.respond(record));
                }
                Err(failure) => failure,
            };
            let account = &self.account;
            let again = self.retry.failed(&failure, address, slot, account).await;
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

    async fn repeat(mut self) -> Result<Response<Body>, Refusal> {
        let left = self.call.left();
        match compio::time::timeout(left, self.repeat_until_whole()).await {
            Ok(Ok(record)) => Ok(self.respond(record)),
            Ok(Err(refusal)) => Err(self.refuse(refusal)),
            Err(_) => {
                let refusal = call::late(self.retry.run());
                Err(self.refuse(refusal))
            }
        }
    }

    async fn repeat_until_whole(&mut self) -> Result<Record, Refusal> {
        let (idle, limit) = (
            self.shared.settings.max_idle,
            self.shared.settings.first_byte_timeout,
        );
        loop {
            let (address, slot) = self.slot().await?;
            let failure = match self.send(address, idle, limit).await {
                Ok(record) => {
                    self.retry.succeeded(slot);
                    return Ok(record);
                }
                Err(failure) => failure,
            };
            let account = &self.account;
            self.retry.failed(&failure, address, slot, account).await?;
        }
    }

    async fn slot(&mut self) -> Result<(SocketAddr, Slot), Refusal> {
        let left = self.call.left();
        let waiting = self.retry.slot(Ask::default(), &mut self.account);
        let outcome = compio::time::timeout(left, waiting).await;
        outcome.unwrap_or_else(|_| Err(call::late(self.retry.run())))
    }

    async fn send(
        &self,
        address: SocketAddr,
        fresh: Duration,
        limit: Duration,
    ) -> Result<Record, Failure> {
        let id = RequestId::random();
        let request = || self.request(&id, address);
        let opening = self.shared.settings.connect_timeout;
        let exchange = self.shared.links.exchange(address, fresh, opening, request);
        let (link, response) = silence_limit(limit, exchange).await??;
        if attempt::is_declined(&response, &id) {
            return Err(Failure::Declined);
        }
        if attempt::is_crossed(&response, &id) {
            return Err(Failure::Faulty("the answer is another request's".into()));
        }
        if !has_end(&response) {
            return Err(Failure::Faulty("the answer tells no length".into()));
        }
        let status = response.status();
        let headers = response.headers().clone();
        let bound = self.shared.settings.max_response;
        let body = body::read(response.into_body(), bound, limit).await;
        let body = body.map_err(|error| match error {
            ReadError::TooLong => Failure::Faulty("the answer is over the bound".into()),
            ReadError::TooSlow => Failure::Silent,
            ReadError::Broken => Failure::Broken("the answer ended early".into()),
        })?;
        self.shared.links.put(link);
        Ok(Record {
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
        put(headers, "host", &address.to_string());
        put(headers, REQUEST_ID, id.as_str());
        put(headers, "x-organisation", self.call.organisation.as_str());
        put(headers, DEADLINE, &self.call.left().as_millis().to_string());
        request
    }

    fn respond(mut self, record: Record) -> Response<Body> {
        let mut response = Response::new(Body::full(record.body));
        *response.status_mut() = record.status;
        let headers = response.headers_mut();
        for (name, value) in &record.headers {
            if !is_own(name) {
                headers.append(name.clone(), value.clone());
            }
        }
        mark(headers, &self.call.request, Run::Ran);
        self.account.first();
        self.account.record.whole = true;
        self.account.answered(record.status, Run::Ran);
        response
    }

    fn repeat_record(mut self, settle: Settle) -> Response<Body> {
        let response = recorded(&self.call.request, settle);
        self.account.record.whole = true;
        self.account.answered(response.status(), Run::Ran);
        response
    }

    fn refuse(&mut self, refusal: Refusal) -> Refusal {
        self.account.refused(&refusal);
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
fn target(shared: &Context, call: &Call) -> Result<(PoolId, CompactString, bool), Refusal> {
    let uri = &call.head.uri;
    let rest = uri.path().strip_prefix(SERVICES).unwrap_or_default();
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let current = shared.view.current();
    let found = current
        .services
        .binary_search_by(|s| s.id.as_str().cmp(name));
    let (Ok(at), Ok(pool)) = (found, name.parse()) else {
        return Err(Refusal::not_run(
            StatusCode::NOT_FOUND,
            "unknown-service",
            "no such service is configured",
            "ask the operators which services are configured",
        ));
    };
    let path = format_compact!("/{path}");
    if !is_plain(&path) {
        return Err(Refusal::not_run(
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
