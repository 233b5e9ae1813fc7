use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compact_str::format_compact;
use futures_util::{StreamExt, stream};
use http::{HeaderMap, Response, StatusCode};
use hyper::body::Incoming;
use jaylock_observe::RunStatus;
use jaylock_rpc::v1::end::Outcome;
use jaylock_types::Tokens;

use super::attempts::Attempts;
use super::buffered;
use super::context::RouteContext;
use super::continuation::{NO_CONTINUATION, NO_EVENT, may_continue};
use super::event_source::EventSource;
use super::request::RouteRequest;
use super::response;
use super::send::{Destination, send};
use crate::body::{Body, Interrupted};
use crate::buffered_response::BufferedResponse;
use crate::connection::Connection;
use crate::error::{AttemptError, with_timeout};
use crate::framing::is_framed;
use crate::response::ErrorResponse;
use crate::slot::Slot;

/// Responds with a stream of events, each forwarded as soon as it is complete.
pub async fn respond(
    context: Rc<RouteContext>,
    request: RouteRequest,
) -> Result<Response<Body>, ErrorResponse> {
    let mut stream = EventStream::new(Attempts::new(context, request));
    match stream.open().await {
        Ok(Opening::Stream(status, headers, first)) => {
            let parts = stream::unfold((Some(first), stream), next_part).boxed_local();
            Ok(response::forwarded(status, &headers, Body::Fallible(parts)))
        }
        Ok(Opening::Buffered(response)) => {
            stream
                .attempts
                .tracker
                .record_response(response.status, RunStatus::Ran);
            Ok(response::buffered(response))
        }
        Err(error) => {
            let tracker = &mut stream.attempts.tracker;
            tracker.record_error(&error);
            Err(error)
        }
    }
}

/// Returns the next part of a response and the state for the parts after it.
async fn next_part(
    (first, mut stream): (Option<Bytes>, EventStream),
) -> Option<(Result<Bytes, Interrupted>, (Option<Bytes>, EventStream))> {
    if let Some(first) = first {
        return Some((Ok(first), (None, stream)));
    }
    let next = stream.next_or_resume().await?;
    Some((next, (None, stream)))
}

/// Beginning of a response.
enum Opening {
    /// Head and first events of a stream.
    Stream(StatusCode, HeaderMap, Bytes),
    /// A backend server's complete error response.
    Buffered(BufferedResponse),
}

/// A stream of events across all attempts; dropping it cancels the work.
struct EventStream {
    /// Dropped first, so that the backend server is told before the request is recorded.
    active: Option<ActiveAttempt>,
    attempts: Attempts,
    /// Number of the last event that the caller has, from this request or from before.
    last_event: Option<u64>,
    /// Count of forwarded events.
    count: u64,
}

/// An attempt whose response has begun.
struct ActiveAttempt {
    connection: Connection,
    slot: Slot,
    events: EventSource<Incoming>,
    /// Whether an event with data has come.
    has_data: bool,
}

impl EventStream {
    fn new(attempts: Attempts) -> Self {
        let last_event = attempts.request.last_event;
        Self {
            active: None,
            attempts,
            last_event,
            count: 0,
        }
    }

    /// Makes attempts until one returns an event or a final response.
    async fn open(&mut self) -> Result<Opening, ErrorResponse> {
        loop {
            let (connection, slot, response) = self.start().await?;
            if response.status().is_success() {
                match self.begin(connection, slot, response).await {
                    Ok(opening) => return Ok(opening),
                    Err(error) => self.end_attempt(&error).await?,
                }
                continue;
            }
            match buffered::read(&self.attempts.context, &self.attempts.request, response).await {
                Ok(buffered) => {
                    slot.release(Outcome::Complete);
                    self.attempts.context.connections.put_back(connection);
                    return Ok(Opening::Buffered(buffered));
                }
                Err(error) => {
                    let address = connection.address();
                    self.attempts.record_failure(&error, address, slot).await?;
                }
            }
        }
    }

    /// Reads the first events of a response with success.
    async fn begin(
        &mut self,
        connection: Connection,
        slot: Slot,
        response: Response<Incoming>,
    ) -> Result<Opening, AttemptError> {
        let (status, headers) = (response.status(), response.headers().clone());
        let is_expected = self.last_event.is_none() || may_continue(&response);
        self.attach(connection, slot, response);
        if !is_expected {
            return Err(AttemptError::Invalid(NO_CONTINUATION.into()));
        }
        let first = self.next().await?;
        if first.is_none() {
            // The connection may have ended right after the head.
            if !is_framed(status, &headers) {
                return Err(AttemptError::Lost(NO_EVENT.into()));
            }
            self.finish();
        }
        self.attempts.tracker.record_first_token();
        Ok(Opening::Stream(status, headers, first.unwrap_or_default()))
    }

    /// Returns the next events, resuming at another backend server after a failure; `None` at the end.
    async fn next_or_resume(&mut self) -> Option<Result<Bytes, Interrupted>> {
        loop {
            let error = match self.next().await {
                Ok(Some(events)) => return Some(Ok(events)),
                // Nothing shows that the stream was complete before it broke off.
                Ok(None) if self.has_gone_on_without_event() => {
                    AttemptError::Invalid(NO_EVENT.into())
                }
                Ok(None) => {
                    self.finish();
                    return None;
                }
                Err(error) => error,
            };
            if let Err(error) = self.resume(&error).await {
                let tracker = &mut self.attempts.tracker;
                tracker.record_step(format_compact!("the stream is cut: {}", error.message));
                tracker.record_error(&error);
                return Some(Err(Interrupted));
            }
        }
    }

    /// Resumes the stream at another backend server after a failure.
    async fn resume(&mut self, error: &AttemptError) -> Result<(), ErrorResponse> {
        self.end_attempt(error).await?;
        loop {
            let (connection, slot, response) = self.start().await?;
            let status = response.status();
            if may_continue(&response) {
                self.attach(connection, slot, response);
                return Ok(());
            }
            let reason = format_compact!("{NO_CONTINUATION}: the answer is {status}");
            let error = AttemptError::Invalid(reason);
            let address = connection.address();
            self.attempts.record_failure(&error, address, slot).await?;
        }
    }

    /// Waits for a slot and sends the request, until a backend server responds.
    async fn start(&mut self) -> Result<(Connection, Slot, Response<Incoming>), ErrorResponse> {
        loop {
            let served = match self.count {
                0 => 0,
                count => self.attempts.request.service_tokens(count),
            };
            let (address, slot) = self.attempts.acquire_slot(served).await?;
            let to = Destination {
                address,
                slot: &slot,
                is_tried: self.attempts.has_tried(address),
                last_event: self.last_event,
            };
            let (context, request) = (&self.attempts.context, &self.attempts.request);
            let sent = Instant::now();
            match send(context, request, &to, self.attempts.head_timeout()).await {
                Ok((connection, response)) => {
                    self.attempts.tracker.record.head_time = Some(sent.elapsed());
                    if let Some(event) = self.last_event {
                        self.log_resumption(event, &slot);
                    }
                    return Ok((connection, slot, response));
                }
                Err(error) => self.attempts.record_failure(&error, address, slot).await?,
            }
        }
    }

    /// Logs where a stream goes on, so that its software versions can be compared.
    fn log_resumption(&self, event: u64, slot: &Slot) {
        let request = &self.attempts.request;
        let begun_by = request.resumed.as_ref().unwrap_or(&request.id);
        log::info!(
            target: "router",
            request = request.id.as_str(), begun_by = begun_by.as_str(), event,
            backend = slot.backend(), software = slot.software();
            "a stream goes on"
        );
    }

    fn attach(&mut self, connection: Connection, slot: Slot, response: Response<Incoming>) {
        self.active = Some(ActiveAttempt {
            connection,
            slot,
            events: EventSource::new(response.into_body()),
            has_data: false,
        });
    }

    /// Whether the stream goes on at another backend server that has sent no event.
    fn has_gone_on_without_event(&self) -> bool {
        let has_data = self.active.as_ref().is_some_and(|a| a.has_data);
        self.count > 0 && !has_data
    }

    /// Ends the active attempt after a failure and checks that another one may be made.
    async fn end_attempt(&mut self, error: &AttemptError) -> Result<(), ErrorResponse> {
        match self.active.take() {
            Some(active) => {
                let address = active.connection.address();
                self.attempts
                    .record_failure(error, address, active.slot)
                    .await
            }
            None => Err(self.attempts.deadline_exceeded()),
        }
    }

    /// Waits for at least one event and returns all complete ones; `None` at the end of the stream.
    async fn next(&mut self) -> Result<Option<Bytes>, AttemptError> {
        let interval = self.event_interval();
        let Some(active) = &mut self.active else {
            return Err(AttemptError::TimedOut);
        };
        if !interval.is_zero() {
            compio::time::sleep(interval).await;
            active.events.read_arrived().await;
        }
        let remaining = self.attempts.request.remaining();
        let next = active.events.next(&mut self.last_event);
        let Some(events) = with_timeout(remaining, next).await?? else {
            return Ok(None);
        };
        self.count += events.count;
        active.has_data |= events.has_data;
        self.attempts.mark_ran();
        self.attempts.pin_software(active.slot.software());
        if !events.is_numbered {
            // Another run could not tell which of them the caller has.
            self.attempts.forbid_retries();
        }
        active
            .slot
            .record_tokens(self.attempts.request.service_tokens(self.count));
        Ok(Some(events.text))
    }

    /// Time for which events are collected, after the first one was forwarded.
    fn event_interval(&self) -> Duration {
        if self.count == 0 {
            return Duration::ZERO;
        }
        let attempts = &self.attempts;
        let is_relayed = attempts.request.is_relayed();
        let interval = attempts.context.overload.event_interval(is_relayed);
        interval.min(attempts.request.remaining())
    }

    fn finish(&mut self) {
        self.attempts.record_complete();
        if let Some(active) = self.active.take() {
            active.slot.release(Outcome::Complete);
            self.attempts
                .context
                .connections
                .put_back(active.connection);
        }
        let tokens = self.count * u64::from(self.attempts.request.target.event_tokens);
        let tracker = &mut self.attempts.tracker;
        tracker.record.tokens = Tokens(tokens);
        tracker.record.is_complete = true;
        tracker.record_response(StatusCode::OK, RunStatus::Ran);
    }
}
