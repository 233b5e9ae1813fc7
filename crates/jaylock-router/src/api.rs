use std::rc::Rc;
use std::time::Duration;

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use jaylock_observe::RunStatus;
use jaylock_types::RequestId;

use crate::body::Body;
use crate::call::{self, Call, SERVICES_PATH};
use crate::context::Context;
use crate::response::{ErrorResponse, json_response};
use crate::route::RouteHandler;
use crate::server::{CallerAddress, Handler};
use crate::{address, announce, completion, service};

/// Time between two checks for idle connections to close.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);

/// Handles the router's own API (chat, plain services, backend servers) and routes for all other paths.
pub struct ApiHandler {
    /// State shared by all requests.
    pub context: Rc<Context>,
    /// Handles the paths outside the API.
    pub routes: Rc<RouteHandler>,
}

impl Handler for ApiHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let id = RequestId::random();
        let outcome = self.dispatch(&id, request).await;
        outcome.unwrap_or_else(|error| error.to_response(&id))
    }

    fn is_overloaded(&self) -> bool {
        self.context.overload.is_overloaded()
    }

    fn defers_connections(&self) -> bool {
        self.context.overload.defers_connections()
    }

    fn cancelled_response(&self) -> Response<Body> {
        ErrorResponse::cancelled().to_response(&RequestId::random())
    }
}

impl ApiHandler {
    async fn dispatch(
        &self,
        id: &RequestId,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, ErrorResponse> {
        if !is_api_path(request.uri().path()) {
            return Ok(self.routes.handle(request).await);
        }
        let context = &self.context;
        let (head, incoming) = request.into_parts();
        let path = head.uri.path();
        match (&head.method, path) {
            (&Method::GET, "/v1/routers") => {
                let caller = head.extensions.get::<CallerAddress>();
                let caller = caller.map_or_else(String::new, |caller| caller.0.to_string());
                let query = head.uri.query().unwrap_or_default();
                Ok(address::list(context, query, &caller))
            }
            (&Method::GET, "/v1/ready") => readiness(context, id),
            (&Method::GET, "/v1/health") => Ok(health(context, id)),
            (&Method::POST, "/v1/chat/completions") => {
                let call = Call::admit(context, id.clone(), head, incoming).await?;
                Box::pin(completion::respond(context, call)).await
            }
            (_, path) if path.starts_with(SERVICES_PATH) => {
                let call = Call::admit(context, id.clone(), head, incoming).await?;
                Box::pin(service::respond(context, call)).await
            }
            (&Method::POST, path) if path.starts_with("/v1/backends/") => {
                let body = call::read(context, incoming).await?;
                match path {
                    "/v1/backends/announce" => announce::announce(context, &body).await,
                    "/v1/backends/heartbeat" => announce::heartbeat(context, &body),
                    "/v1/backends/leave" => announce::leave(context, &body).await,
                    _ => Err(no_such_path()),
                }
            }
            _ => Err(no_such_path()),
        }
    }
}

/// Runs background work of requests and closes idle connections to backend servers.
pub async fn run_maintenance(context: Rc<Context>) {
    let background_context = context.clone();
    let _worker = compio::runtime::spawn(async move { background_context.background.run().await });
    let _guard = compio::runtime::spawn(context.overload.clone().run());
    let _checks = compio::runtime::spawn(context.crash_checks.clone().run());
    loop {
        compio::time::sleep(PRUNE_INTERVAL).await;
        context.connections.prune(context.settings.max_idle);
    }
}

/// Whether a path belongs to the API, so that no route can take it.
fn is_api_path(path: &str) -> bool {
    path.starts_with("/v1/") || path.starts_with(SERVICES_PATH)
}

/// Responds whether this instance accepts callers, see [`Context::is_ready`].
fn readiness(context: &Context, id: &RequestId) -> Result<Response<Body>, ErrorResponse> {
    if context.is_ready() {
        return Ok(json_response(id, StatusCode::OK, RunStatus::NotRun, "{}"));
    }
    Err(ErrorResponse::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "not-ready",
        "this instance takes no callers",
        "ask another instance",
    )
    .with_retry_after(context.settings.retry_after))
}

fn health(context: &Context, id: &RequestId) -> Response<Body> {
    let state = if context.lifecycle.is_shutting_down() {
        "leaving"
    } else if context.view.is_connected() {
        "ok"
    } else {
        "disconnected"
    };
    let index = context.view.index();
    let body = format!("{{\"status\":\"{state}\",\"index\":{index}}}");
    json_response(id, StatusCode::OK, RunStatus::NotRun, body)
}

fn no_such_path() -> ErrorResponse {
    ErrorResponse::new(
        StatusCode::NOT_FOUND,
        "no-such-path",
        "no such method and path",
        "use the paths that docs/operators/requests.md lists",
    )
}
