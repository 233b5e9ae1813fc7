use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use http::Response;
use jaylock_observe::RunStatus;
use jaylock_rpc::v1::end::Outcome;

use super::attempts::Attempts;
use super::context::RouteContext;
use super::request::RouteRequest;
use super::response;
use super::send::{Destination, send};
use crate::body::{self, Body, ReadError};
use crate::buffered_response::BufferedResponse;
use crate::error::AttemptError;
use crate::response::ErrorResponse;

/// Answers a request whose answer is passed on as a whole.
pub async fn respond(
    context: Rc<RouteContext>,
    request: RouteRequest,
) -> Result<Response<Body>, ErrorResponse> {
    let mut attempts = Attempts::new(context, request);
    match run(&mut attempts).await {
        Ok(record) => {
            attempts.tracker.record_first_token();
            attempts.tracker.record.is_complete = true;
            attempts
                .tracker
                .record_response(record.status, RunStatus::Ran);
            Ok(response::buffered(record))
        }
        Err(refusal) => {
            attempts.tracker.record_error(&refusal);
            Err(refusal)
        }
    }
}

async fn run(attempts: &mut Attempts) -> Result<BufferedResponse, ErrorResponse> {
    let mut failed = None;
    loop {
        let (address, slot) = match attempts.acquire_slot(0).await {
            Ok(granted) => granted,
            // An answer that says why is better than none.
            Err(refusal) => return failed.ok_or(refusal),
        };
        let failure = match exchange(attempts, address, slot.backend()).await {
            Ok(record) if record.status.is_server_error() && attempts.may_retry() => {
                let reason = AttemptError::ErrorStatus(record.status, record.body.clone());
                failed = Some(record);
                reason
            }
            Ok(record) => {
                slot.release(Outcome::Complete);
                return Ok(record);
            }
            Err(failure) => failure,
        };
        if let Err(refusal) = attempts.record_failure(&failure, slot) {
            return failed.ok_or(refusal);
        }
    }
}

async fn exchange(
    attempts: &mut Attempts,
    address: SocketAddr,
    backend: &str,
) -> Result<BufferedResponse, AttemptError> {
    let (context, request) = (&attempts.context, &attempts.request);
    let to = Destination {
        address,
        backend,
        after: 0,
    };
    let sent = Instant::now();
    let (connection, response) = send(context, request, &to, attempts.head_timeout()).await?;
    attempts.tracker.record.head_time = Some(sent.elapsed());
    let (context, request) = (&attempts.context, &attempts.request);
    let (status, headers) = (response.status(), response.headers().clone());
    let bound = context.limits.max_response;
    let body = body::read(response.into_body(), bound, request.left()).await;
    let body = body.map_err(|error| match error {
        ReadError::TooLong => AttemptError::Invalid("the answer is over the bound".into()),
        ReadError::TooSlow => AttemptError::TimedOut,
        ReadError::Broken => AttemptError::Lost("the answer ended early".into()),
    })?;
    context.connections.put_back(connection);
    Ok(BufferedResponse {
        status,
        headers,
        body,
    })
}
