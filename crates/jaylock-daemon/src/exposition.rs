use std::convert::Infallible;
use std::net::SocketAddr;

use anyhow::Context;
use bytes::Bytes;
use compio::net::{TcpListener, TcpStream};
use cyper_core::HyperStream;
use http::{Method, Response, StatusCode, header};
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use jaylock_observe::Observer;
use jaylock_rpc::{accept, local_future};

/// Media type of the text format of the metrics.
const MEDIA_TYPE: &str = "text/plain; version=0.0.4";

/// Serves `GET /metrics` on `address` until the process ends.
///
/// # Errors
/// The address can't be bound.
pub async fn serve_metrics(address: SocketAddr, observer: Observer) -> anyhow::Result<()> {
    let listener = TcpListener::bind(address)
        .await
        .with_context(|| format!("metrics_address {address} can't be bound: choose a free one"))?;
    compio::runtime::spawn(async move {
        loop {
            let (stream, _) = accept(&listener, "daemon").await;
            compio::runtime::spawn(serve_connection(stream, observer.clone())).detach();
        }
    })
    .detach();
    Ok(())
}

async fn serve_connection(stream: TcpStream, observer: Observer) {
    let service = service_fn(move |request: http::Request<hyper::body::Incoming>| {
        let is_metrics = request.method() == Method::GET && request.uri().path() == "/metrics";
        let text = if is_metrics {
            observer.exposition()
        } else {
            String::new()
        };
        local_future(async move { Ok::<_, Infallible>(respond(is_metrics, text)) })
    });
    let stream = HyperStream::new_plain(stream);
    if let Err(error) = http1::Builder::new()
        .serve_connection(stream, service)
        .await
    {
        log::debug!(target: "daemon", "metrics connection ended: {error}");
    }
}

fn respond(is_metrics: bool, text: String) -> Response<Full<Bytes>> {
    let status = if is_metrics {
        StatusCode::OK
    } else {
        StatusCode::NOT_FOUND
    };
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    let media_type = header::HeaderValue::from_static(MEDIA_TYPE);
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, media_type);
    response
}
