use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_channel::mpsc;
use futures_util::SinkExt;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use serde::Deserialize;

use crate::{
    Announcement, Answer, Backend, Body, ChatRequest, Choice, Chunk, Closed, Completion, Delta,
    Fault, Heartbeat, LoadedModel, Message, Server, Slot, Slots, Usage, json, not_run, read,
};

/// Exit status of a process that a request crashed.
const CRASHED: i32 = 101;
/// Pause between two looks at whether a silent stream was closed by its reader.
const CLOSE_CHECK: Duration = Duration::from_millis(20);

type Sender = mpsc::Sender<io::Result<Frame<Bytes>>>;

/// Settings of a stand-in engine.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// What it says of itself; models, slots and fencing number are its first ones.
    pub announcement: Announcement,
    /// Time for each token.
    pub token_time: Duration,
    /// Time before the first token.
    pub prefill_time: Duration,
    /// Time for loading a model, when no weight store is named.
    pub load_time: Duration,
    /// Weight store to fetch models from.
    pub store: Option<SocketAddr>,
    /// Whether words in prompts bring about faults.
    pub faults: bool,
}

/// A model engine whose answers are a function of the prompt.
pub struct Engine {
    settings: EngineSettings,
    slots: Slots,
    models: RefCell<Vec<LoadedModel>>,
    fence: Cell<u64>,
    is_leaving: Cell<bool>,
}

/// One request that runs.
struct Run {
    request: ChatRequest,
    attempt: String,
    /// Pieces that the caller has already.
    start: u32,
    answer: Answer,
    fault: Option<Fault>,
    _slot: Slot,
}

#[derive(Deserialize)]
struct Order {
    fence: u64,
    models: Vec<LoadedModel>,
}

impl Engine {
    /// Makes an engine that holds the models of its announcement.
    #[must_use]
    pub fn new(settings: EngineSettings) -> Self {
        Self {
            slots: Slots::new(settings.announcement.slots),
            models: RefCell::new(settings.announcement.models.clone()),
            fence: Cell::new(settings.announcement.fence),
            is_leaving: Cell::new(false),
            settings,
        }
    }

    async fn chat(self: Rc<Self>, headers: &HeaderMap, body: &Bytes) -> Response<Body> {
        let request: ChatRequest = match serde_json::from_slice(body) {
            Ok(request) => request,
            Err(reason) => return error(StatusCode::BAD_REQUEST, &reason.to_string()),
        };
        if self.is_leaving.get() {
            return not_run("the engine leaves");
        }
        if !self.holds(headers, &request.model) {
            return not_run("the engine does not hold this model, version or adapter");
        }
        let Some(slot) = self.slots.take().await else {
            return not_run("the engine is full");
        };
        let prompt = request.prompt();
        let run = Run {
            attempt: text(headers, "x-request-id").into(),
            start: text(headers, "last-event-id").parse().unwrap_or(0),
            answer: Answer::of(&prompt, request.max_tokens),
            fault: Fault::of(&prompt).filter(|_| self.settings.faults),
            request,
            _slot: slot,
        };
        if run.request.stream {
            self.stream(run)
        } else {
            self.complete(run).await
        }
    }

    fn holds(&self, headers: &HeaderMap, model: &str) -> bool {
        let version = text(headers, "x-model-version");
        let adapter = text(headers, "x-adapter");
        let fits = |held: &LoadedModel| {
            held.model == model
                && (version.is_empty() || held.version == version)
                && (adapter.is_empty() || held.adapters.iter().any(|a| a == adapter))
        };
        self.models.borrow().iter().any(fits)
    }

    async fn complete(&self, run: Run) -> Response<Body> {
        compio::time::sleep(self.settings.prefill_time).await;
        crash_if(run.fault == Some(Fault::Crash));
        compio::time::sleep(self.settings.token_time * run.answer.length()).await;
        let choice = Choice {
            message: Some(Message {
                role: "assistant".into(),
                content: run.answer.text(),
            }),
            finish_reason: Some(run.answer.finish_reason().into()),
            ..Choice::default()
        };
        let completion = Completion {
            id: run.id(),
            object: "chat.completion".into(),
            model: run.request.model.clone(),
            choices: vec![choice],
            usage: Usage::new(&run.request.prompt(), run.answer.length()),
        };
        let mut response = json(StatusCode::OK, &completion);
        echo(&mut response, &run.attempt);
        response
    }

    fn stream(self: Rc<Self>, run: Run) -> Response<Body> {
        let (sender, receiver) = mpsc::channel(0);
        let mut response = Response::new(StreamBody::new(receiver).boxed_unsync());
        let kind = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(header::CONTENT_TYPE, kind);
        echo(&mut response, &run.attempt);
        compio::runtime::spawn(async move {
            // The reader has closed the stream, which cancels the run.
            let _ = self.generate(run, sender).await;
        })
        .detach();
        response
    }

    async fn generate(&self, run: Run, mut sender: Sender) -> Result<(), mpsc::SendError> {
        compio::time::sleep(self.settings.prefill_time).await;
        crash_if(run.fault == Some(Fault::Crash));
        for position in run.start + 1..=run.answer.length() {
            compio::time::sleep(self.settings.token_time).await;
            let event = event(Some(position), &run.piece(position));
            if run.fault == Some(Fault::Double(position)) {
                sender.send(frame(event.clone())).await?;
            }
            sender.send(frame(event)).await?;
            if run.fault == Some(Fault::Break(position)) {
                let cut = io::Error::from(io::ErrorKind::ConnectionReset);
                return sender.send(Err(cut)).await;
            }
            if run.fault == Some(Fault::Short(position)) {
                return Ok(());
            }
            if run.fault == Some(Fault::Silent(position)) {
                until_closed(&sender).await;
                return Ok(());
            }
        }
        sender.send(frame(event(None, &run.last()))).await?;
        sender.send(frame("data: [DONE]\n\n".into())).await
    }

    async fn order(&self, body: &Bytes) -> Response<Body> {
        let order: Order = match serde_json::from_slice(body) {
            Ok(order) => order,
            Err(reason) => return error(StatusCode::BAD_REQUEST, &reason.to_string()),
        };
        let checks = self.settings.announcement.checks_orders;
        if checks && order.fence < self.fence.get() {
            return error(StatusCode::CONFLICT, "the order is old");
        }
        if checks {
            self.fence.set(order.fence);
        }
        for model in &order.models {
            if !self.models.borrow().contains(model) {
                self.load(model).await;
            }
        }
        if checks && order.fence < self.fence.get() {
            return error(StatusCode::CONFLICT, "a newer order came meanwhile");
        }
        log::info!(target: "standin", "order {} is in force", order.fence);
        self.fence.set(order.fence);
        *self.models.borrow_mut() = order.models;
        json(StatusCode::OK, &serde_json::json!({"fence": order.fence}))
    }

    async fn load(&self, model: &LoadedModel) {
        let Some(store) = self.settings.store else {
            return compio::time::sleep(self.settings.load_time).await;
        };
        let path = format!("/v1/weights/{}/{}", model.model, model.version);
        while let Err(reason) = crate::read_json::<serde_json::Value>(store, &path).await {
            log::info!(target: "standin", "the weight store makes us wait: {reason}");
            compio::time::sleep(Duration::from_millis(200)).await;
        }
    }
}

impl Server for Engine {
    fn leave(&self) {
        self.is_leaving.set(true);
    }

    fn is_busy(&self) -> bool {
        self.slots.running() + self.slots.waiting() > 0
    }

    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Result<Response<Body>, Closed> {
        let (head, body) = request.into_parts();
        let body = read(body).await?;
        match (head.method, head.uri.path()) {
            (Method::POST, "/v1/chat/completions") => Ok(self.chat(&head.headers, &body).await),
            (Method::POST, "/v1/orders") => Ok(self.order(&body).await),
            _ => Ok(error(StatusCode::NOT_FOUND, "no such path")),
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
        Heartbeat {
            id: self.settings.announcement.id.clone(),
            incarnation: self.settings.announcement.incarnation,
            running: self.slots.running(),
            waiting: self.slots.waiting(),
            models: self.models.borrow().clone(),
            fence: self.fence.get(),
            ..Heartbeat::default()
        }
    }
}

impl Run {
    fn id(&self) -> String {
        if self.fault == Some(Fault::Crossed) {
            return format!("{}-of-another", self.attempt);
        }
        self.attempt.clone()
    }

    fn piece(&self, position: u32) -> Chunk {
        let delta = Delta {
            content: Some(self.answer.piece(position)),
        };
        self.chunk(delta, None)
    }

    fn last(&self) -> Chunk {
        let usage = Usage::new(&self.request.prompt(), self.answer.length());
        let mut chunk = self.chunk(Delta::default(), Some(usage));
        chunk.choices[0].finish_reason = Some(self.answer.finish_reason().into());
        chunk
    }

    fn chunk(&self, delta: Delta, usage: Option<Usage>) -> Chunk {
        Chunk {
            id: self.id(),
            object: "chat.completion.chunk".into(),
            model: self.request.model.clone(),
            choices: vec![Choice {
                delta: Some(delta),
                ..Choice::default()
            }],
            usage,
        }
    }
}

fn event(position: Option<u32>, chunk: &Chunk) -> String {
    let data = serde_json::to_string(chunk).unwrap_or_default();
    match position {
        Some(position) => format!("id: {position}\ndata: {data}\n\n"),
        None => format!("data: {data}\n\n"),
    }
}

#[allow(clippy::unnecessary_wraps)]
fn frame(text: String) -> io::Result<Frame<Bytes>> {
    Ok(Frame::data(text.into()))
}

async fn until_closed(sender: &Sender) {
    while !sender.is_closed() {
        compio::time::sleep(CLOSE_CHECK).await;
    }
}

fn crash_if(wanted: bool) {
    if wanted {
        log::error!(target: "standin", "a request crashes this engine");
        std::process::exit(CRASHED);
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default()
}

fn echo(response: &mut Response<Body>, attempt: &str) {
    if let Ok(value) = HeaderValue::from_str(attempt) {
        response.headers_mut().insert("x-request-id", value);
    }
}

fn error(status: StatusCode, message: &str) -> Response<Body> {
    let body = serde_json::json!({"error": {"kind": "refused", "message": message}});
    json(status, &body)
}
