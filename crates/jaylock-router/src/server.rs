use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use compio::net::{TcpListener, TcpStream};
use cyper_core::{CompioTimer, HyperStream};
use futures_util::future::{Either, select};
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use jaylock_types::ByteSize;

use crate::body::Body;
use crate::connection;
use crate::head_validator::ValidatedStream;
use crate::lifecycle::Lifecycle;
use crate::response::set_header;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
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
    /// Maximum number of open connections; further ones are closed.
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
}

/// Accepts connections and serves each in its own task.
pub async fn serve<H: Handler + 'static>(
    listener: TcpListener,
    limits: ServerLimits,
    lifecycle: Rc<Lifecycle>,
    handler: Rc<H>,
) {
    let limits = Rc::new(limits);
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!(target: "router", "accept failed: {error}");
                compio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if lifecycle.connections() >= limits.max_connections {
            log::warn!(target: "router", "refused connection from {peer}: the maximum number of connections is reached");
            continue;
        }
        let connection =
            serve_connection(stream, limits.clone(), lifecycle.clone(), handler.clone());
        compio::runtime::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(target: "router", "connection from {peer} ended: {error}");
            }
        })
        .detach();
    }
}

async fn serve_connection<H: Handler + 'static>(
    stream: TcpStream,
    limits: Rc<ServerLimits>,
    lifecycle: Rc<Lifecycle>,
    handler: Rc<H>,
) -> Result<(), hyper::Error> {
    let _ = stream.set_nodelay(true);
    let _ = connection::enable_keepalive(&stream, limits.write_timeout);
    let mut builder = http1::Builder::new();
    builder
        .timer(CompioTimer)
        .header_read_timeout(limits.head_timeout)
        .max_headers(limits.max_headers)
        .max_buf_size(limits.max_head.0.max(MIN_HEAD_BYTES));
    let service_lifecycle = lifecycle.clone();
    let close_above = limits.max_connections / CLOSE_DIVISOR;
    let service = service_fn(move |request| {
        let (handler, lifecycle) = (handler.clone(), service_lifecycle.clone());
        async move { Ok::<_, Infallible>(respond(&*handler, &lifecycle, close_above, request).await) }
    });
    let max_head_bytes = limits.max_head.0.max(MIN_HEAD_BYTES);
    let stream = ValidatedStream::new(HyperStream::new_plain(stream), max_head_bytes);
    let mut connection = pin!(builder.serve_connection(stream, service));
    if lifecycle.closed.is_set() {
        // One request is refused, and the response closes the connection.
        return connection.await;
    }
    let _connection_token = lifecycle.connection_token();
    let closed = pin!(lifecycle.closed.wait());
    match select(connection.as_mut(), closed).await {
        Either::Left((outcome, _)) => outcome,
        Either::Right(((), _)) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    }
}

async fn respond<H: Handler>(
    handler: &H,
    lifecycle: &Lifecycle,
    close_above: usize,
    request: Request<Incoming>,
) -> Response<Body> {
    let _request_token = lifecycle.request_token();
    let mut response = handler.handle(request).await;
    if lifecycle.is_shutting_down() || lifecycle.connections() > close_above {
        set_header(response.headers_mut(), "connection", "close");
    }
    response
}
