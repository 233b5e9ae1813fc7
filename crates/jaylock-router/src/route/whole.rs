use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use http::Response;
use jaylock_observe::Run;
use jaylock_rpc::v1::end::Outcome;

use super::answer;
use super::attempts::Attempts;
use super::context::RouteContext;
use super::request::RouteRequest;
use super::send::{Destination, send};
use crate::answer::Refusal;
use crate::body::{self, Body, ReadError};
use crate::failure::Failure;
use crate::record::Record;

/// Answers a request whose answer is passed on as a whole.
pub async fn answer(
    context: Rc<RouteContext>,
    request: RouteRequest,
) -> Result<Response<Body>, Refusal> {
    let mut attempts = Attempts::new(context, request);
    match run(&mut attempts).await {
        Ok(record) => {
            attempts.account.first();
            attempts.account.record.whole = true;
            attempts.account.answered(record.status, Run::Ran);
            Ok(answer::whole(record))
        }
        Err(refusal) => {
            attempts.account.refused(&refusal);
            Err(refusal)
        }
    }
}

async fn run(attempts: &mut Attempts) -> Result<Record, Refusal> {
    let mut failed = None;
    loop {
        let (address, slot) = match attempts.slot(0).await {
            Ok(granted) => granted,
            // An answer that says why is better than none.
            Err(refusal) => return failed.ok_or(refusal),
        };
        let failure = match exchange(attempts, address, slot.backend()).await {
            Ok(record) if record.status.is_server_error() && attempts.may_repeat() => {
                let reason = Failure::Final(record.status, record.body.clone());
                failed = Some(record);
                reason
            }
            Ok(record) => {
                slot.close(Outcome::Complete);
                return Ok(record);
            }
            Err(failure) => failure,
        };
        if let Err(refusal) = attempts.failed(&failure, slot) {
            return failed.ok_or(refusal);
        }
    }
}

async fn exchange(
    attempts: &mut Attempts,
    address: SocketAddr,
    backend: &str,
) -> Result<Record, Failure> {
    let (context, request) = (&attempts.context, &attempts.request);
    let to = Destination {
        address,
        backend,
        after: 0,
    };
    let sent = Instant::now();
    let (link, response) = send(context, request, &to, attempts.patience()).await?;
    attempts.account.record.head = Some(sent.elapsed());
    let (context, request) = (&attempts.context, &attempts.request);
    let (status, headers) = (response.status(), response.headers().clone());
    let bound = context.limits.max_response;
    let body = body::read(response.into_body(), bound, request.left()).await;
    let body = body.map_err(|error| match error {
        ReadError::TooLong => Failure::Faulty("the answer is over the bound".into()),
        ReadError::TooSlow => Failure::Silent,
        ReadError::Broken => Failure::Broken("the answer ended early".into()),
    })?;
    context.links.put(link);
    Ok(Record {
        status,
        headers,
        body,
    })
}
