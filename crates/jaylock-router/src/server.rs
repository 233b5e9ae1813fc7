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
use crate::head_validator::Checked;
use crate::lifecycle::Lifecycle;
use crate::response::set_header;

/// Wait after an accept that failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Smallest buffer for the head of a request, in bytes.
const SMALLEST_HEAD: usize = 8192;

/// Part of the bound of connections above which answers end theirs, as a divisor.
///
/// Callers that try again on a new connection would else leave idle ones until the bound is reached.
const CROWDED_PART: usize = 2;

/// Bounds on the connections of callers.
#[derive(Debug, Clone)]
pub struct ServerLimits {
    /// Connections at once; one over the bound is closed.
    pub max_connections: usize,
    /// Largest head of a request.
    pub max_head: ByteSize,
    /// Largest number of header fields.
    pub max_headers: usize,
    /// Time until the next head is there, from the end of the answer before.
    pub head_timeout: Duration,
    /// Time for a caller to take what was written to it.
    pub write_timeout: Duration,
}

/// What answers the requests of one listener.
pub trait Handler {
    /// Answers a request; dropping the future ends the work behind it.
    fn handle(&self, request: Request<Incoming>) -> impl Future<Output = Response<Body>>;
}

/// Accepts connections; each has a task of its own.
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
                compio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if lifecycle.connections() >= limits.max_connections {
            log::warn!(target: "router", "refused {peer}: the bound of connections is reached");
            continue;
        }
        let connection =
            serve_connection(stream, limits.clone(), lifecycle.clone(), handler.clone());
        compio::runtime::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(target: "router", "connection of {peer} ended: {error}");
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
    let _ = connection::keep_alive(&stream, limits.write_timeout);
    let mut builder = http1::Builder::new();
    builder
        .timer(CompioTimer)
        .header_read_timeout(limits.head_timeout)
        .max_headers(limits.max_headers)
        .max_buf_size(limits.max_head.0.max(SMALLEST_HEAD));
    let serving = lifecycle.clone();
    let crowded = limits.max_connections / CROWDED_PART;
    let service = service_fn(move |request| {
        let (handler, lifecycle) = (handler.clone(), serving.clone());
        async move { Ok::<_, Infallible>(answer(&*handler, &lifecycle, crowded, request).await) }
    });
    let longest = limits.max_head.0.max(SMALLEST_HEAD);
    let stream = Checked::new(HyperStream::new_plain(stream), longest);
    let mut connection = pin!(builder.serve_connection(stream, service));
    if lifecycle.closed.is_set() {
        // Its one request is refused and the answer closes the connection.
        return connection.await;
    }
    let _open = lifecycle.connection_token();
    let closed = pin!(lifecycle.closed.wait());
    match select(connection.as_mut(), closed).await {
        Either::Left((outcome, _)) => outcome,
        Either::Right(((), _)) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    }
}

async fn answer<H: Handler>(
    handler: &H,
    lifecycle: &Lifecycle,
    crowded: usize,
    request: Request<Incoming>,
) -> Response<Body> {
    let _busy = lifecycle.request_token();
    let mut response = handler.handle(request).await;
    if lifecycle.is_shutting_down() || lifecycle.connections() > crowded {
        set_header(response.headers_mut(), "connection", "close");
    }
    response
}
