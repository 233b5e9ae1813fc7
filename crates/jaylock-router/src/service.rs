use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use futures_channel::oneshot;
use http::{HeaderName, Request, Response, StatusCode, Uri, header};
use http_body_util::Full;
use jaylock_observe::{RequestKind, Run};
use jaylock_rpc::v1::end::Outcome;
use jaylock_rpc::v1::{Ask, Service};
use jaylock_types::{PoolId, RequestId};

use crate::account::Account;
use crate::answer::{REQUEST_ID, Refusal, mark, put};
use crate::attempt::{self, Failure, exchange, silence_limit};
use crate::body::{self, Body};
use crate::call::{self, Call, DEADLINE};
use crate::claim::{Claimed, HeldClaim, Record, recorded, unknown_outcome};
use crate::generation::{gave_up, outcome};
use crate::router::Shared;
use crate::slot::Slot;

/// Path under which plain services are reached.
pub const PREFIX: &str = "/services/";
/// Header fields that belong to one connection or to this router, in lower case.
const OWN_HEADERS: [&str; 9] = [
    "authorization",
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "transfer-encoding",
    "upgrade",
    REQUEST_ID,
    DEADLINE,
];

/// A call of a plain service.
struct ServiceCall {
    call: Call,
    pool: PoolId,
    path: CompactString,
    account: Account,
    tries: u32,
    run: Run,
    avoid: Vec<String>,
}

/// Answers a request for a plain service.
pub async fn answer(shared: &Rc<Shared>, call: Call) -> Result<Response<Body>, Refusal> {
    let (pool, path, repeatable) = target(shared, &call)?;
    let account = Account::new(shared, &call, pool.clone(), RequestKind::Service);
    let service_call = ServiceCall {
        call,
        pool,
        path,
        account,
        tries: 0,
        run: Run::NotRun,
        avoid: Vec::new(),
    };
    if repeatable {
        service_call.repeat(shared).await
    } else {
        once(shared, service_call).await
    }
}

/// Runs a request at most once, in a task that outlives its caller.
async fn once(shared: &Rc<Shared>, call: ServiceCall) -> Result<Response<Body>, Refusal> {
    let (sender, receiver) = oneshot::channel();
    let left = call.call.left();
    let shared = shared.clone();
    compio::runtime::spawn(async move {
        let _ = sender.send(call.run_once(&shared).await);
    })
    .detach();
    match compio::time::timeout(left, receiver).await {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(_)) => Err(unknown_outcome()),
        Err(_) => Err(call::late(Run::Unknown)),
    }
}

impl ServiceCall {
    async fn run_once(mut self, shared: &Rc<Shared>) -> Result<Response<Body>, Refusal> {
        let claim = match HeldClaim::take(shared, &self.call).await {
            Ok(Claimed::Held(claim)) => claim,
            Ok(Claimed::Recorded(settle)) => {
                let response = recorded(&self.call.request, settle);
                self.account.record.whole = true;
                self.account.answered(response.status(), Run::Ran);
                return Ok(response);
            }
            Err(refusal) => return Err(self.refuse(refusal)),
        };
        let fresh = shared.settings.fresh;
        loop {
            match self
                .attempt(shared, fresh, shared.settings.once_limit)
                .await
            {
                Ok(record) => {
                    claim.settle(Some(&record)).await;
                    return Ok(self.respond(record));
                }
                Err(Ended::Refused(refusal)) => {
                    claim.release();
                    return Err(self.refuse(refusal));
                }
                Err(Ended::Failed(failure)) if is_not_run(&failure) => {
                    if self.tries >= shared.settings.attempts {
                        claim.release();
                        return Err(self.refuse(gave_up(Run::NotRun)));
                    }
                }
                Err(Ended::Failed(_)) => {
                    claim.settle(None).await;
                    return Err(self.refuse(unknown_outcome()));
                }
            }
        }
    }

    async fn repeat(mut self, shared: &Rc<Shared>) -> Result<Response<Body>, Refusal> {
        let left = self.call.left();
        let outcome = compio::time::timeout(left, self.repeat_until_whole(shared)).await;
        match outcome {
            Ok(Ok(record)) => Ok(self.respond(record)),
            Ok(Err(refusal)) => Err(self.refuse(refusal)),
            Err(_) => {
                let refusal = call::late(self.run);
                Err(self.refuse(refusal))
            }
        }
    }

    async fn repeat_until_whole(&mut self, shared: &Rc<Shared>) -> Result<Record, Refusal> {
        let settings = &shared.settings;
        loop {
            match self
                .attempt(shared, settings.idle, settings.first_byte)
                .await
            {
                Ok(record) => return Ok(record),
                Err(Ended::Refused(refusal)) => return Err(refusal),
                Err(Ended::Failed(_)) if self.tries >= settings.attempts => {
                    return Err(gave_up(self.run));
                }
                Err(Ended::Failed(_)) => {}
            }
        }
    }

    async fn attempt(
        &mut self,
        shared: &Rc<Shared>,
        fresh: Duration,
        limit: Duration,
    ) -> Result<Record, Ended> {
        let (address, slot) = self.slot(shared).await.map_err(Ended::Refused)?;
        self.tries += 1;
        self.account.record.attempts = self.tries;
        self.account.step(format_compact!(
            "attempt {} at {}",
            self.tries,
            slot.backend()
        ));
        let before = self.run;
        self.run = Run::Unknown;
        match self.send(shared, &address, fresh, limit).await {
            Ok(record) => {
                self.run = Run::Ran;
                self.account.first();
                slot.close(Outcome::Complete);
                Ok(record)
            }
            Err(failure) => {
                self.account
                    .step(format_compact!("attempt failed: {failure}"));
                if is_not_run(&failure) {
                    self.run = before;
                    self.avoid.push(slot.backend().to_owned());
                }
                slot.close(outcome(&failure));
                Err(Ended::Failed(failure))
            }
        }
    }

    async fn slot(&mut self, shared: &Rc<Shared>) -> Result<(String, Slot), Refusal> {
        let waited = self.call.arrived.elapsed().as_millis();
        let ask = Ask {
            organisation: self.call.organisation.to_string(),
            avoid: self.avoid.clone(),
            waited_ms: u32::try_from(waited).unwrap_or(u32::MAX),
            request: self.call.request.to_string(),
            ..Ask::default()
        };
        let asked = Instant::now();
        let waiting = shared.capacity.ask(&self.pool, ask);
        let outcome = compio::time::timeout(self.call.left(), waiting).await;
        self.account.record.waited += asked.elapsed();
        let outcome = outcome.map_err(|_| call::late(self.run))?;
        let grant = outcome.map_err(|r| Refusal::of_capacity(&r).ran(self.run))?;
        let address = grant.address.clone();
        Ok((
            address,
            Slot::new(shared.capacity.clone(), self.pool.clone(), grant),
        ))
    }

    async fn send(
        &self,
        shared: &Rc<Shared>,
        address: &str,
        fresh: Duration,
        limit: Duration,
    ) -> Result<Record, Failure> {
        let malformed = |_| Failure::Unreachable("its address is malformed".into());
        let address: SocketAddr = address.parse().map_err(malformed)?;
        let id = RequestId::random();
        let request = || self.request(&id, address);
        let exchange = exchange(shared, address, fresh, request);
        let (link, response) = silence_limit(limit, exchange).await??;
        if attempt::is_declined(&response, &id) {
            return Err(Failure::Declined);
        }
        if attempt::is_crossed(&response, &id) {
            return Err(Failure::Faulty("the answer is another request's".into()));
        }
        let status = response.status();
        let content_type = attempt::content_type(&response);
        let settings = &shared.settings;
        let reading = body::read(response.into_body(), settings.answer_bound, limit);
        let body = reading
            .await
            .map_err(|e| Failure::Broken(format_compact!("{e:?}")))?;
        shared.links.put(link);
        Ok(Record {
            status,
            content_type,
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
        let mut response = Response::new(Body::whole(record.body));
        *response.status_mut() = record.status;
        let headers = response.headers_mut();
        put(headers, header::CONTENT_TYPE.as_str(), &record.content_type);
        mark(headers, &self.call.request, Run::Ran);
        self.account.record.whole = true;
        self.account.answered(record.status, Run::Ran);
        response
    }

    fn refuse(&mut self, refusal: Refusal) -> Refusal {
        self.account.answered(refusal.status, refusal.run);
        refusal
    }
}

/// How an attempt at a plain service ended without an answer.
enum Ended {
    Refused(Refusal),
    Failed(Failure),
}

fn is_not_run(failure: &Failure) -> bool {
    matches!(failure, Failure::Unreachable(_) | Failure::Declined)
}

fn is_own(name: &HeaderName) -> bool {
    OWN_HEADERS.contains(&name.as_str())
}

/// The pool, the service's own path, and whether the call may be repeated.
fn target(shared: &Shared, call: &Call) -> Result<(PoolId, CompactString, bool), Refusal> {
    let uri = &call.head.uri;
    let rest = uri.path().strip_prefix(PREFIX).unwrap_or_default();
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let current = shared.view.current();
    let found = current
        .services
        .binary_search_by(|s| s.id.as_str().cmp(name));
    let pool = name.parse();
    let (Ok(at), Ok(pool)) = (found, pool) else {
        return Err(Refusal::not_run(
            StatusCode::NOT_FOUND,
            "unknown-service",
            "no such service is configured",
            "ask the operators which services are configured",
        ));
    };
    let path = format_compact!("/{path}");
    let repeatable = is_repeatable(&current.services[at], call.head.method.as_str(), &path);
    let full = match uri.query() {
        Some(query) => format_compact!("{path}?{query}"),
        None => path,
    };
    Ok((pool, full, repeatable))
}

fn is_repeatable(service: &Service, method: &str, path: &str) -> bool {
    let mut routes = service.repeatable.iter();
    routes.any(|r| {
        let method_fits = r.method.is_empty() || r.method.eq_ignore_ascii_case(method);
        method_fits && path.starts_with(&r.prefix)
    })
}
