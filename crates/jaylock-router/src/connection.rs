use std::cell::RefCell;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::time::{Duration, Instant};

use bytes::Bytes;
use compact_str::format_compact;
use compio::net::TcpStream;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error;

use crate::bounded_head::{BoundedHead, HeadBudget};
use crate::error::AttemptError;
use crate::framing;
use crate::orderly_end::{OrderlyEnd, WriteFailure};
use crate::socket::{self, SocketStream};

/// Maximum number of idle connections per address.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// Time without traffic after which the operating system probes a connection.
const KEEPALIVE_TIME: Duration = Duration::from_secs(3);
/// Time between two keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keepalive probes that close a connection.
const KEEPALIVE_RETRIES: u32 = 3;
/// Time for a backend server to acknowledge sent bytes.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_secs(6);
/// Delay before checking whether a backend server has crashed.
const PROBE_DELAY: Duration = Duration::from_millis(20);

/// A connection to a backend server, closed on drop.
pub struct Connection {
    address: SocketAddr,
    stream: TcpStream,
    sender: SendRequest<Full<Bytes>>,
    head_budget: HeadBudget,
    write_failure: WriteFailure,
    last_used: Instant,
    /// Whether a request was sent whose response has not been read completely.
    is_busy: bool,
    /// Whether it has carried a request before the current one.
    is_kept: bool,
    /// Whether no other request may be sent over it.
    is_expired: bool,
}

/// Error of sending a request over a connection.
#[derive(Debug, Error)]
pub enum SendError {
    /// No byte of the request was sent.
    #[error("the connection closed before the request left")]
    NotSent,
    /// The connection was lost and the request may have reached the backend server.
    #[error("the connection broke: {0}")]
    Lost(hyper::Error),
    /// The response can't be read, and the request may have run.
    #[error("{0}")]
    Invalid(&'static str),
}

impl From<SendError> for AttemptError {
    fn from(error: SendError) -> Self {
        match error {
            SendError::NotSent => Self::Unreachable("the connection closed".into()),
            SendError::Lost(error) => Self::Lost(format_compact!("{error}")),
            SendError::Invalid(reason) => Self::Invalid(reason.into()),
        }
    }
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    /// No connection could be opened within `timeout`.
    pub async fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let connected = compio::time::timeout(timeout, socket::connect(address)).await;
        let stream = connected.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        enable_keepalive(&stream, ACKNOWLEDGE_TIMEOUT)?;
        let head_budget = HeadBudget::default();
        let write_failure = WriteFailure::default();
        let io = OrderlyEnd::new(SocketStream::new(stream.clone()), write_failure.clone());
        let io = BoundedHead::new(io, head_budget.clone());
        let (sender, connection) = http1::handshake(io).await.map_err(io::Error::other)?;
        compio::runtime::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(target: "router", "connection to {address} ended: {error}");
            }
        })
        .detach();
        Ok(Self {
            address,
            stream,
            sender,
            head_budget,
            write_failure,
            last_used: Instant::now(),
            is_busy: false,
            is_kept: false,
            is_expired: false,
        })
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    /// The connection closed before the request was sent or before the response began, or the response can't be read.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.sender.ready().await.map_err(|_| SendError::NotSent)?;
        if self.write_failure.is_set() {
            // The rest of the request before was dropped, and this one would be too.
            return Err(SendError::NotSent);
        }
        self.head_budget.start();
        self.is_busy = true;
        let outcome = self.sender.try_send_request(request).await;
        self.head_budget.finish();
        let response = outcome.map_err(|mut error| match error.take_message() {
            Some(_) => SendError::NotSent,
            None => SendError::Lost(error.into_error()),
        })?;
        framing::check(&response).map_err(SendError::Invalid)?;
        Ok(response)
    }

    /// Address of the backend server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether the connection has carried a request before the current one.
    pub fn is_kept(&self) -> bool {
        self.is_kept
    }

    /// Lets the connection carry no further request.
    pub fn expire(&mut self) {
        self.is_expired = true;
    }

    /// Whether the connection can carry another request.
    fn is_open(&self) -> bool {
        !self.sender.is_closed() && !self.write_failure.is_set()
    }

    /// Records that a complete response arrived, which starts the idle time.
    pub fn mark_used(&mut self) {
        self.last_used = Instant::now();
        self.is_busy = false;
        self.is_kept = true;
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // The connection's own task would close it only after all tasks that are ready now, which may be
        // hundreds when many callers disconnect at once; until then the backend server works in vain.
        let socket = SockRef::from(&self.stream);
        // A backend server that goes on to send would otherwise wait for a window that never opens.
        if self.is_busy
            && let Err(error) = socket.set_linger(Some(Duration::ZERO))
        {
            log::debug!(target: "router", "connection to {} can't be aborted: {error}", self.address);
        }
        if let Err(error) = socket.shutdown(Shutdown::Both) {
            log::debug!(target: "router", "connection to {} was closed already: {error}", self.address);
        }
    }
}

/// Lets the operating system close a connection whose peer is gone or acknowledges nothing for `timeout`.
pub fn enable_keepalive(stream: &TcpStream, timeout: Duration) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&probes)?;
    set_write_timeout(stream, timeout)
}

/// Lets the operating system close a connection whose peer acknowledges nothing for `timeout` after a write.
pub fn set_write_timeout(stream: &TcpStream, timeout: Duration) -> io::Result<()> {
    SockRef::from(stream).set_tcp_user_timeout(Some(timeout))
}

/// What a new connection to an address meets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Probe {
    /// A process that accepts connections.
    Accepted,
    /// A machine on which no process listens at the address.
    Refused,
    /// Neither, within the timeout.
    Silent,
}

/// Opens a connection to an address after a moment, in which a crashing process may still accept connections.
pub async fn probe(address: SocketAddr, timeout: Duration) -> Probe {
    compio::time::sleep(PROBE_DELAY).await;
    match compio::time::timeout(timeout, socket::connect(address)).await {
        Ok(Ok(_)) => Probe::Accepted,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => Probe::Refused,
        Ok(Err(_)) | Err(_) => Probe::Silent,
    }
}

/// Pool of idle connections to backend servers, sorted by address.
#[derive(Default)]
pub struct ConnectionPool {
    idle: RefCell<Vec<(SocketAddr, Vec<Connection>)>>,
}

impl ConnectionPool {
    /// Takes a connection that has been idle for at most `max_idle`.
    pub fn take_idle(&self, address: SocketAddr, max_idle: Duration) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let at = idle.binary_search_by_key(&address, |e| e.0).ok()?;
        while let Some(connection) = idle[at].1.pop() {
            if connection.is_open() && connection.last_used.elapsed() <= max_idle {
                return Some(connection);
            }
        }
        None
    }

    /// Sends a request over a connection that has been idle for at most `max_idle`, or over a new one, as always if it is 0.
    ///
    /// The request is never sent twice: after an idle connection fails, a new one is used only if no
    /// byte of the request was sent. `request` is called right before the first byte is sent, as the backend server may
    /// exclude the request while a connection is opened; it then returns `None`, and nothing is sent.
    ///
    /// # Errors
    /// [`AttemptError::Excluded`] if there was no request to send any more.
    pub async fn send(
        &self,
        address: SocketAddr,
        max_idle: Duration,
        connect_timeout: Duration,
        request: impl Fn() -> Option<Request<Full<Bytes>>>,
    ) -> Result<(Connection, Response<Incoming>), AttemptError> {
        if !max_idle.is_zero()
            && let Some(mut connection) = self.take_idle(address, max_idle)
        {
            let request = request().ok_or(AttemptError::Excluded)?;
            match connection.send(request).await {
                Ok(response) => return Ok((connection, response)),
                Err(SendError::NotSent) => {}
                Err(error) => return Err(error.into()),
            }
        }
        let opened = Connection::open(address, connect_timeout).await;
        let mut connection =
            opened.map_err(|e| AttemptError::Unreachable(format_compact!("{e}")))?;
        let request = request().ok_or(AttemptError::Excluded)?;
        let response = connection.send(request).await?;
        Ok((connection, response))
    }

    /// Returns a connection to the pool after its last response was read completely, or closes an expired one.
    pub fn put_back(&self, mut connection: Connection) {
        connection.mark_used();
        if connection.is_expired || !connection.is_open() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        match idle.binary_search_by_key(&connection.address, |e| e.0) {
            Ok(at) if idle[at].1.len() < MAX_IDLE_CONNECTIONS => idle[at].1.push(connection),
            Ok(_) => {}
            Err(at) => idle.insert(at, (connection.address, vec![connection])),
        }
    }

    /// Closes the idle connections to an address where one failed, as the others may be broken too.
    pub fn close_idle(&self, address: SocketAddr) {
        let mut idle = self.idle.borrow_mut();
        if let Ok(at) = idle.binary_search_by_key(&address, |e| e.0) {
            idle.remove(at);
        }
    }

    /// Closes the connections that have been idle for longer than `max_idle`.
    pub fn prune(&self, max_idle: Duration) {
        let mut idle = self.idle.borrow_mut();
        for (_, connections) in idle.iter_mut() {
            connections.retain(|c| c.is_open() && c.last_used.elapsed() <= max_idle);
        }
        idle.retain(|(_, connections)| !connections.is_empty());
    }
}
