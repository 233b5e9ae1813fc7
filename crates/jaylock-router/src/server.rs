use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use compio::net::{TcpListener, TcpStream};
use cyper_core::{CompioTimer, HyperStream};
use futures_util::future::{Either, select};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use jaylock_observe::Run;
use jaylock_types::RequestId;

use crate::answer::{Refusal, json, put};
use crate::body::Body;
use crate::call::{self, Call};
use crate::router::Shared;
use crate::{address, announce, completion, link, service};

/// Wait after an accept that failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Smallest buffer for the head of a request, in bytes.
const SMALLEST_HEAD: usize = 8192;
/// Time between two looks for idle connections to close.
const PRUNE_STEP: Duration = Duration::from_secs(1);

/// Accepts connections; each has a task of its own.
pub async fn serve(shared: Rc<Shared>, listener: TcpListener) {
    let _pruner = compio::runtime::spawn(prune(shared.clone()));
    let working = shared.clone();
    let _worker = compio::runtime::spawn(async move { working.background.run().await });
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!(target: "router", "accept failed: {error}");
                compio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if Rc::strong_count(&shared.open) > shared.settings.connections {
            log::warn!(target: "router", "refused {peer}: the bound of connections is reached");
            continue;
        }
        let shared = shared.clone();
        compio::runtime::spawn(async move {
            if let Err(error) = serve_connection(shared, stream).await {
                log::debug!(target: "router", "connection of {peer} ended: {error}");
            }
        })
        .detach();
    }
}

async fn prune(shared: Rc<Shared>) {
    loop {
        compio::time::sleep(PRUNE_STEP).await;
        shared.links.prune(shared.settings.idle);
    }
}

async fn serve_connection(shared: Rc<Shared>, stream: TcpStream) -> Result<(), hyper::Error> {
    let _ = stream.set_nodelay(true);
    let _ = link::keep_alive(&stream, shared.settings.write_stall);
    let mut builder = http1::Builder::new();
    builder
        .timer(CompioTimer)
        .header_read_timeout(shared.settings.slow_sender)
        .max_headers(shared.settings.header_count)
        .max_buf_size(shared.settings.header_bound.0.max(SMALLEST_HEAD));
    let serving = shared.clone();
    let service = service_fn(move |request| {
        let shared = serving.clone();
        async move { Ok::<_, Infallible>(answer(&shared, request).await) }
    });
    let stream = HyperStream::new_plain(stream);
    let mut connection = pin!(builder.serve_connection(stream, service));
    if shared.closed.is_thrown() {
        // Its one request is refused and the answer closes the connection.
        return connection.await;
    }
    let _open = shared.open.clone();
    let closed = pin!(shared.closed.wait());
    match select(connection.as_mut(), closed).await {
        Either::Left((outcome, _)) => outcome,
        Either::Right(((), _)) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    }
}

async fn answer(shared: &Rc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let id = RequestId::random();
    let _busy = shared.busy();
    let outcome = route(shared, &id, request).await;
    let mut response = outcome.unwrap_or_else(|refusal| refusal.response(&id));
    if shared.is_leaving() {
        put(response.headers_mut(), "connection", "close");
    }
    response
}

async fn route(
    shared: &Rc<Shared>,
    id: &RequestId,
    request: Request<Incoming>,
) -> Result<Response<Body>, Refusal> {
    let (head, incoming) = request.into_parts();
    let path = head.uri.path();
    match (&head.method, path) {
        (&Method::GET, "/v1/routers") => Ok(address::list(shared)),
        (&Method::GET, "/v1/health") => Ok(health(shared, id)),
        (&Method::POST, "/v1/chat/completions") => {
            let call = Call::admit(shared, id.clone(), head, incoming).await?;
            Box::pin(completion::answer(shared, call)).await
        }
        (_, path) if path.starts_with(service::PREFIX) => {
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

fn health(shared: &Shared, id: &RequestId) -> Response<Body> {
    let state = if shared.is_leaving() {
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
