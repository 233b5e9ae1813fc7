use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;

use crate::{Body, NoResponse, json_response};

/// Settings of a stand-in weight store.
#[derive(Debug, Clone)]
pub struct StoreSettings {
    /// Minimum time between two loads.
    pub min_load_interval: Duration,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self {
            min_load_interval: Duration::from_millis(200),
        }
    }
}

/// A stand-in weight store that limits the rate of loads and refuses requests above it.
pub struct Store {
    settings: StoreSettings,
    ready_at: Cell<Instant>,
}

impl Store {
    /// Creates a store that accepts a load at once.
    #[must_use]
    pub fn new(settings: StoreSettings) -> Self {
        Self {
            settings,
            ready_at: Cell::new(Instant::now()),
        }
    }

    /// Handles one HTTP request, `GET /v1/weights/MODEL/VERSION`.
    ///
    /// # Errors
    /// Never; the signature is that of the handlers of other stand-ins.
    #[allow(clippy::unused_async)]
    pub async fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, NoResponse> {
        let Some(name) = request.uri().path().strip_prefix("/v1/weights/") else {
            let body = serde_json::json!({"error": "no such path"});
            return Ok(json_response(StatusCode::NOT_FOUND, &body));
        };
        let now = Instant::now();
        if now < self.ready_at.get() {
            let body = serde_json::json!({"error": "too many loads, come back later"});
            let mut response = json_response(StatusCode::TOO_MANY_REQUESTS, &body);
            let retry_after = HeaderValue::from_static("1");
            response
                .headers_mut()
                .insert(header::RETRY_AFTER, retry_after);
            return Ok(response);
        }
        self.ready_at.set(now + self.settings.min_load_interval);
        Ok(json_response(
            StatusCode::OK,
            &serde_json::json!({"weights": name}),
        ))
    }
}
