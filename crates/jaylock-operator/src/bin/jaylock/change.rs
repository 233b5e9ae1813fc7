use jaylock_rpc::v1;
use jaylock_rpc::v1::applied::Result as AppliedResult;
use jaylock_rpc::v1::command::Body;

use crate::error::{Error, Result};
use crate::output::{Cell, Output, Record};
use crate::session::Session;

/// A change computed from a configuration.
pub struct Edit {
    /// The change.
    pub body: Body,
    /// Why the change can't be made on this configuration.
    pub refusal: Option<String>,
}

/// The error for a resource that does not exist.
pub fn not_found(kind: &str, id: &str) -> Error {
    Error::Refused(format!(
        "there is no {kind} {id}: see \"jaylock {kind} list\""
    ))
}

/// Makes a change that does not depend on the current configuration.
pub async fn apply(session: &Session, body: Body) -> Result<Output> {
    let id = base_id(session);
    match propose(session, &id, session.expected_revision, body).await? {
        ProposeOutcome::Done(applied) => Ok(success_output(&applied, &[])),
        ProposeOutcome::Conflict(revision) => Err(Error::Conflict { revision }),
    }
}

/// Reads the configuration, computes a change and makes the change only on that revision.
///
/// When another change comes first, the change is computed again, unless the operator gave a
/// revision. `extra` is added to the output on success.
pub async fn edit(
    session: &Session,
    compute: impl Fn(&v1::Configuration) -> Result<Edit>,
    extra: &[(&'static str, Cell)],
) -> Result<Output> {
    edit_at(session, compute, extra, Some).await
}

/// Like [`edit`], for a change that itself holds what it is based on, so that it needs no revision.
pub async fn edit_entry(
    session: &Session,
    compute: impl Fn(&v1::Configuration) -> Result<Edit>,
    extra: &[(&'static str, Cell)],
) -> Result<Output> {
    edit_at(session, compute, extra, |_| None).await
}

/// Makes a change like [`edit`]; `expected` returns the revision that it needs, given that of the configuration.
async fn edit_at(
    session: &Session,
    compute: impl Fn(&v1::Configuration) -> Result<Edit>,
    extra: &[(&'static str, Cell)],
    expected: impl Fn(u64) -> Option<u64>,
) -> Result<Output> {
    let base = base_id(session);
    let mut last_conflict = 0;
    for attempt in 0..MAX_ATTEMPTS {
        let configuration = session.configuration().await?;
        let Edit { body, refusal } = compute(&configuration)?;
        if refusal.is_some() && session.command_id.is_none() {
            return Err(Error::Refused(refusal.unwrap_or_default()));
        }
        // A retry may be refused because the first attempt succeeded. Only the stored reply to the
        // first attempt distinguishes that case from a conflict.
        let expected_revision = match refusal {
            Some(_) => Some(UNREACHABLE_REVISION),
            None => session
                .expected_revision
                .or_else(|| expected(configuration.revision)),
        };
        let id = attempt_id(&base, attempt);
        match propose(session, &id, expected_revision, body).await? {
            ProposeOutcome::Done(applied) => return Ok(success_output(&applied, extra)),
            ProposeOutcome::Conflict(revision) if session.expected_revision.is_some() => {
                return Err(Error::Conflict { revision });
            }
            ProposeOutcome::Conflict(revision) => last_conflict = revision,
        }
        if let (Some(refusal), true) = (refusal, attempt + 1 == MAX_ATTEMPTS) {
            return Err(Error::Refused(refusal));
        }
    }
    Err(Error::Conflict {
        revision: last_conflict,
    })
}

enum ProposeOutcome {
    Done(v1::Applied),
    Conflict(u64),
}

async fn propose(
    session: &Session,
    id: &str,
    expected: Option<u64>,
    body: Body,
) -> Result<ProposeOutcome> {
    let command = v1::Command {
        id: id.to_owned(),
        expected_revision: expected,
        body: Some(body),
    };
    let request = v1::ProposeRequest {
        command: Some(command),
    };
    let call = session.call(async |mut client| client.change(request.clone()).await);
    let reply = call
        .await
        .map_err(|error| with_retry_options(session, id, error))?;
    let applied = reply.applied.unwrap_or_default();
    match applied.result {
        Some(AppliedResult::Conflict(revision)) => Ok(ProposeOutcome::Conflict(revision)),
        Some(AppliedResult::Refused(reason)) => Err(Error::Refused(reason)),
        _ => Ok(ProposeOutcome::Done(applied)),
    }
}

/// Converts a missing reply to an unknown outcome, since the change may have been made.
fn with_retry_options(session: &Session, id: &str, error: Error) -> Error {
    match error {
        Error::NotReached { reason } => {
            let base = session.command_id.as_deref().unwrap_or(id);
            let base = base.split('~').next().unwrap_or(base);
            let options = format!("--command-id {base}");
            Error::Unknown { reason, options }
        }
        other => other,
    }
}

fn success_output(applied: &v1::Applied, extra: &[(&'static str, Cell)]) -> Output {
    let mut record = Record::new().with("revision", applied.revision);
    for (name, cell) in extra {
        record = record.with(name, cell.clone());
    }
    Output::Record(record)
}

fn base_id(session: &Session) -> String {
    let random = || uuid::Uuid::new_v4().simple().to_string();
    session.command_id.clone().unwrap_or_else(random)
}

/// The id of an attempt; a repeated command uses the same ids in the same order.
fn attempt_id(base: &str, attempt: u32) -> String {
    match attempt {
        0 => base.to_owned(),
        _ => format!("{base}~{attempt}"),
    }
}

/// Attempts before the tool gives up when other changes keep coming first.
const MAX_ATTEMPTS: u32 = 5;

/// A revision that is never reached: only a retry gets a reply other than a conflict for it.
const UNREACHABLE_REVISION: u64 = u64::MAX;
