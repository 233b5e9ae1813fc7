use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_channel::mpsc;
use futures_util::SinkExt;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use serde::Deserialize;

use crate::cache::PrefixCache;
use crate::run::{Run, sse_event};
use crate::run_log::{RunLog, RunRecord, sha256_hex};
use crate::{
    Announcement, Backend, Body, ChatRequest, Fault, GeneratedText, Heartbeat, LoadedModel,
    NoResponse, Server, Slots, json_response, not_run_response, read_body,
};

/// Exit code after a request has crashed the process.
const CRASH_EXIT_CODE: i32 = 101;
/// Interval between checks whether the reader of a stalled stream has closed it.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(20);

type FrameSender = mpsc::Sender<io::Result<Frame<Bytes>>>;

/// Settings of a stand-in engine.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// First announcement, with the initial models, slots and fencing number.
    pub announcement: Announcement,
    /// Time to generate one token.
    pub token_time: Duration,
    /// Time before the first token, and again for each prompt block that is not cached.
    pub prefill_time: Duration,
    /// Capacity of the prefix cache in prompt blocks.
    pub cache_blocks: usize,
    /// Time to load a model without a weight store.
    pub load_time: Duration,
    /// Weight store to load models from.
    pub store: Option<SocketAddr>,
    /// File to which each run is appended as one line of JSON.
    pub run_log: Option<PathBuf>,
    /// Whether words in prompts cause faults.
    pub faults_enabled: bool,
}

/// A stand-in model engine whose responses are a function of the prompt.
pub struct Engine {
    settings: EngineSettings,
    slots: Slots,
    models: RefCell<Vec<LoadedModel>>,
    fence: Cell<u64>,
    cache: RefCell<PrefixCache>,
    run_log: RunLog,
    is_leaving: Cell<bool>,
}

#[derive(Deserialize)]
struct Order {
    fence: u64,
    models: Vec<LoadedModel>,
}

impl Engine {
    /// Creates an engine with the models of its announcement and opens the run log.
    ///
    /// # Errors
    /// The run log can't be opened.
    pub fn open(settings: EngineSettings) -> io::Result<Self> {
        Ok(Self {
            run_log: RunLog::open(settings.run_log.as_deref())?,
            slots: Slots::new(settings.announcement.slots),
            models: RefCell::new(settings.announcement.models.clone()),
            fence: Cell::new(settings.announcement.fence),
            cache: RefCell::new(PrefixCache::new(settings.cache_blocks)),
            is_leaving: Cell::new(false),
            settings,
        })
    }

    async fn handle_chat(self: Rc<Self>, headers: &HeaderMap, body: &Bytes) -> Response<Body> {
        let request: ChatRequest = match serde_json::from_slice(body) {
            Ok(request) => request,
            Err(reason) => return error_response(StatusCode::BAD_REQUEST, &reason.to_string()),
        };
        if self.is_leaving.get() {
            return not_run_response("the engine leaves");
        }
        if !self.has_model(headers, &request.model) {
            return not_run_response("the engine does not hold this model, version or adapter");
        }
        let Some(slot) = self.slots.acquire().await else {
            return not_run_response("the engine is full");
        };
        let prompt = request.prompt();
        if self
            .run_log
            .append(&self.run_record(headers, &prompt))
            .is_err()
        {
            return not_run_response("the file of runs can't be written");
        }
        let run = Run {
            attempt_id: header_text(headers, "x-request-id").into(),
            received_chunks: header_text(headers, "last-event-id").parse().unwrap_or(0),
            text: GeneratedText::from_prompt(&prompt, request.max_tokens),
            fault: Fault::from_text(&prompt).filter(|_| self.settings.faults_enabled),
            request,
            _slot: slot,
        };
        if run.request.stream {
            self.stream(run)
        } else {
            self.respond(run).await
        }
    }

    fn run_record(&self, headers: &HeaderMap, prompt: &str) -> RunRecord {
        RunRecord {
            service: self.settings.announcement.id.clone(),
            method: Method::POST.to_string(),
            path: "/v1/chat/completions".into(),
            request: header_text(headers, "x-request-id").into(),
            key: String::new(),
            organisation: header_text(headers, "x-organisation").into(),
            digest: sha256_hex(prompt.as_bytes()),
        }
    }

    fn has_model(&self, headers: &HeaderMap, model: &str) -> bool {
        let version = header_text(headers, "x-model-version");
        let adapter = header_text(headers, "x-adapter");
        let is_match = |loaded: &LoadedModel| {
            loaded.model == model
                && (version.is_empty() || loaded.version == version)
                && (adapter.is_empty() || loaded.adapters.iter().any(|a| a == adapter))
        };
        self.models.borrow().iter().any(is_match)
    }

    async fn respond(&self, run: Run) -> Response<Body> {
        self.prefill(&run).await;
        compio::time::sleep(self.settings.token_time * run.text.length()).await;
        let mut response = json_response(StatusCode::OK, &run.completion());
        set_request_id(&mut response, &run.attempt_id);
        response
    }

    /// Processes the prompt; cached blocks take no time.
    async fn prefill(&self, run: &Run) {
        let missing = self.cache.borrow_mut().insert(&run.request.prefix_hashes());
        compio::time::sleep(self.settings.prefill_time * (1 + missing)).await;
        if run.fault == Some(Fault::Crash) {
            log::error!(target: "standin", "a request crashes this engine");
            std::process::exit(CRASH_EXIT_CODE);
        }
    }

    fn stream(self: Rc<Self>, run: Run) -> Response<Body> {
        let (sender, receiver) = mpsc::channel(0);
        let mut response = Response::new(StreamBody::new(receiver).boxed_unsync());
        let content_type = HeaderValue::from_static("text/event-stream");
        response
            .headers_mut()
            .insert(header::CONTENT_TYPE, content_type);
        set_request_id(&mut response, &run.attempt_id);
        compio::runtime::spawn(async move {
            // An error means that the reader has closed the stream, which cancels the run.
            let _ = self.generate(run, sender).await;
        })
        .detach();
        response
    }

    async fn generate(&self, run: Run, mut sender: FrameSender) -> Result<(), mpsc::SendError> {
        self.prefill(&run).await;
        for position in run.received_chunks + 1..=run.text.length() {
            compio::time::sleep(self.settings.token_time).await;
            let event = sse_event(position, &run.content_chunk(position));
            if run.fault == Some(Fault::Duplicate(position)) {
                sender.send(data_frame(event.clone())).await?;
            }
            sender.send(data_frame(event)).await?;
            if run.fault == Some(Fault::Disconnect(position)) {
                let error = io::Error::from(io::ErrorKind::ConnectionReset);
                return sender.send(Err(error)).await;
            }
            if run.fault == Some(Fault::Truncate(position)) {
                return Ok(());
            }
            if run.fault == Some(Fault::Stall(position)) {
                wait_until_closed(&sender).await;
                return Ok(());
            }
        }
        if run.received_chunks <= run.text.length() {
            let last = run.text.length() + 1;
            sender
                .send(data_frame(sse_event(last, &run.final_chunk())))
                .await?;
        }
        sender.send(data_frame("data: [DONE]\n\n".into())).await
    }

    async fn handle_order(&self, body: &Bytes) -> Response<Body> {
        let order: Order = match serde_json::from_slice(body) {
            Ok(order) => order,
            Err(reason) => return error_response(StatusCode::BAD_REQUEST, &reason.to_string()),
        };
        let checks = self.settings.announcement.checks_orders;
        if checks && order.fence < self.fence.get() {
            return error_response(StatusCode::CONFLICT, "the order is old");
        }
        if checks {
            self.fence.set(order.fence);
        }
        for model in &order.models {
            if !self.models.borrow().contains(model) {
                self.load_model(model).await;
            }
        }
        if checks && order.fence < self.fence.get() {
            return error_response(StatusCode::CONFLICT, "a newer order came meanwhile");
        }
        log::info!(target: "standin", "applied order {}", order.fence);
        self.fence.set(order.fence);
        *self.models.borrow_mut() = order.models;
        json_response(StatusCode::OK, &serde_json::json!({"fence": order.fence}))
    }

    async fn load_model(&self, model: &LoadedModel) {
        let Some(store) = self.settings.store else {
            return compio::time::sleep(self.settings.load_time).await;
        };
        let path = format!("/v1/weights/{}/{}", model.model, model.version);
        while let Err(reason) = crate::read_json::<serde_json::Value>(store, &path).await {
            log::info!(target: "standin", "load from the weight store failed, retrying: {reason}");
            compio::time::sleep(Duration::from_millis(200)).await;
        }
    }
}

impl Server for Engine {
    fn stop_accepting(&self) {
        self.is_leaving.set(true);
    }

    fn is_busy(&self) -> bool {
        self.slots.running() + self.slots.waiting() > 0
    }

    async fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, NoResponse> {
        let (head, body) = request.into_parts();
        let body = read_body(body).await?;
        match (head.method, head.uri.path()) {
            (Method::POST, "/v1/chat/completions") => {
                Ok(self.handle_chat(&head.headers, &body).await)
            }
            (Method::POST, "/v1/orders") => Ok(self.handle_order(&body).await),
            _ => Ok(error_response(StatusCode::NOT_FOUND, "no such path")),
        }
    }
}

impl Backend for Engine {
    fn announcement(&self) -> Announcement {
        Announcement {
            models: self.models.borrow().clone(),
            fence: self.fence.get(),
            ..self.settings.announcement.clone()
        }
    }

    fn heartbeat(&self) -> Heartbeat {
        let (cached, evicted) = self.cache.borrow_mut().take_changes();
        Heartbeat {
            cached,
            evicted,
            id: self.settings.announcement.id.clone(),
            incarnation: self.settings.announcement.incarnation,
            running: self.slots.running(),
            waiting: self.slots.waiting(),
            models: self.models.borrow().clone(),
            fence: self.fence.get(),
        }
    }
}

#[allow(clippy::unnecessary_wraps)]
fn data_frame(text: String) -> io::Result<Frame<Bytes>> {
    Ok(Frame::data(text.into()))
}

async fn wait_until_closed(sender: &FrameSender) {
    while !sender.is_closed() {
        compio::time::sleep(CLOSE_POLL_INTERVAL).await;
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default()
}

fn set_request_id(response: &mut Response<Body>, attempt_id: &str) {
    if let Ok(value) = HeaderValue::from_str(attempt_id) {
        response.headers_mut().insert("x-request-id", value);
    }
}

fn error_response(status: StatusCode, message: &str) -> Response<Body> {
    let body = serde_json::json!({"error": {"kind": "refused", "message": message}});
    json_response(status, &body)
}
