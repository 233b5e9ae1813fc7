use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use compio::net::TcpStream;
use cyper_core::{CompioExecutor, CompioTimer, HyperStream};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use futures_util::lock::Mutex;
use http::{HeaderValue, Request, Response, Uri, header};
use hyper::body::Incoming;
use hyper::client::conn::http2::{self, SendRequest};
use jaylock_types::Secret;
use tonic::Status;
use tonic::body::Body;
use tower::Service;

use crate::CountedStream;

/// Settings of a connection to another instance.
#[derive(Debug, Clone)]
pub struct ChannelSettings {
    /// Secret that the other side verifies.
    pub secret: Secret,
    /// Timeout for opening the connection.
    pub connect_timeout: Duration,
    /// Idle time after which a ping is sent.
    pub ping_interval: Duration,
    /// Timeout for the reply to a ping, after which the connection is closed.
    pub ping_timeout: Duration,
}

impl Default for ChannelSettings {
    fn default() -> Self {
        Self {
            secret: Secret::default(),
            connect_timeout: Duration::from_secs(1),
            ping_interval: Duration::from_secs(2),
            ping_timeout: Duration::from_secs(2),
        }
    }
}

/// A gRPC connection to one instance, opened on first use and reopened after a failure.
///
/// Clones share the connection.
#[derive(Clone)]
pub struct Channel {
    shared: Rc<Shared>,
}

struct Shared {
    address: SocketAddr,
    settings: ChannelSettings,
    sender: Mutex<Option<SendRequest<Body>>>,
}

impl Channel {
    /// Creates a channel to an address; nothing is sent yet.
    #[must_use]
    pub fn new(address: SocketAddr, settings: ChannelSettings) -> Self {
        let sender = Mutex::new(None);
        Self {
            shared: Rc::new(Shared {
                address,
                settings,
                sender,
            }),
        }
    }

    /// Address of the other side.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }
}

impl Service<Request<Body>> for Channel {
    type Response = Response<Incoming>;
    type Error = Status;
    type Future = LocalBoxFuture<'static, Result<Self::Response, Status>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Status>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Body>) -> Self::Future {
        let shared = self.shared.clone();
        async move { shared.send(request).await }.boxed_local()
    }
}

impl Shared {
    async fn send(&self, mut request: Request<Body>) -> Result<Response<Incoming>, Status> {
        let mut sender = self.sender().await?;
        *request.uri_mut() = self.absolute_uri(request.uri())?;
        let bearer = format!("Bearer {}", self.settings.secret.expose());
        let bearer = HeaderValue::try_from(bearer)
            .map_err(|_| Status::internal("the secret holds characters no header takes"))?;
        request.headers_mut().insert(header::AUTHORIZATION, bearer);
        sender
            .send_request(request)
            .await
            .map_err(|error| self.unavailable(&error))
    }

    async fn sender(&self) -> Result<SendRequest<Body>, Status> {
        let mut current = self.sender.lock().await;
        if let Some(sender) = current.as_ref().filter(|s| !s.is_closed()) {
            return Ok(sender.clone());
        }
        let opening = compio::time::timeout(self.settings.connect_timeout, self.open()).await;
        let sender = opening.map_err(|_| self.unavailable(&"no connection in time"))??;
        *current = Some(sender.clone());
        Ok(sender)
    }

    async fn open(&self) -> Result<SendRequest<Body>, Status> {
        let stream = TcpStream::connect(self.address)
            .await
            .map_err(|e| self.unavailable(&e))?;
        let _ = stream.set_nodelay(true);
        let mut builder = http2::Builder::new(CompioExecutor);
        builder
            .timer(CompioTimer)
            .keep_alive_while_idle(true)
            .keep_alive_interval(self.settings.ping_interval)
            .keep_alive_timeout(self.settings.ping_timeout);
        let stream = CountedStream::new(HyperStream::new_plain(stream));
        let (sender, connection) = builder
            .handshake(stream)
            .await
            .map_err(|e| self.unavailable(&e))?;
        let address = self.address;
        compio::runtime::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(target: "rpc", "connection to {address} ended: {error}");
            }
        })
        .detach();
        Ok(sender)
    }

    fn absolute_uri(&self, uri: &Uri) -> Result<Uri, Status> {
        let path = uri.path_and_query().map_or("/", |p| p.as_str());
        Uri::builder()
            .scheme("http")
            .authority(self.address.to_string())
            .path_and_query(path)
            .build()
            .map_err(|error| Status::internal(format!("no request path: {error}")))
    }

    fn unavailable(&self, reason: &dyn std::fmt::Display) -> Status {
        Status::unavailable(format!(
            "instance at {} does not answer: {reason}",
            self.address
        ))
    }
}
