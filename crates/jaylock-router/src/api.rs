use std::rc::Rc;
use std::time::Duration;

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use jaylock_observe::Run;
use jaylock_types::RequestId;

use crate::answer::{Refusal, json};
use crate::body::Body;
use crate::call::{self, Call, SERVICES};
use crate::context::Context;
use crate::route::RouteHandler;
use crate::server::Handler;
use crate::{address, announce, completion, service};

/// Time between two looks for idle connections to close.
const PRUNE_STEP: Duration = Duration::from_secs(1);

/// The router's own interface: chat, plain services, backend servers, and routes for every other path.
pub struct ApiHandler {
    /// What its requests share.
    pub shared: Rc<Context>,
    /// Answers what no path of the interface names.
    pub routes: Rc<RouteHandler>,
}

impl Handler for ApiHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let id = RequestId::random();
        let outcome = self.dispatch(&id, request).await;
        outcome.unwrap_or_else(|refusal| refusal.response(&id))
    }
}

impl ApiHandler {
    async fn dispatch(
        &self,
        id: &RequestId,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Refusal> {
        if !is_own(request.uri().path()) {
            return Ok(self.routes.handle(request).await);
        }
        let shared = &self.shared;
        let (head, incoming) = request.into_parts();
        let path = head.uri.path();
        match (&head.method, path) {
            (&Method::GET, "/v1/routers") => {
                Ok(address::list(shared, head.uri.query().unwrap_or_default()))
            }
            (&Method::GET, "/v1/ready") => readiness(shared, id),
            (&Method::GET, "/v1/health") => Ok(health(shared, id)),
            (&Method::POST, "/v1/chat/completions") => {
                let call = Call::admit(shared, id.clone(), head, incoming).await?;
                Box::pin(completion::answer(shared, call)).await
            }
            (_, path) if path.starts_with(SERVICES) => {
                let call = Call::admit(shared, id.clone(), head, incoming).await?;
                Box::pin(service::answer(shared, call)).await
            }
            (&Method::POST, path) if path.starts_with("/v1/backends/") => {
                let body = call::read(shared, incoming).await?;
                match path {
                    "/v1/backends/announce" => announce::announce(shared, &body).await,
                    "/v1/backends/heartbeat" => announce::heartbeat(shared, &body),
                    "/v1/backends/leave" => announce::leave(shared, &body),
                    _ => Err(no_such_path()),
                }
            }
            _ => Err(no_such_path()),
        }
    }
}

/// Closes idle connections to backend servers and does what requests left behind.
pub async fn tend(shared: Rc<Context>) {
    let working = shared.clone();
    let _worker = compio::runtime::spawn(async move { working.background.run().await });
    loop {
        compio::time::sleep(PRUNE_STEP).await;
        shared.links.prune(shared.settings.max_idle);
    }
}

/// Whether a path belongs to the interface itself, so that no route can take it.
fn is_own(path: &str) -> bool {
    path.starts_with("/v1/") || path.starts_with(SERVICES)
}

/// Says whether callers are taken: the newest configuration is known and the instance stays.
fn readiness(shared: &Context, id: &RequestId) -> Result<Response<Body>, Refusal> {
    if shared.is_ready() {
        return Ok(json(id, StatusCode::OK, Run::NotRun, "{}"));
    }
    Err(Refusal::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "not-ready",
        "this instance takes no callers",
        "ask another instance",
    )
    .after(shared.settings.retry_after))
}

fn health(shared: &Context, id: &RequestId) -> Response<Body> {
    let state = if shared.lifecycle.is_shutting_down() {
        "leaving"
    } else if shared.view.is_connected() {
        "ok"
    } else {
        "disconnected"
    };
    let index = shared.view.index();
    let body = format!("{{\"status\":\"{state}\",\"index\":{index}}}");
    json(id, StatusCode::OK, Run::NotRun, body)
}

fn no_such_path() -> Refusal {
    Refusal::not_run(
        StatusCode::NOT_FOUND,
        "no-such-path",
        "no such method and path",
        "use the paths that docs/operators/requests.md lists",
    )
}
