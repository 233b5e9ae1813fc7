use std::cell::Cell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

use crate::check::{check_call, check_completion, check_stream};
use crate::{
    AddressCache, Attempt, AttemptResult, CallerRequest, ChatRequest, HttpError, Message, Outcome,
    RequestResult, RunStatus, send,
};

/// Pause before a retry when the response has no `retry-after`.
const DEFAULT_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Settings of a caller.
#[derive(Debug, Clone)]
pub struct CallerSettings {
    /// Instances that list the routers.
    pub seeds: Vec<SocketAddr>,
    /// Key of the organisation.
    pub key: String,
    /// Index of the address used first.
    pub first_address: usize,
    /// Timeout of a request with all its attempts.
    pub request_timeout: Duration,
    /// Time without data after which an attempt fails.
    pub idle_timeout: Duration,
    /// Upper bound on the pause between two attempts, also for a longer `retry-after`.
    pub max_retry_pause: Duration,
}

impl Default for CallerSettings {
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            key: String::new(),
            first_address: 0,
            request_timeout: Duration::from_secs(30),
            idle_timeout: Duration::from_secs(10),
            max_retry_pause: Duration::from_secs(2),
        }
    }
}

/// A caller that sends requests, retries where that is safe, and verifies each response.
pub struct Caller {
    settings: CallerSettings,
    addresses: AddressCache,
    last_address: Cell<Option<SocketAddr>>,
}

impl Caller {
    /// Creates a caller that has not looked up any addresses yet.
    #[must_use]
    pub fn new(settings: CallerSettings) -> Self {
        Self {
            addresses: AddressCache::new(settings.seeds.clone(), settings.first_address),
            last_address: Cell::new(None),
            settings,
        }
    }

    /// Returns the address that the last attempt was sent to.
    #[must_use]
    pub fn last_address(&self) -> Option<SocketAddr> {
        self.last_address.get()
    }

    /// Sends a request, with retries, and returns the result.
    pub async fn run(&self, request: CallerRequest) -> RequestResult {
        let start = Instant::now();
        let deadline = start + self.settings.request_timeout;
        let mut attempts = Vec::new();
        let outcome = loop {
            let attempt = self.send_once(&request, deadline).await;
            let outcome = final_outcome(&request, &attempt);
            let pause = self.retry_pause(&attempt);
            attempts.push(attempt);
            if let Some(outcome) = outcome {
                break outcome;
            }
            if Instant::now() + pause >= deadline {
                break Outcome::GaveUp;
            }
            self.addresses.use_next();
            compio::time::sleep(pause).await;
        };
        RequestResult {
            request,
            attempts,
            outcome,
            total_time: start.elapsed(),
        }
    }

    /// Sends a request once, to the current address.
    pub async fn send_once(&self, request: &CallerRequest, deadline: Instant) -> Attempt {
        let address = self.addresses.current().await;
        self.last_address.set(Some(address));
        let mut attempt = Attempt {
            address,
            status: None,
            run: RunStatus::Missing,
            request_id: String::new(),
            result: AttemptResult::Interrupted("no response".into()),
        };
        let http_request = match self.build_request(request, deadline) {
            Ok(http_request) => http_request,
            Err(error) => {
                attempt.result = AttemptResult::Wrong(error.to_string());
                return attempt;
            }
        };
        let sending =
            compio::time::timeout(self.settings.idle_timeout, send(address, http_request));
        match sending.await {
            Ok(Ok(response)) => self.read_response(request, response, &mut attempt).await,
            Ok(Err(error)) => attempt.result = AttemptResult::Interrupted(error.to_string()),
            Err(_) => attempt.result = AttemptResult::Interrupted("no response in time".into()),
        }
        attempt
    }

    async fn read_response(
        &self,
        request: &CallerRequest,
        response: Response<Incoming>,
        attempt: &mut Attempt,
    ) {
        let (head, body) = response.into_parts();
        attempt.status = Some(head.status.as_u16());
        attempt.run = RunStatus::from_headers(&head.headers);
        attempt.request_id = header_text(&head.headers, "x-request-id").into();
        if head.status != StatusCode::OK {
            attempt.result = self.read_refusal(&head.headers, body).await;
            return;
        }
        if let CallerRequest::Chat {
            prompt,
            stream: true,
            ..
        } = request
        {
            attempt.result = check_stream(prompt, body, self.settings.idle_timeout).await;
            return;
        }
        let body = match self.read_body(body).await {
            Ok(body) => body,
            Err(reason) => {
                attempt.result = AttemptResult::Interrupted(reason);
                return;
            }
        };
        attempt.result = match request {
            CallerRequest::Chat { prompt, .. } => check_completion(prompt, &body),
            CallerRequest::Call {
                path, body: sent, ..
            } => check_call(path, sent, &body),
        };
    }

    async fn read_refusal(&self, headers: &HeaderMap, body: Incoming) -> AttemptResult {
        let retry_after = header_text(headers, "retry-after").parse().ok();
        match self.read_body(body).await {
            Ok(body) => AttemptResult::Refused {
                text: String::from_utf8_lossy(&body).into(),
                retry_after: retry_after.map(Duration::from_secs),
            },
            Err(reason) => AttemptResult::Interrupted(reason),
        }
    }

    async fn read_body(&self, body: Incoming) -> Result<Bytes, String> {
        match compio::time::timeout(self.settings.idle_timeout, body.collect()).await {
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(error)) => Err(error.to_string()),
            Err(_) => Err("no data within the idle timeout".into()),
        }
    }

    fn build_request(
        &self,
        request: &CallerRequest,
        deadline: Instant,
    ) -> Result<Request<Full<Bytes>>, HttpError> {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let builder = Request::builder()
            .method(Method::POST)
            .header(header::CONTENT_TYPE, "application/json")
            .header(
                header::AUTHORIZATION,
                format!("Bearer {}", self.settings.key),
            )
            .header("x-deadline-ms", remaining.as_millis().to_string());
        match request {
            CallerRequest::Chat {
                model,
                prompt,
                stream,
            } => {
                let message = Message {
                    role: "user".into(),
                    content: prompt.clone(),
                };
                let body = serde_json::to_vec(&ChatRequest {
                    model: model.clone(),
                    messages: vec![message],
                    max_tokens: None,
                    stream: *stream,
                })?;
                let builder = builder.uri("/v1/chat/completions");
                Ok(builder.body(Full::from(body))?)
            }
            CallerRequest::Call {
                service,
                path,
                body,
                key,
            } => {
                let builder = builder
                    .uri(format!("/services/{service}{path}"))
                    .header("idempotency-key", key);
                Ok(builder.body(Full::from(body.clone()))?)
            }
        }
    }

    fn retry_pause(&self, attempt: &Attempt) -> Duration {
        let retry_after = match attempt.result {
            AttemptResult::Refused { retry_after, .. } => retry_after,
            _ => None,
        };
        retry_after
            .unwrap_or(DEFAULT_RETRY_PAUSE)
            .min(self.settings.max_retry_pause)
    }
}

/// Returns the outcome of the request, or `None` when a retry is safe and may succeed.
fn final_outcome(request: &CallerRequest, attempt: &Attempt) -> Option<Outcome> {
    let has_retry_after = |result: &AttemptResult| match result {
        AttemptResult::Refused { retry_after, .. } => retry_after.is_some(),
        _ => false,
    };
    // A call with the same idempotency key is still running; without `retry-after`, the outcome is final.
    let is_pending = attempt.status == Some(409) && has_retry_after(&attempt.result);
    match &attempt.result {
        AttemptResult::Complete => Some(Outcome::Served),
        AttemptResult::Wrong(_) => Some(Outcome::Wrong),
        // A completion may be generated again, and a call is retried with the same idempotency key.
        AttemptResult::Interrupted(_) | AttemptResult::Failed(_) => None,
        AttemptResult::Refused { .. } if is_pending => None,
        AttemptResult::Refused { .. } => match (attempt.run, attempt.status) {
            (RunStatus::NotRun, Some(429 | 500..)) => None,
            (RunStatus::NotRun, _) => Some(Outcome::Refused),
            _ if matches!(request, CallerRequest::Chat { .. }) => None,
            (RunStatus::Unknown, _) => Some(Outcome::Unknown),
            _ => Some(Outcome::Refused),
        },
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default()
}
