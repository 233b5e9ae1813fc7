use std::net::SocketAddr;
use std::time::Duration;

use compact_str::{CompactString, ToCompactString, format_compact};
use http::{Request, header};
use http_body_util::Full;
use jaylock_router::request_once;
use jaylock_rpc::v1::{LoadedModel, Order};
use jaylock_types::ByteSize;
use serde::Serialize;

use crate::{EngineClient, OrderError, Result};

/// Largest answer of an engine to an order.
const MAX_ANSWER: ByteSize = ByteSize(64 << 10);

/// Sends orders to engines by `POST /v1/orders`.
pub struct HttpEngineClient {
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

impl HttpEngineClient {
    /// Creates a client that gives up on an engine after `timeout`.
    #[must_use]
    pub fn new(timeout: Duration) -> Self {
        Self { timeout }
    }

    async fn post(&self, address: SocketAddr, order: &Order) -> Result<u16, CompactString> {
        let body = OrderBody {
            fence: order.fence,
            models: order.models.iter().map(model_body).collect(),
        };
        let body = serde_json::to_vec(&body).map_err(reason_of)?;
        let request = Request::post("/v1/orders")
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::from(body))
            .map_err(reason_of)?;
        let answering = request_once(address, request, MAX_ANSWER, self.timeout);
        let (status, _) = answering.await.map_err(reason_of)?;
        Ok(status.as_u16())
    }
}

impl EngineClient for HttpEngineClient {
    async fn send(&self, address: SocketAddr, order: &Order) -> Result<()> {
        let response = compio::time::timeout(self.timeout, self.post(address, order)).await;
        let unreachable = |reason| OrderError::Unreachable { address, reason };
        let timed_out = |_| unreachable(format_compact!("no response within {:?}", self.timeout));
        let status = response.map_err(timed_out)?.map_err(unreachable)?;
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

fn reason_of(error: impl std::fmt::Display) -> CompactString {
    error.to_compact_string()
}
