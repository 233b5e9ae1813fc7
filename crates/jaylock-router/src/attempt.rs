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

use crate::body;
use crate::call::DEADLINE_HEADER;
use crate::chat::Chat;
use crate::chunk::{Chunk, ChunkCheck, ChunkValidator};
use crate::connection::Connection;
use crate::context::Context;
use crate::error::{AttemptError, with_timeout};
use crate::event::EventParser;
use crate::origin::ExpectedOrigin;
use crate::response::{REQUEST_ID_HEADER, set_header};
use crate::slot::Slot;

/// Header by which a backend server reports that a request did not run.
pub const NOT_RUN_HEADER: &str = "x-not-run";
/// Client errors (4xx) that are transient, so that another attempt may succeed.
const TRANSIENT_CLIENT_ERRORS: [StatusCode; 3] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::TOO_EARLY,
    StatusCode::TOO_MANY_REQUESTS,
];
/// Largest event of an engine's stream.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Time for the end of the HTTP body to arrive after the last event.
const BODY_END_TIMEOUT: Duration = Duration::from_millis(200);

/// Position after which a response is resumed.
#[derive(Debug, Clone, Copy, Default)]
pub struct Position {
    /// Number of the last chunk that was forwarded.
    pub last_chunk: u64,
    /// Whether that chunk had a finish reason.
    pub is_finished: bool,
}

/// One attempt to run a request on a model engine, read as a stream.
pub struct Attempt {
    context: Rc<Context>,
    connection: Connection,
    body: Incoming,
    parser: EventParser,
    validator: ChunkValidator,
    is_started: bool,
}

impl Attempt {
    /// Sends a request to an engine and waits for the head of the response.
    pub async fn start(
        context: &Rc<Context>,
        chat: &Chat,
        (address, slot): (SocketAddr, &Slot),
        position: Position,
        remaining: Duration,
    ) -> Result<Self, AttemptError> {
        let id = RequestId::random();
        let request = || {
            let may_send = !slot.is_excluded();
            may_send.then(|| chat_request(chat, &id, address, position, remaining))
        };
        let timeout = context.settings.first_byte_timeout;
        let settings = &context.settings;
        let connect_timeout = settings.connect_timeout;
        let sending =
            context
                .connections
                .send(address, settings.max_idle, connect_timeout, request);
        let (mut connection, response) = with_timeout(timeout, sending).await??;
        check_origin(&mut connection, &response, &id)?;
        let response = validate_status(response, context).await?;
        Ok(Self {
            context: context.clone(),
            connection,
            body: response.into_body(),
            parser: EventParser::default(),
            validator: ChunkValidator::new(id.as_str(), position.last_chunk, position.is_finished),
            is_started: false,
        })
    }

    /// Returns the next chunk, or `None` when the response is complete.
    pub async fn next(&mut self) -> Result<Option<Chunk>, AttemptError> {
        loop {
            while let Some(event) = self.parser.next_event() {
                match self.validator.check(&event) {
                    ChunkCheck::Accept(chunk) => {
                        self.is_started = true;
                        return Ok(Some(chunk));
                    }
                    ChunkCheck::Discard => {}
                    ChunkCheck::Complete => return Ok(None),
                    ChunkCheck::Invalid(reason) => {
                        return Err(AttemptError::Invalid(reason.into()));
                    }
                }
            }
            self.fill().await?;
        }
    }

    /// Returns the connection to the pool after a complete response.
    pub fn release_connection(self) {
        let Self {
            context,
            connection,
            mut body,
            ..
        } = self;
        if let Some(None) = body.frame().now_or_never() {
            context.connections.put_back(connection);
            return;
        }
        compio::runtime::spawn(async move {
            if let Ok(None) = compio::time::timeout(BODY_END_TIMEOUT, body.frame()).await {
                context.connections.put_back(connection);
            }
        })
        .detach();
    }

    async fn fill(&mut self) -> Result<(), AttemptError> {
        if self.parser.pending() > MAX_EVENT_BYTES {
            return Err(AttemptError::Invalid("a piece is too long".into()));
        }
        let settings = &self.context.settings;
        let timeout = if self.is_started {
            settings.idle_timeout
        } else {
            settings.first_byte_timeout
        };
        match with_timeout(timeout, self.body.frame()).await? {
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    self.parser.feed(data);
                }
                Ok(())
            }
            Some(Err(error)) => Err(AttemptError::Lost(format_compact!("{error}"))),
            None => Err(AttemptError::Lost("the stream ended early".into())),
        }
    }
}

/// Checks that a response belongs to an attempt, and whether it says that the attempt did not run.
pub fn check_origin(
    connection: &mut Connection,
    response: &Response<Incoming>,
    id: &RequestId,
) -> Result<(), AttemptError> {
    let origin = ExpectedOrigin {
        header: REQUEST_ID_HEADER,
        id: id.as_str().as_bytes(),
    };
    let marked = response.headers().get(NOT_RUN_HEADER);
    let is_refusal =
        response.status() == StatusCode::SERVICE_UNAVAILABLE && marked.is_some_and(|v| v == "true");
    origin.check(connection, response, is_refusal)
}

fn chat_request(
    chat: &Chat,
    id: &RequestId,
    address: SocketAddr,
    position: Position,
    remaining: Duration,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(chat.body.clone()));
    *request.method_mut() = http::Method::POST;
    *request.uri_mut() = http::Uri::from_static("/v1/chat/completions");
    let headers = request.headers_mut();
    set_header(headers, "host", &address.to_string());
    set_header(headers, "content-type", "application/json");
    set_header(headers, "accept", "text/event-stream");
    set_header(headers, REQUEST_ID_HEADER, id.as_str());
    set_header(headers, "x-model-version", &chat.version);
    set_header(headers, DEADLINE_HEADER, &remaining.as_millis().to_string());
    if !chat.adapter.is_empty() {
        set_header(headers, "x-adapter", &chat.adapter);
    }
    if position.last_chunk > 0 {
        set_header(headers, "last-event-id", &position.last_chunk.to_string());
    }
    request
}

async fn validate_status(
    response: Response<Incoming>,
    context: &Context,
) -> Result<Response<Incoming>, AttemptError> {
    let status = response.status();
    if status.is_client_error() && !TRANSIENT_CLIENT_ERRORS.contains(&status) {
        return Err(error_status(response, context).await);
    }
    if status != StatusCode::OK {
        let reason = format_compact!("the engine answered {status}");
        return Err(AttemptError::Invalid(reason));
    }
    Ok(response)
}

async fn error_status(response: Response<Incoming>, context: &Context) -> AttemptError {
    let status = response.status();
    let settings = &context.settings;
    match body::read(
        response.into_body(),
        settings.max_recorded,
        settings.idle_timeout,
    )
    .await
    {
        Ok(body) => AttemptError::ErrorStatus(status, body),
        Err(_) => AttemptError::Lost("the answer broke off".into()),
    }
}
