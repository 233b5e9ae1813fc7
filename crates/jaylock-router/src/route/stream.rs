use std::rc::Rc;
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use compact_str::format_compact;
use futures_util::{StreamExt, stream};
use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use jaylock_observe::RunStatus;
use jaylock_rpc::v1::end::Outcome;
use jaylock_types::Tokens;

use super::attempts::Attempts;
use super::context::RouteContext;
use super::request::RouteRequest;
use super::response::{buffered, forwarded};
use super::send::{Destination, send};
use crate::body::{self, Body, Interrupted};
use crate::buffered_response::BufferedResponse;
use crate::connection::Connection;
use crate::error::{AttemptError, with_timeout};
use crate::event::EventParser;
use crate::response::ErrorResponse;
use crate::slot::Slot;

/// Longest event, in bytes.
const EVENT_LIMIT: usize = 1 << 20;

/// Answers a request with a stream of events, each passed on as soon as it is whole.
pub async fn respond(
    context: Rc<RouteContext>,
    request: RouteRequest,
) -> Result<Response<Body>, ErrorResponse> {
    let mut events = Events::new(Attempts::new(context, request));
    match events.open().await {
        Ok(Opening::Stream(status, headers, first)) => {
            let parts = stream::unfold((Some(first), events), pass).boxed_local();
            Ok(forwarded(status, &headers, Body::Fallible(parts)))
        }
        Ok(Opening::Whole(record)) => {
            events
                .attempts
                .tracker
                .record_response(record.status, RunStatus::Ran);
            Ok(buffered(record))
        }
        Err(refusal) => {
            let tracker = &mut events.attempts.tracker;
            tracker.record_error(&refusal);
            Err(refusal)
        }
    }
}

/// The next part of an answer, and what makes the parts after it.
async fn pass(
    (first, mut events): (Option<Bytes>, Events),
) -> Option<(Result<Bytes, Interrupted>, (Option<Bytes>, Events))> {
    if let Some(first) = first {
        return Some((Ok(first), (None, events)));
    }
    let next = events.next_or_resume().await?;
    Some((next, (None, events)))
}

/// How an answer begins.
enum Opening {
    /// Head and first events of a stream.
    Stream(StatusCode, HeaderMap, Bytes),
    /// A backend server's failure.
    Whole(BufferedResponse),
}

/// A stream across all its attempts; dropping it cancels the work.
struct Events {
    attempts: Attempts,
    live: Option<Live>,
    /// Number of the last event that was passed on.
    last: u64,
    /// Events that were passed on.
    count: u64,
}

/// An attempt whose answer has begun.
struct Live {
    connection: Connection,
    slot: Slot,
    body: Incoming,
    parser: EventParser,
}

impl Events {
    fn new(attempts: Attempts) -> Self {
        let last = attempts.request.after;
        Self {
            attempts,
            live: None,
            last,
            count: 0,
        }
    }

    /// Makes attempts until one brings an event, or a final answer.
    async fn open(&mut self) -> Result<Opening, ErrorResponse> {
        loop {
            let (connection, slot, response) = self.start().await?;
            let (status, headers) = (response.status(), response.headers().clone());
            if status.is_success() {
                self.attach(connection, slot, response);
                match self.next().await {
                    Ok(first) => {
                        self.attempts.tracker.record_first_token();
                        let first = first.unwrap_or_default();
                        return Ok(Opening::Stream(status, headers, first));
                    }
                    Err(failure) => self.give_back(&failure)?,
                }
                continue;
            }
            match self.read_whole(response).await {
                Ok(record) => {
                    slot.release(Outcome::Complete);
                    self.attempts.context.connections.put_back(connection);
                    return Ok(Opening::Whole(record));
                }
                Err(failure) => self.attempts.record_failure(&failure, slot)?,
            }
        }
    }

    /// The next events, from another backend server where one has failed; none at the end.
    async fn next_or_resume(&mut self) -> Option<Result<Bytes, Interrupted>> {
        loop {
            let failure = match self.next().await {
                Ok(next) => return next.map(Ok),
                Err(failure) => failure,
            };
            if let Err(refusal) = self.resume(&failure).await {
                let tracker = &mut self.attempts.tracker;
                tracker.add_step(format_compact!("the stream is cut: {}", refusal.message));
                tracker.record_error(&refusal);
                return Some(Err(Interrupted));
            }
        }
    }

    /// Goes on at another backend server after a failure.
    async fn resume(&mut self, failure: &AttemptError) -> Result<(), ErrorResponse> {
        self.give_back(failure)?;
        loop {
            let (connection, slot, response) = self.start().await?;
            let status = response.status();
            if status.is_success() {
                self.attach(connection, slot, response);
                return Ok(());
            }
            let reason = format_compact!("the backend server answered {status}");
            self.attempts
                .record_failure(&AttemptError::Invalid(reason), slot)?;
        }
    }

    /// Waits for a slot and sends, until a backend server answers.
    async fn start(&mut self) -> Result<(Connection, Slot, Response<Incoming>), ErrorResponse> {
        loop {
            let served = match self.count {
                0 => 0,
                count => self.attempts.request.served(count),
            };
            let (address, slot) = self.attempts.acquire_slot(served).await?;
            let to = Destination {
                address,
                backend: slot.backend(),
                after: self.last,
            };
            let (context, request) = (&self.attempts.context, &self.attempts.request);
            let sent = Instant::now();
            match send(context, request, &to, self.attempts.head_timeout()).await {
                Ok((connection, response)) => {
                    self.attempts.tracker.record.head_time = Some(sent.elapsed());
                    return Ok((connection, slot, response));
                }
                Err(failure) => self.attempts.record_failure(&failure, slot)?,
            }
        }
    }

    fn attach(&mut self, connection: Connection, slot: Slot, response: Response<Incoming>) {
        self.live = Some(Live {
            connection,
            slot,
            body: response.into_body(),
            parser: EventParser::default(),
        });
    }

    /// Gives the slot of the failed attempt back and tells whether another may be made.
    fn give_back(&mut self, failure: &AttemptError) -> Result<(), ErrorResponse> {
        match self.live.take() {
            Some(live) => self.attempts.record_failure(failure, live.slot),
            None => Err(self.attempts.deadline_exceeded()),
        }
    }

    /// All whole events that are there, waiting for the first one; none when the stream is whole.
    async fn next(&mut self) -> Result<Option<Bytes>, AttemptError> {
        loop {
            let Some(live) = &mut self.live else {
                return Err(AttemptError::TimedOut);
            };
            let (ready, count) = take_ready(&mut live.parser, &mut self.last);
            if count > 0 {
                self.count += count;
                self.attempts.mark_ran();
                live.slot
                    .record_tokens(self.attempts.request.served(self.count));
                return Ok(Some(ready));
            }
            if live.parser.pending() > EVENT_LIMIT {
                return Err(AttemptError::Invalid("an event is too long".into()));
            }
            let left = self.attempts.request.left();
            match with_timeout(left, live.body.frame()).await? {
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        live.parser.feed(data);
                    }
                }
                Some(Err(error)) => return Err(AttemptError::Lost(format_compact!("{error}"))),
                None if live.parser.pending() > 0 => {
                    return Err(AttemptError::Lost(
                        "the stream ended within an event".into(),
                    ));
                }
                None => {
                    self.finish();
                    return Ok(None);
                }
            }
        }
    }

    fn finish(&mut self) {
        if let Some(live) = self.live.take() {
            live.slot.release(Outcome::Complete);
            self.attempts.context.connections.put_back(live.connection);
        }
        let tokens = self.count * u64::from(self.attempts.request.event_tokens);
        let tracker = &mut self.attempts.tracker;
        tracker.record.tokens = Tokens(tokens);
        tracker.record.is_complete = true;
        tracker.record_response(StatusCode::OK, RunStatus::Ran);
    }

    async fn read_whole(
        &self,
        response: Response<Incoming>,
    ) -> Result<BufferedResponse, AttemptError> {
        let (status, headers) = (response.status(), response.headers().clone());
        let bound = self.attempts.context.limits.max_response;
        let left = self.attempts.request.left();
        let body = body::read(response.into_body(), bound, left).await;
        let body = body.map_err(|_| AttemptError::Lost("the answer broke off".into()))?;
        Ok(BufferedResponse {
            status,
            headers,
            body,
        })
    }
}

/// Takes the whole events after `last` and counts them; one that came before is dropped.
fn take_ready(parser: &mut EventParser, last: &mut u64) -> (Bytes, u64) {
    let mut ready = BytesMut::new();
    let mut count = 0;
    while let Some((id, event)) = parser.next_raw_event() {
        if id.is_some_and(|id| id <= *last) {
            continue;
        }
        *last = id.unwrap_or(*last);
        ready.extend_from_slice(&event);
        count += 1;
    }
    (ready.freeze(), count)
}
