use std::rc::Rc;
use std::time::Duration;

use http::{Response, StatusCode, header};
use jaylock_observe::RunStatus;
use jaylock_rpc::v1::applied::Result as Outcome;
use jaylock_rpc::v1::claim_state::Kind;
use jaylock_rpc::v1::command::Body as CommandBody;
use jaylock_rpc::v1::{Applied, Claim, ClaimState, ReleaseClaim, Settle};
use jaylock_types::{RequestId, unix_ms};
use sha2::{Digest, Sha256};

use crate::body::Body;
use crate::buffered_response::BufferedResponse;
use crate::call::Call;
use crate::context::Context;
use crate::proposal;
use crate::response::{ErrorResponse, RECORDED_HEADER, set_header, set_run_headers};

/// Header with the idempotency key of a non-idempotent request.
pub const KEY_HEADER: &str = "idempotency-key";
/// Longest idempotency key.
const MAX_KEY_BYTES: usize = 255;

/// The right to run a non-idempotent request once; must be settled or released.
pub struct HeldClaim {
    context: Rc<Context>,
    organisation: String,
    key: String,
    request: String,
}

/// Outcome of a claim that did not fail.
pub enum ClaimOutcome {
    /// The request may run now.
    Granted(HeldClaim),
    /// The request ran before; its recorded response.
    Recorded(Settle),
}

impl HeldClaim {
    /// Commits a claim, which must happen before any byte of the request is sent.
    pub async fn acquire(
        context: &Rc<Context>,
        call: &Call,
    ) -> Result<ClaimOutcome, ErrorResponse> {
        let key = idempotency_key(call)?;
        let held = Self {
            context: context.clone(),
            organisation: call.organisation.to_string(),
            key: key.clone(),
            request: call.request.to_string(),
        };
        let claim = Claim {
            organisation: held.organisation.clone(),
            key,
            fingerprint: fingerprint(call).to_vec(),
            router: context.identity.instance.to_string(),
            incarnation: context.identity.incarnation.0,
            request: held.request.clone(),
            at_ms: unix_ms(),
        };
        let outcome = context
            .command_log
            .propose(proposal::new_command(CommandBody::Claim(claim)))
            .await;
        let Ok(applied) = outcome else {
            // The claim may still be committed later, and only this router can release it.
            held.release();
            return Err(claim_unconfirmed(context));
        };
        held.into_outcome(applied)
    }

    /// Records the response, or an unknown outcome for `None`.
    ///
    /// Returns once the record is durable or `commit_timeout` has passed.
    pub async fn settle(self, response: Option<&BufferedResponse>) {
        let max_bytes = self.context.settings.max_recorded.0;
        let settle = Settle {
            organisation: self.organisation.clone(),
            key: self.key.clone(),
            router: self.context.identity.instance.to_string(),
            incarnation: self.context.identity.incarnation.0,
            known: response.is_some(),
            status: response.map_or(0, |r| r.status.as_u16().into()),
            content_type: response.map_or_else(String::new, BufferedResponse::content_type),
            body: response
                .filter(|r| r.body.len() <= max_bytes)
                .map_or_else(Vec::new, |r| r.body.to_vec()),
            body_dropped: response.is_some_and(|r| r.body.len() > max_bytes),
        };
        proposal::commit_with_timeout(&self.context, CommandBody::Settle(settle)).await;
    }

    /// Releases the claim; only allowed while no byte of the request was sent.
    pub fn release(self) {
        let release = ReleaseClaim {
            organisation: self.organisation,
            key: self.key,
            router: self.context.identity.instance.to_string(),
            incarnation: self.context.identity.incarnation.0,
            request: self.request,
        };
        let body = CommandBody::ReleaseClaim(release);
        drop(proposal::commit_in_background(&self.context, body));
    }

    fn into_outcome(self, applied: Applied) -> Result<ClaimOutcome, ErrorResponse> {
        let state = match applied.result {
            Some(Outcome::Claim(state)) => state,
            other => {
                log::warn!(target: "router", "control returned an unexpected result for a claim: {other:?}");
                self.release();
                return Err(claim_refused());
            }
        };
        if state.kind() == Kind::Granted {
            return Ok(ClaimOutcome::Granted(self));
        }
        claim_outcome(state)
    }
}

/// Converts the state of a claim that was not granted into its outcome for the caller.
fn claim_outcome(state: ClaimState) -> Result<ClaimOutcome, ErrorResponse> {
    let (status, kind, message, remedy, run_status, retry_after) = match state.kind() {
        Kind::Settled => match state.outcome {
            Some(outcome) if outcome.known => return Ok(ClaimOutcome::Recorded(outcome)),
            _ => return Err(unknown_outcome()),
        },
        Kind::Unknown => return Err(unknown_outcome()),
        Kind::Pending => (
            StatusCode::CONFLICT,
            "pending",
            "a request with this key is running",
            "ask again with the same key after the time in retry-after",
            RunStatus::Unknown,
            Some(Duration::from_secs(1)),
        ),
        Kind::Mismatch => (
            StatusCode::UNPROCESSABLE_ENTITY,
            "key-mismatch",
            "this key was used for another request",
            "use a new key for a new request",
            RunStatus::NotRun,
            None,
        ),
        Kind::Expired => (
            StatusCode::CONFLICT,
            "key-expired",
            "this key is older than the claims that are remembered",
            "find out from the service whether it ran, then use a new key",
            RunStatus::Unknown,
            None,
        ),
        Kind::Full => (
            StatusCode::TOO_MANY_REQUESTS,
            "claims-full",
            "the claims of this organisation are at their bound",
            "ask again with the same key later",
            RunStatus::NotRun,
            Some(Duration::from_mins(1)),
        ),
        Kind::Granted | Kind::Unspecified => return Err(claim_refused()),
    };
    let error = ErrorResponse::new(status, kind, message, remedy).with_run_status(run_status);
    Err(match retry_after {
        Some(delay) => error.with_retry_after(delay),
        None => error,
    })
}

/// Creates a response from the recorded response of an earlier run.
pub fn recorded_response(request: &RequestId, settle: Settle) -> Response<Body> {
    let status = u16::try_from(settle.status).ok();
    let status = status.and_then(|s| StatusCode::from_u16(s).ok());
    let mut response = Response::new(Body::full(settle.body));
    *response.status_mut() = status.unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    set_header(headers, header::CONTENT_TYPE.as_str(), &settle.content_type);
    set_header(headers, RECORDED_HEADER, "true");
    if settle.body_dropped {
        set_header(headers, "x-body-dropped", "true");
    }
    set_run_headers(headers, request, RunStatus::Ran);
    response
}

/// Error for a request that may have run and won't run again.
pub fn unknown_outcome() -> ErrorResponse {
    ErrorResponse::new(
        StatusCode::CONFLICT,
        "outcome-unknown",
        "nobody can say whether this request ran",
        "find out from the service; this key never runs again",
    )
    .with_run_status(RunStatus::Unknown)
}

fn idempotency_key(call: &Call) -> Result<String, ErrorResponse> {
    let Some(value) = call.head.headers.get(KEY_HEADER) else {
        return Err(ErrorResponse::new(
            StatusCode::PRECONDITION_REQUIRED,
            "key-missing",
            "this request may not be repeated and has no key",
            "send it with an idempotency-key header, the same one in every resend",
        ));
    };
    let text = value.to_str().unwrap_or_default();
    if text.is_empty() || text.len() > MAX_KEY_BYTES {
        return Err(ErrorResponse::new(
            StatusCode::BAD_REQUEST,
            "malformed",
            "the idempotency-key is malformed",
            "use 1 to 255 printable ASCII characters",
        ));
    }
    Ok(text.to_owned())
}

/// SHA-256 of method, path with query, and body.
fn fingerprint(call: &Call) -> [u8; 32] {
    let mut hash = Sha256::new();
    hash.update(call.head.method.as_str());
    hash.update([0]);
    hash.update(call.head.uri.path_and_query().map_or("", |p| p.as_str()));
    hash.update([0]);
    hash.update(&call.body);
    hash.finalize().into()
}

fn claim_unconfirmed(context: &Context) -> ErrorResponse {
    ErrorResponse::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "no-control",
        "the claim of this request was not confirmed",
        "send it again with the same key after the time in retry-after",
    )
    // This request did not run, but an earlier one with the same key may have.
    .with_run_status(RunStatus::Unknown)
    .with_retry_after(context.settings.retry_after)
}

fn claim_refused() -> ErrorResponse {
    ErrorResponse::new(
        StatusCode::INTERNAL_SERVER_ERROR,
        "claim-refused",
        "the claim of this request was refused",
        "tell the operators",
    )
}
