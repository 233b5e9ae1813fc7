use std::convert::Infallible;
use std::net::SocketAddr;

use bytes::Bytes;
use compio::net::TcpStream;
use cyper_core::HyperStream;
use http::{Method, Response, StatusCode, header};
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use jaylock_observe::Observer;
use jaylock_rpc::{accept, local_future};

use crate::occupied::Binding;

/// Media type of the text format of the metrics.
const MEDIA_TYPE: &str = "text/plain; version=0.0.4";

/// Serves `GET /metrics` on `address` until the process ends, once the address is free.
///
/// # Errors
/// Waiting can't make the address available.
pub async fn serve_metrics(address: SocketAddr, observer: Observer) -> anyhow::Result<()> {
    let binding = Binding::begin("metrics_address", address).await?;
    compio::runtime::spawn(async move {
        let listener = binding.complete().await;
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
