use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use compio::net::{TcpListener, TcpStream};
use cyper_core::{CompioExecutor, CompioTimer, HyperStream};
use http::{Request, Response, header};
use hyper::body::Incoming;
use hyper::server::conn::http2;
use jaylock_types::Secret;
use tonic::Status;
use tonic::body::Body;
use tonic::server::NamedService;
use tower::util::BoxCloneSyncService;
use tower::{Service, ServiceExt};

use crate::{CountedStream, accept, local_future};

type BoxedService = BoxCloneSyncService<Request<Body>, Response<Body>, Infallible>;

/// Who may call a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access {
    /// Other instances of the fleet.
    Instances,
    /// Operators.
    Operators,
}

/// Settings of the gRPC server of an instance.
#[derive(Debug, Clone)]
pub struct ServerSettings {
    /// Secret that other instances send.
    pub peer_secret: Secret,
    /// Secret that operators send.
    pub operator_secret: Secret,
    /// Idle time after which a ping is sent.
    pub ping_interval: Duration,
    /// Timeout for the reply to a ping, after which the connection is closed.
    pub ping_timeout: Duration,
    /// Maximum number of open connections.
    pub max_connections: usize,
}

impl Default for ServerSettings {
    fn default() -> Self {
        Self {
            peer_secret: Secret::default(),
            operator_secret: Secret::default(),
            ping_interval: Duration::from_secs(4),
            ping_timeout: Duration::from_secs(2),
            max_connections: 2048,
        }
    }
}

/// The gRPC services of an instance, with the callers that each one allows.
#[derive(Default)]
pub struct Routes {
    entries: Vec<Entry>,
}

struct Entry {
    name: &'static str,
    access: Access,
    service: BoxedService,
}

impl Routes {
    /// Adds a generated service.
    #[must_use]
    pub fn with<S>(mut self, access: Access, service: S) -> Self
    where
        S: Service<Request<Body>, Response = Response<Body>, Error = Infallible>
            + NamedService
            + Clone
            + Send
            + Sync
            + 'static,
        S::Future: Send + 'static,
    {
        self.entries.push(Entry {
            name: S::NAME,
            access,
            service: BoxCloneSyncService::new(service),
        });
        self
    }

    async fn dispatch(
        &self,
        request: Request<Incoming>,
        settings: &ServerSettings,
    ) -> Response<Body> {
        let name = request.uri().path().split('/').nth(1).unwrap_or_default();
        let Some(entry) = self.entries.iter().find(|e| e.name == name) else {
            return error_response(Status::unimplemented("this instance has no such service"));
        };
        if !is_allowed(&request, entry.access, settings) {
            let text = "wrong secret: check [security] in the settings or --secret";
            return error_response(Status::unauthenticated(text));
        }
        let service = entry.service.clone();
        match service.oneshot(request.map(Body::new)).await {
            Ok(response) => response,
            Err(never) => match never {},
        }
    }
}

/// Serves gRPC on a listener until the returned future is dropped.
///
/// Each connection has its own task; connections above `max_connections` are closed immediately.
pub async fn serve(listener: TcpListener, routes: Routes, settings: ServerSettings) {
    let routes = Rc::new(routes);
    let settings = Rc::new(settings);
    let open_connections = Rc::new(());
    loop {
        let (stream, peer) = accept(&listener, "rpc").await;
        if Rc::strong_count(&open_connections) > settings.max_connections {
            log::warn!(target: "rpc", "refused connection from {peer}: {} connections are open", settings.max_connections);
            continue;
        }
        let (routes, settings, open_connection) =
            (routes.clone(), settings.clone(), open_connections.clone());
        compio::runtime::spawn(async move {
            if let Err(error) = serve_connection(stream, routes, settings).await {
                log::debug!(target: "rpc", "connection from {peer} ended: {error}");
            }
            drop(open_connection);
        })
        .detach();
    }
}

async fn serve_connection(
    stream: TcpStream,
    routes: Rc<Routes>,
    settings: Rc<ServerSettings>,
) -> hyper::Result<()> {
    let _ = stream.set_nodelay(true);
    let mut builder = http2::Builder::new(CompioExecutor);
    builder
        .timer(CompioTimer)
        .keep_alive_interval(settings.ping_interval)
        .keep_alive_timeout(settings.ping_timeout);
    let service = hyper::service::service_fn(move |request| {
        let (routes, settings) = (routes.clone(), settings.clone());
        local_future(async move { Ok::<_, Infallible>(routes.dispatch(request, &settings).await) })
    });
    let stream = CountedStream::new(HyperStream::new_plain(stream));
    builder.serve_connection(stream, service).await
}

fn is_allowed(request: &Request<Incoming>, access: Access, settings: &ServerSettings) -> bool {
    let secret = match access {
        Access::Instances => &settings.peer_secret,
        Access::Operators => &settings.operator_secret,
    };
    let header = request.headers().get(header::AUTHORIZATION);
    let bearer = header
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.strip_prefix("Bearer "));
    bearer.is_some_and(|token| secret.matches(token))
}

fn error_response(status: Status) -> Response<Body> {
    status.into_http()
}
