use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, ensure};
use bytes::Bytes;
use compio::net::TcpStream;
use cyper_core::HyperStream;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};

/// An HTTP/1.1 connection that measures the time of each request.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
}

/// Durations of one request.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Time to the first byte of the response body.
    pub first_byte: Duration,
    /// Time to the last byte of the response body.
    pub total: Duration,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    /// Connecting to `address` fails.
    pub async fn open(address: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(address)
            .await
            .with_context(|| format!("can't connect to {address}: start the program first"))?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(HyperStream::new_plain(stream)).await?;
        compio::runtime::spawn(async move {
            let _ = connection.await;
        })
        .detach();
        Ok(Self { sender })
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    /// The connection is lost, or the status is not a success.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Timing> {
        let start = Instant::now();
        self.sender.ready().await?;
        let response = self.sender.send_request(request).await?;
        let status = response.status();
        let mut body = response.into_body();
        let mut first = None;
        while let Some(frame) = body.frame().await {
            frame?;
            first.get_or_insert_with(|| start.elapsed());
        }
        ensure!(status.is_success(), "the response has status {status}");
        let total = start.elapsed();
        Ok(Timing {
            first_byte: first.unwrap_or(total),
            total,
        })
    }
}

/// Requests the text at a path.
///
/// # Errors
/// Connecting fails, or the status is not a success.
pub async fn fetch(address: SocketAddr, path: &str) -> Result<String> {
    let mut connection = Connection::open(address).await?;
    let request = Request::get(path).header(http::header::HOST, "fleet");
    let response = connection
        .sender
        .send_request(request.body(Full::default())?)
        .await?;
    ensure!(
        response.status().is_success(),
        "the response has status {}",
        response.status()
    );
    let body = response.into_body().collect().await?.to_bytes();
    Ok(String::from_utf8_lossy(&body).into_owned())
}
