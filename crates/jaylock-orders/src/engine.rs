use std::net::SocketAddr;
use std::time::Duration;

use compact_str::{CompactString, ToCompactString, format_compact};
use http::header;
use jaylock_rpc::v1::{LoadedModel, Order};
use serde::Serialize;

use crate::{Engines, OrderError, Result};

/// Sends orders to engines by `POST /v1/orders`.
pub struct HttpEngines {
    client: cyper::Client,
    timeout: Duration,
}

#[derive(Serialize)]
struct OrderBody<'a> {
    fence: u64,
    models: Vec<ModelBody<'a>>,
}

#[derive(Serialize)]
struct ModelBody<'a> {
    model: &'a str,
    version: &'a str,
    adapters: &'a [String],
}

impl HttpEngines {
    /// Prepares a client that gives up on an engine after `timeout`.
    ///
    /// # Errors
    /// The HTTP client can't be set up.
    pub fn new(timeout: Duration) -> cyper::Result<Self> {
        let client = cyper::Client::new()?;
        Ok(Self { client, timeout })
    }

    async fn post(&self, address: SocketAddr, order: &Order) -> Result<u16, CompactString> {
        let body = OrderBody {
            fence: order.fence,
            models: order.models.iter().map(model_body).collect(),
        };
        let body = serde_json::to_vec(&body).map_err(text)?;
        let request = self
            .client
            .post(format!("http://{address}/v1/orders"))
            .and_then(|r| r.header(header::CONTENT_TYPE, "application/json"))
            .map_err(text)?;
        let response = request.body(body).send().await.map_err(text)?;
        Ok(response.status().as_u16())
    }
}

impl Engines for HttpEngines {
    async fn send(&self, address: SocketAddr, order: &Order) -> Result<()> {
        let sent = compio::time::timeout(self.timeout, self.post(address, order)).await;
        let unreachable = |reason| OrderError::Unreachable { address, reason };
        let late = |_| unreachable(format_compact!("no answer within {:?}", self.timeout));
        let status = sent.map_err(late)?.map_err(unreachable)?;
        if (200..300).contains(&status) {
            return Ok(());
        }
        Err(OrderError::Refused { address, status })
    }
}

fn model_body(model: &LoadedModel) -> ModelBody<'_> {
    ModelBody {
        model: &model.model,
        version: &model.version,
        adapters: &model.adapters,
    }
}

fn text(error: impl std::fmt::Display) -> CompactString {
    error.to_compact_string()
}
