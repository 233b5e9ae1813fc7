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
use crate::response::{ErrorResponse, RECORDED, set_header, set_run_headers};

/// Header that names a request that may not be repeated.
pub const KEY: &str = "idempotency-key";
/// Longest key, in bytes.
const KEY_LIMIT: usize = 255;

/// The right to run a request once; it must be settled or released.
pub struct HeldClaim {
    context: Rc<Context>,
    organisation: String,
    key: String,
    request: String,
}

/// What a claim led to.
pub enum Claimed {
    /// The request may run now.
    Held(HeldClaim),
    /// It ran before; the recorded answer.
    Recorded(Settle),
}

impl HeldClaim {
    /// Commits a claim before the first byte of a request leaves.
    pub async fn take(context: &Rc<Context>, call: &Call) -> Result<Claimed, ErrorResponse> {
        let key = key(call)?;
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
            .propose(proposal::command(CommandBody::Claim(claim)))
            .await;
        let Ok(applied) = outcome else {
            // The claim may be committed later, and nobody else could give it back.
            held.release();
            return Err(no_control(context));
        };
        held.judge(applied)
    }

    /// Records the outcome; resolves once it is durable or `settle_timeout` has passed.
    pub async fn settle(self, record: Option<&BufferedResponse>) {
        let bound = self.context.settings.max_recorded.0;
        let settle = Settle {
            organisation: self.organisation.clone(),
            key: self.key.clone(),
            router: self.context.identity.instance.to_string(),
            incarnation: self.context.identity.incarnation.0,
            known: record.is_some(),
            status: record.map_or(0, |r| r.status.as_u16().into()),
            content_type: record.map_or_else(String::new, BufferedResponse::content_type),
            body: record
                .filter(|r| r.body.len() <= bound)
                .map_or_else(Vec::new, |r| r.body.to_vec()),
            body_dropped: record.is_some_and(|r| r.body.len() > bound),
        };
        proposal::commit_soon(&self.context, CommandBody::Settle(settle)).await;
    }

    /// Gives the claim back; only while no byte has left.
    pub fn release(self) {
        let release = ReleaseClaim {
            organisation: self.organisation,
            key: self.key,
            router: self.context.identity.instance.to_string(),
            incarnation: self.context.identity.incarnation.0,
            request: self.request,
        };
        let body = CommandBody::ReleaseClaim(release);
        drop(proposal::commit(&self.context, body));
    }

    fn judge(self, applied: Applied) -> Result<Claimed, ErrorResponse> {
        let state = match applied.result {
            Some(Outcome::Claim(state)) => state,
            other => {
                log::warn!(target: "router", "control answered a claim with {other:?}");
                self.release();
                return Err(refused_claim());
            }
        };
        if state.kind() == Kind::Granted {
            return Ok(Claimed::Held(self));
        }
        judge_claim(state)
    }
}

/// What a claim that was not granted means for its caller.
fn judge_claim(state: ClaimState) -> Result<Claimed, ErrorResponse> {
    let (status, kind, message, remedy, run, wait) = match state.kind() {
        Kind::Settled => match state.outcome {
            Some(outcome) if outcome.known => return Ok(Claimed::Recorded(outcome)),
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
        Kind::Granted | Kind::Unspecified => return Err(refused_claim()),
    };
    let refusal = ErrorResponse::not_run(status, kind, message, remedy).with_run(run);
    Err(match wait {
        Some(wait) => refusal.with_retry_after(wait),
        None => refusal,
    })
}

/// The recorded answer of an earlier run.
pub fn recorded(request: &RequestId, settle: Settle) -> Response<Body> {
    let status = u16::try_from(settle.status).ok();
    let status = status.and_then(|s| StatusCode::from_u16(s).ok());
    let mut response = Response::new(Body::full(settle.body));
    *response.status_mut() = status.unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    set_header(headers, header::CONTENT_TYPE.as_str(), &settle.content_type);
    set_header(headers, RECORDED, "true");
    if settle.body_dropped {
        set_header(headers, "x-body-dropped", "true");
    }
    set_run_headers(headers, request, RunStatus::Ran);
    response
}

/// The refusal of a request that may have run, and will not run again.
pub fn unknown_outcome() -> ErrorResponse {
    ErrorResponse::not_run(
        StatusCode::CONFLICT,
        "outcome-unknown",
        "nobody can say whether this request ran",
        "find out from the service; this key never runs again",
    )
    .with_run(RunStatus::Unknown)
}

fn key(call: &Call) -> Result<String, ErrorResponse> {
    let Some(value) = call.head.headers.get(KEY) else {
        return Err(ErrorResponse::not_run(
            StatusCode::PRECONDITION_REQUIRED,
            "key-missing",
            "this request may not be repeated and has no key",
            "send it with an idempotency-key header, the same one in every resend",
        ));
    };
    let text = value.to_str().unwrap_or_default();
    if text.is_empty() || text.len() > KEY_LIMIT {
        return Err(ErrorResponse::not_run(
            StatusCode::BAD_REQUEST,
            "malformed",
            "the idempotency-key is malformed",
            "use 1 to 255 printable ASCII characters",
        ));
    }
    Ok(text.to_owned())
}

/// SHA-256 of method, path and body.
fn fingerprint(call: &Call) -> [u8; 32] {
    let mut hash = Sha256::new();
    hash.update(call.head.method.as_str());
    hash.update([0]);
    hash.update(call.head.uri.path_and_query().map_or("", |p| p.as_str()));
    hash.update([0]);
    hash.update(&call.body);
    hash.finalize().into()
}

fn no_control(context: &Context) -> ErrorResponse {
    ErrorResponse::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "no-control",
        "the claim of this request was not confirmed",
        "send it again with the same key after the time in retry-after",
    )
    // This sending did not run, but nobody could say whether an earlier one did.
    .with_run(RunStatus::Unknown)
    .with_retry_after(context.settings.retry_after)
}

fn refused_claim() -> ErrorResponse {
    ErrorResponse::not_run(
        StatusCode::INTERNAL_SERVER_ERROR,
        "claim-refused",
        "the claim of this request was refused",
        "tell the operators",
    )
}
