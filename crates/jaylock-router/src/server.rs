use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::IpAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::{TcpListener, TcpStream};
use cyper_core::CompioTimer;
use futures_util::future::{Either, select};
use http::{Request, Response, Version};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use jaylock_rpc::accept;
use jaylock_types::{BoundedLog, ByteSize};

use crate::body::{Body, ResponseBody};
use crate::connection;
use crate::head_validator::ValidatedStream;
use crate::lifecycle::Lifecycle;
use crate::relay::Relay;
use crate::response::set_header;
use crate::socket::{self, SocketStream};

/// Time between two checks whether connections are accepted again.
const DEFER_INTERVAL: Duration = Duration::from_millis(5);
/// Smallest buffer for the head of a request.
const MIN_HEAD_BYTES: usize = 8192;

/// Divisor of the maximum number of connections, for the number above which each response closes its
/// connection.
///
/// Callers that retry over new connections would otherwise leave idle ones until the maximum is reached.
const CLOSE_DIVISOR: usize = 2;

/// Limits on the connections of callers.
#[derive(Debug, Clone)]
pub struct ServerLimits {
    /// Maximum number of open connections, those that are passed on included; further ones are closed.
    pub max_connections: usize,
    /// Largest head of a request.
    pub max_head: ByteSize,
    /// Maximum number of headers in a request.
    pub max_headers: usize,
    /// Time for the next head to arrive completely after a response.
    pub head_timeout: Duration,
    /// Time for a caller to acknowledge sent bytes.
    pub write_timeout: Duration,
}

/// Handles the requests of one listener.
pub trait Handler {
    /// Responds to a request; dropping the future cancels the work.
    fn handle(&self, request: Request<Incoming>) -> impl Future<Output = Response<Body>>;

    /// Whether connections close after each response, so that callers choose other instances.
    fn is_overloaded(&self) -> bool {
        false
    }

    /// Whether new connections wait, so that refusals leave time for the requests in progress.
    fn defers_connections(&self) -> bool {
        false
    }

    /// Records that a connection was accepted.
    fn record_connection(&self) {}

    /// Responds to a request whose work was cancelled because the instance stops.
    fn cancelled_response(&self) -> Response<Body>;
}

/// Accepts connections and serves each in its own task.
pub async fn serve<H: Handler + 'static>(
    listener: TcpListener,
    limits: ServerLimits,
    lifecycle: Rc<Lifecycle>,
    handler: Rc<H>,
) {
    let server = Server::new(limits, lifecycle, handler, None);
    server.accept_callers(listener).await;
}

/// State shared by the connections of one listener and those of its callers that other routers pass on.
pub struct Server<H> {
    limits: ServerLimits,
    lifecycle: Rc<Lifecycle>,
    handler: Rc<H>,
    relay: Option<Rc<Relay>>,
    /// Held by each open connection.
    open: Rc<()>,
}

/// Address of the caller, which a request holds among its extensions.
#[derive(Debug, Clone, Copy)]
pub struct CallerAddress(pub IpAddr);

/// Among the extensions of a request that another router passes on.
#[derive(Debug, Clone, Copy)]
pub struct Relayed;

/// From where a connection comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Origin {
    Caller,
    /// Another router, which passes on the connection of a caller for one request.
    Router,
}

impl<H: Handler + 'static> Server<H> {
    /// Creates the state; with a relay, connections are passed on while the processor is busy.
    pub fn new(
        limits: ServerLimits,
        lifecycle: Rc<Lifecycle>,
        handler: Rc<H>,
        relay: Option<Rc<Relay>>,
    ) -> Rc<Self> {
        Rc::new(Self {
            limits,
            lifecycle,
            handler,
            relay,
            open: Rc::default(),
        })
    }

    /// Accepts connections of callers and serves each in its own task.
    pub async fn accept_callers(self: Rc<Self>, listener: TcpListener) {
        // A line for each refused connection would take the time that the requests in progress need.
        let mut refusals = BoundedLog::default();
        loop {
            while self.handler.defers_connections() {
                compio::time::sleep(DEFER_INTERVAL).await;
            }
            let (stream, peer) = accept(&listener, "router").await;
            if self.connections() >= self.limits.max_connections {
                if let Some(refused) = refusals.record(Instant::now()) {
                    log::warn!(
                        target: "router", refused;
                        "refused connections: the maximum number of connections is reached"
                    );
                }
                continue;
            }
            let (server, open) = (self.clone(), self.open.clone());
            compio::runtime::spawn(async move {
                if let Err(error) = server.serve_caller(stream, peer.ip()).await {
                    log::debug!(target: "router", "connection from {peer} ended: {error}");
                }
                drop(open);
            })
            .detach();
        }
    }

    /// Accepts connections that other routers pass on, and serves each that this one has room for in its own task.
    pub async fn accept_relays(self: Rc<Self>, listener: TcpListener) {
        loop {
            let (stream, peer) = accept(&listener, "router").await;
            let (server, open) = (self.clone(), self.open.clone());
            compio::runtime::spawn(async move {
                if let Err(error) = server.serve_relay(stream, peer.ip()).await {
                    log::debug!(target: "router", "connection from router {peer} ended: {error}");
                }
                drop(open);
            })
            .detach();
        }
    }

    /// Passes a connection on to another router if this one is busy, or serves it.
    async fn serve_caller(
        self: Rc<Self>,
        stream: TcpStream,
        peer: IpAddr,
    ) -> Result<(), hyper::Error> {
        let relay = self.relay.as_ref().filter(|relay| relay.takes_next());
        let stream = match relay {
            None => stream,
            Some(relay) => match Box::pin(relay.pass_on(stream)).await {
                Ok(()) => return Ok(()),
                Err(stream) => stream,
            },
        };
        self.handler.record_connection();
        self.serve_connection(stream, peer, Origin::Caller).await
    }

    /// Serves one request of a connection that another router passes on.
    async fn serve_relay(self: Rc<Self>, mut stream: TcpStream, peer: IpAddr) -> io::Result<()> {
        let Some(relay) = &self.relay else {
            return Ok(());
        };
        if Box::pin(relay.take(&mut stream, !self.is_crowded())).await? {
            self.handler.record_connection();
            let served = self.serve_connection(stream, peer, Origin::Router).await;
            served.map_err(io::Error::other)?;
        }
        Ok(())
    }

    async fn serve_connection(
        self: Rc<Self>,
        stream: TcpStream,
        peer: IpAddr,
        origin: Origin,
    ) -> Result<(), hyper::Error> {
        let handle = stream.clone();
        let is_older = Rc::new(Cell::new(false));
        let outcome = self
            .exchange(stream, (peer, origin), is_older.clone())
            .await;
        if outcome.is_err() && is_older.get() {
            // An orderly close would end the response.
            socket::reset_on_close(&handle);
        }
        outcome
    }

    /// Serves the requests of a connection; `is_older` is set for a caller who knows no chunks, only the end of the connection.
    async fn exchange(
        self: Rc<Self>,
        stream: TcpStream,
        (peer, origin): (IpAddr, Origin),
        is_older: Rc<Cell<bool>>,
    ) -> Result<(), hyper::Error> {
        let _ = stream.set_nodelay(true);
        if self.handler.is_overloaded() {
            // Each option costs a system call. Without probes, a caller that is gone is found at the next write.
            let _ = connection::set_write_timeout(&stream, self.limits.write_timeout);
        } else {
            let _ = connection::enable_keepalive(&stream, self.limits.write_timeout);
        }
        let max_head_bytes = self.limits.max_head.0.max(MIN_HEAD_BYTES);
        let mut builder = http1::Builder::new();
        builder
            .timer(CompioTimer)
            .keep_alive(origin == Origin::Caller)
            .header_read_timeout(self.limits.head_timeout)
            .max_headers(self.limits.max_headers)
            .max_buf_size(max_head_bytes);
        // Set by the first request, so that the last response is sent before the instance stops.
        let connection_token = Rc::new(Cell::new(None));
        let (server, token) = (self.clone(), connection_token.clone());
        let service = service_fn(move |mut request: Request<Incoming>| {
            request.extensions_mut().insert(CallerAddress(peer));
            if origin == Origin::Router {
                request.extensions_mut().insert(Relayed);
            }
            is_older.set(request.version() < Version::HTTP_11);
            token.set(Some(server.lifecycle.connection_token()));
            let server = server.clone();
            async move { Ok::<_, Infallible>(server.respond(request).await) }
        });
        let stream = ValidatedStream::new(SocketStream::new(stream), max_head_bytes);
        let mut connection = pin!(builder.serve_connection(stream, service));
        if self.lifecycle.closed.is_set() {
            // One request is refused, and the response closes the connection.
            return connection.await;
        }
        let closed = pin!(self.lifecycle.closed.wait());
        match select(connection.as_mut(), closed).await {
            Either::Left((outcome, _)) => outcome,
            Either::Right(((), _)) => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        }
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let request_token = self.lifecycle.request_token();
        let cancelled = self.lifecycle.cancelled.waiter();
        let handling = pin!(self.handler.handle(request));
        let (mut response, cancelled) = match select(handling, cancelled).await {
            Either::Left((response, cancelled)) => (response, Some(cancelled)),
            Either::Right(_) => (self.handler.cancelled_response(), None),
        };
        let is_overloaded = self.is_crowded() || self.handler.is_overloaded();
        let passes_on = self.relay.as_ref().is_some_and(|r| r.closes_connections());
        if self.lifecycle.is_shutting_down() || is_overloaded || passes_on {
            set_header(response.headers_mut(), "connection", "close");
        }
        response.map(|body| ResponseBody::new(body, cancelled, request_token))
    }

    /// Whether so many connections are open that each closes after its response.
    fn is_crowded(&self) -> bool {
        self.connections() > self.limits.max_connections / CLOSE_DIVISOR
    }

    /// Number of open connections of this listener and of those that other routers pass on.
    fn connections(&self) -> usize {
        Rc::strong_count(&self.open) - 1
    }
}
