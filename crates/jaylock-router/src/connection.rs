use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compact_str::format_compact;
use compio::net::TcpStream;
use cyper_core::HyperStream;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error;

use crate::error::AttemptError;

/// Idle connections kept for each address.
const IDLE_LIMIT: usize = 16;
/// Silence after which the system probes a connection.
const PROBE_TIME: Duration = Duration::from_secs(3);
/// Time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes that end a connection.
const PROBE_COUNT: u32 = 3;
/// Time for a backend server to acknowledge sent bytes.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(6);
/// Wait before it is tried whether a backend server is gone.
const PROBE_DELAY: Duration = Duration::from_millis(20);

/// A connection to a backend server; dropping it closes it at once.
pub struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    answered: Instant,
}

/// How a request failed on a connection.
#[derive(Debug, Error)]
pub enum SendError {
    /// No byte of it left.
    #[error("the connection closed before the request left")]
    NotSent,
    /// It may have reached the backend server.
    #[error("the connection broke: {0}")]
    Lost(hyper::Error),
}

impl Connection {
    /// Opens a connection.
    pub async fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let opening = compio::time::timeout(limit, TcpStream::connect(address)).await;
        let stream = opening.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        keep_alive(&stream, UNACKNOWLEDGED_LIMIT)?;
        let stream = HyperStream::new_plain(stream);
        let (sender, connection) = http1::handshake(stream).await.map_err(io::Error::other)?;
        compio::runtime::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(target: "router", "connection to {address} ended: {error}");
            }
        })
        .detach();
        Ok(Self {
            address,
            sender,
            answered: Instant::now(),
        })
    }

    /// Sends a request and waits for the head of the answer.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.sender.ready().await.map_err(|_| SendError::NotSent)?;
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(SendError::NotSent),
                None => Err(SendError::Lost(error.into_error())),
            },
        }
    }

    /// Notes that a whole answer came over it.
    pub fn mark_used(&mut self) {
        self.answered = Instant::now();
    }
}

/// Lets the system end a connection whose other side is gone, or takes nothing for `limit`.
pub fn keep_alive(stream: &TcpStream, limit: Duration) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_TIME)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBE_COUNT);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(limit))
}

/// Whether anything accepts connections at an address.
pub async fn is_reachable(address: SocketAddr, limit: Duration) -> bool {
    // A process that is ending may still accept for a moment.
    compio::time::sleep(PROBE_DELAY).await;
    let opening = compio::time::timeout(limit, TcpStream::connect(address)).await;
    matches!(opening, Ok(Ok(_)))
}

/// Idle connections to backend servers, sorted by address.
#[derive(Default)]
pub struct ConnectionPool {
    idle: RefCell<Vec<(SocketAddr, Vec<Connection>)>>,
}

impl ConnectionPool {
    /// An idle connection that answered within `fresh`.
    pub fn take_idle(&self, address: SocketAddr, fresh: Duration) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let at = idle.binary_search_by_key(&address, |e| e.0).ok()?;
        while let Some(connection) = idle[at].1.pop() {
            if !connection.sender.is_closed() && connection.answered.elapsed() <= fresh {
                return Some(connection);
            }
        }
        None
    }

    /// Sends a request over an idle connection that answered within `fresh`, or over a new one.
    ///
    /// Nothing is sent twice: an idle connection that fails is passed over only while no byte of the
    /// request has left.
    pub async fn send(
        &self,
        address: SocketAddr,
        fresh: Duration,
        opening: Duration,
        request: impl Fn() -> Request<Full<Bytes>>,
    ) -> Result<(Connection, Response<Incoming>), AttemptError> {
        if let Some(mut connection) = self.take_idle(address, fresh) {
            match connection.send(request()).await {
                Ok(response) => return Ok((connection, response)),
                Err(SendError::NotSent) => {}
                Err(error) => return Err(AttemptError::Lost(format_compact!("{error}"))),
            }
        }
        let opened = Connection::open(address, opening).await;
        let mut connection =
            opened.map_err(|e| AttemptError::Unreachable(format_compact!("{e}")))?;
        match connection.send(request()).await {
            Ok(response) => Ok((connection, response)),
            Err(SendError::NotSent) => {
                Err(AttemptError::Unreachable("the connection closed".into()))
            }
            Err(error) => Err(AttemptError::Lost(format_compact!("{error}"))),
        }
    }

    /// Keeps a connection whose last answer was read to its end.
    pub fn put_back(&self, mut connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        connection.mark_used();
        let mut idle = self.idle.borrow_mut();
        match idle.binary_search_by_key(&connection.address, |e| e.0) {
            Ok(at) if idle[at].1.len() < IDLE_LIMIT => idle[at].1.push(connection),
            Ok(_) => {}
            Err(at) => idle.insert(at, (connection.address, vec![connection])),
        }
    }

    /// Closes the idle connections to an address where one failed, as they are in doubt too.
    pub fn close_idle(&self, address: SocketAddr) {
        let mut idle = self.idle.borrow_mut();
        if let Ok(at) = idle.binary_search_by_key(&address, |e| e.0) {
            idle.remove(at);
        }
    }

    /// Closes the connections that have been idle for longer than `limit`.
    pub fn prune(&self, limit: Duration) {
        let mut idle = self.idle.borrow_mut();
        for (_, connections) in idle.iter_mut() {
            connections.retain(|l| !l.sender.is_closed() && l.answered.elapsed() <= limit);
        }
        idle.retain(|(_, connections)| !connections.is_empty());
    }
}
