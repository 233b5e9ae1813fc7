use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Response;
use hyper::body::Incoming;
use jaylock_observe::RunStatus;
use jaylock_rpc::v1::end::Outcome;

use super::attempts::Attempts;
use super::context::RouteContext;
use super::hedged;
use super::request::RouteRequest;
use super::response;
use super::send::{Destination, send};
use crate::body::{self, Body};
use crate::buffered_response::BufferedResponse;
use crate::error::AttemptError;
use crate::response::ErrorResponse;
use crate::slot::Slot;

/// Responds to a request whose response is forwarded only after it is complete.
pub async fn respond(
    context: Rc<RouteContext>,
    request: RouteRequest,
) -> Result<Response<Body>, ErrorResponse> {
    let mut attempts = Attempts::new(context, request);
    match run(&mut attempts).await {
        Ok(buffered) => {
            attempts.record_complete();
            attempts.tracker.record_first_token();
            attempts.tracker.record.is_complete = true;
            attempts
                .tracker
                .record_response(buffered.status, RunStatus::Ran);
            Ok(response::buffered(buffered))
        }
        Err(error) => {
            attempts.tracker.record_error(&error);
            Err(error)
        }
    }
}

async fn run(attempts: &mut Attempts) -> Result<BufferedResponse, ErrorResponse> {
    let mut server_error = None;
    loop {
        let granted = match attempts.acquire_slot(0).await {
            Ok(granted) => granted,
            // The backend server's own error is more helpful than the router's.
            Err(error) => return server_error.ok_or(error),
        };
        let started = Instant::now();
        let ended = match attempts.hedge_plan() {
            Some(plan) => hedged::run(attempts, granted, plan, &mut server_error).await,
            None => run_alone(attempts, granted, &mut server_error).await,
        };
        let (address, mut slot) = (ended.address, ended.slot);
        let error = match ended.outcome {
            Ok(response) => {
                if response.status.is_success() {
                    slot.mark_answered();
                    attempts.record_response_time(started.elapsed() + ended.hedge_time);
                }
                slot.release(Outcome::Complete);
                return Ok(response);
            }
            Err(error) => error,
        };
        if let Err(error) = attempts.record_failure(&error, address, slot).await {
            return server_error.ok_or(error);
        }
    }
}

/// An attempt that has ended.
pub struct Ended {
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Slot of the attempt, which is still to be released.
    pub slot: Slot,
    /// Time to the head of the response, if it arrived.
    pub head_time: Option<Duration>,
    /// How long it ran, if it won against an attempt that was sent before.
    pub hedge_time: Duration,
    /// The complete response.
    pub outcome: Result<BufferedResponse, AttemptError>,
}

/// Runs an attempt that gets no second one beside it.
async fn run_alone(
    attempts: &mut Attempts,
    (address, slot): (SocketAddr, Slot),
    server_error: &mut Option<BufferedResponse>,
) -> Ended {
    let to = Destination {
        address,
        slot: &slot,
        is_tried: attempts.has_tried(address),
        last_event: None,
    };
    let timeout = attempts.head_timeout();
    let record = &mut attempts.tracker.record;
    let on_head = |time| record.head_time = Some(time);
    let (context, request) = (&attempts.context, &attempts.request);
    let outcome = exchange(context, request, &to, timeout, on_head).await;
    let ended = Ended {
        address,
        slot,
        head_time: None,
        hedge_time: Duration::ZERO,
        outcome,
    };
    accept(attempts, ended, server_error)
}

/// Takes a server error for a failure, and keeps its response, while another attempt may follow.
pub fn accept(
    attempts: &mut Attempts,
    mut ended: Ended,
    server_error: &mut Option<BufferedResponse>,
) -> Ended {
    let record = &mut attempts.tracker.record;
    record.head_time = ended.head_time.or(record.head_time);
    ended.outcome = ended.outcome.and_then(|response| {
        if !response.status.is_server_error() || !attempts.may_retry() {
            return Ok(response);
        }
        let error = AttemptError::ErrorStatus(response.status, response.body.clone());
        *server_error = Some(response);
        Err(error)
    });
    ended
}

/// Sends a request and reads the complete response; `on_head` gets the time until its head arrived.
pub async fn exchange(
    context: &RouteContext,
    request: &RouteRequest,
    to: &Destination<'_>,
    timeout: Duration,
    on_head: impl FnOnce(Duration),
) -> Result<BufferedResponse, AttemptError> {
    let sent = Instant::now();
    let (connection, response) = send(context, request, to, timeout).await?;
    on_head(sent.elapsed());
    let buffered = read(context, request, response).await?;
    context.connections.put_back(connection);
    Ok(buffered)
}

/// Reads a response completely.
pub async fn read(
    context: &RouteContext,
    request: &RouteRequest,
    response: Response<Incoming>,
) -> Result<BufferedResponse, AttemptError> {
    let (status, headers) = (response.status(), response.headers().clone());
    let body = read_body(context, request, response.into_body()).await?;
    Ok(BufferedResponse {
        status,
        headers,
        body,
    })
}

/// Reads the body of a response for a request.
async fn read_body(
    context: &RouteContext,
    request: &RouteRequest,
    body: Incoming,
) -> Result<Bytes, AttemptError> {
    let max_size = context.limits.max_response;
    let (memory, organisation) = (&context.memory, &request.organisation);
    let reading =
        body::read_response(body, max_size, request.remaining(), memory, organisation).await;
    Ok(reading?)
}
