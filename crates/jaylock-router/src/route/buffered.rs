use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use http::Response;
use hyper::body::Incoming;
use jaylock_observe::RunStatus;
use jaylock_rpc::v1::end::Outcome;

use super::attempts::Attempts;
use super::context::RouteContext;
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
        let (address, mut slot) = match attempts.acquire_slot(0).await {
            Ok(granted) => granted,
            // The backend server's own error is more helpful than the router's.
            Err(error) => return server_error.ok_or(error),
        };
        let error = match exchange(attempts, address, &slot).await {
            Ok(response) if response.status.is_server_error() && attempts.may_retry() => {
                let error = AttemptError::ErrorStatus(response.status, response.body.clone());
                server_error = Some(response);
                error
            }
            Ok(response) => {
                if response.status.is_success() {
                    slot.mark_answered();
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

async fn exchange(
    attempts: &mut Attempts,
    address: SocketAddr,
    slot: &Slot,
) -> Result<BufferedResponse, AttemptError> {
    let (context, request) = (&attempts.context, &attempts.request);
    let to = Destination {
        address,
        slot,
        is_tried: attempts.has_tried(address),
        last_event: None,
    };
    let sent = Instant::now();
    let (connection, response) = send(context, request, &to, attempts.head_timeout()).await?;
    attempts.tracker.record.head_time = Some(sent.elapsed());
    let buffered = read(attempts, response).await?;
    attempts.context.connections.put_back(connection);
    Ok(buffered)
}

/// Reads a response completely.
pub async fn read(
    attempts: &Attempts,
    response: Response<Incoming>,
) -> Result<BufferedResponse, AttemptError> {
    let (context, request) = (&attempts.context, &attempts.request);
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
