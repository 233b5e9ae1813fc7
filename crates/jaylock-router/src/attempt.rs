use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::format_compact;
use futures_util::FutureExt;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use jaylock_types::RequestId;

use crate::answer::{REQUEST_ID, put};
use crate::body;
use crate::call::DEADLINE;
use crate::chat::Chat;
use crate::chunk::{Chunk, ChunkCheck, ChunkValidator};
use crate::connection::Link;
use crate::context::Context;
use crate::event::EventParser;
use crate::failure::{Failure, silence_limit};

/// Header by which a backend server says that it didn't run a request.
pub const NOT_RUN: &str = "x-not-run";
/// Answers 4xx that say nothing against the request itself.
const PASSING: [StatusCode; 3] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::TOO_EARLY,
    StatusCode::TOO_MANY_REQUESTS,
];
/// Longest event of an engine's stream, in bytes.
const EVENT_LIMIT: usize = 1 << 20;
/// Time for the end of a stream to arrive after its last event.
const TAIL_WAIT: Duration = Duration::from_millis(200);

/// Where a resumed answer goes on.
#[derive(Debug, Clone, Copy, Default)]
pub struct Position {
    /// Number of the last piece passed on.
    pub last: u64,
    /// Whether that piece ended the answer.
    pub finished: bool,
}

/// One run of a request on a model engine, read as a stream.
pub struct Attempt {
    shared: Rc<Context>,
    link: Link,
    body: Incoming,
    parser: EventParser,
    checker: ChunkValidator,
    started: bool,
}

impl Attempt {
    /// Sends a request to an engine and waits for the head of its answer.
    pub async fn start(
        shared: &Rc<Context>,
        chat: &Chat,
        address: SocketAddr,
        position: Position,
        left: Duration,
    ) -> Result<Self, Failure> {
        let id = RequestId::random();
        let request = || chat_request(chat, &id, address, position, left);
        let limit = shared.settings.first_byte_timeout;
        let settings = &shared.settings;
        let opening = settings.connect_timeout;
        let exchange = shared
            .links
            .exchange(address, settings.max_idle, opening, request);
        let (link, response) = silence_limit(limit, exchange).await??;
        let response = check_head(response, &id, shared).await?;
        Ok(Self {
            shared: shared.clone(),
            link,
            body: response.into_body(),
            parser: EventParser::default(),
            checker: ChunkValidator::new(id.as_str(), position.last, position.finished),
            started: false,
        })
    }

    /// The next piece, or none when the answer is whole.
    pub async fn next(&mut self) -> Result<Option<Chunk>, Failure> {
        loop {
            while let Some(event) = self.parser.next_event() {
                match self.checker.check(&event) {
                    ChunkCheck::Accept(piece) => {
                        self.started = true;
                        return Ok(Some(piece));
                    }
                    ChunkCheck::Discard => {}
                    ChunkCheck::Complete => return Ok(None),
                    ChunkCheck::Invalid(reason) => return Err(Failure::Faulty(reason.into())),
                }
            }
            self.fill().await?;
        }
    }

    /// Keeps the connection for another request, once the answer is whole.
    pub fn close(self) {
        let Self {
            shared,
            link,
            mut body,
            ..
        } = self;
        if let Some(None) = body.frame().now_or_never() {
            shared.links.put(link);
            return;
        }
        compio::runtime::spawn(async move {
            if let Ok(None) = compio::time::timeout(TAIL_WAIT, body.frame()).await {
                shared.links.put(link);
            }
        })
        .detach();
    }

    async fn fill(&mut self) -> Result<(), Failure> {
        if self.parser.pending() > EVENT_LIMIT {
            return Err(Failure::Faulty("a piece is too long".into()));
        }
        let settings = &self.shared.settings;
        let limit = if self.started {
            settings.read_timeout
        } else {
            settings.first_byte_timeout
        };
        match silence_limit(limit, self.body.frame()).await? {
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    self.parser.feed(data);
                }
                Ok(())
            }
            Some(Err(error)) => Err(Failure::Broken(format_compact!("{error}"))),
            None => Err(Failure::Broken("the stream ended early".into())),
        }
    }
}

/// Whether the answer carries another request's identifier.
pub fn is_crossed(response: &Response<Incoming>, id: &RequestId) -> bool {
    let echoed = response.headers().get(REQUEST_ID);
    echoed.is_some_and(|e| e.as_bytes() != id.as_str().as_bytes())
}

/// Whether the backend server says that it did not run this request.
pub fn is_declined(response: &Response<Incoming>, id: &RequestId) -> bool {
    let says_so = response.headers().get(NOT_RUN).is_some_and(|v| v == "true");
    response.status() == StatusCode::SERVICE_UNAVAILABLE && says_so && !is_crossed(response, id)
}

fn chat_request(
    chat: &Chat,
    id: &RequestId,
    address: SocketAddr,
    position: Position,
    left: Duration,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(chat.body.clone()));
    *request.method_mut() = http::Method::POST;
    *request.uri_mut() = http::Uri::from_static("/v1/chat/completions");
    let headers = request.headers_mut();
    put(headers, "host", &address.to_string());
    put(headers, "content-type", "application/json");
    put(headers, "accept", "text/event-stream");
    put(headers, REQUEST_ID, id.as_str());
    put(headers, "x-model-version", &chat.version);
    put(headers, DEADLINE, &left.as_millis().to_string());
    if !chat.adapter.is_empty() {
        put(headers, "x-adapter", &chat.adapter);
    }
    if position.last > 0 {
        put(headers, "last-event-id", &position.last.to_string());
    }
    request
}

async fn check_head(
    response: Response<Incoming>,
    id: &RequestId,
    shared: &Context,
) -> Result<Response<Incoming>, Failure> {
    if is_declined(&response, id) {
        return Err(Failure::Declined);
    }
    if is_crossed(&response, id) {
        return Err(Failure::Faulty("the answer is another request's".into()));
    }
    let status = response.status();
    if status.is_client_error() && !PASSING.contains(&status) {
        return Err(final_word(response, shared).await);
    }
    if status != StatusCode::OK {
        let reason = format_compact!("the engine answered {status}");
        return Err(Failure::Faulty(reason));
    }
    Ok(response)
}

async fn final_word(response: Response<Incoming>, shared: &Context) -> Failure {
    let status = response.status();
    let settings = &shared.settings;
    match body::read(
        response.into_body(),
        settings.max_recorded,
        settings.read_timeout,
    )
    .await
    {
        Ok(body) => Failure::Final(status, body),
        Err(_) => Failure::Broken("the answer broke off".into()),
    }
}
