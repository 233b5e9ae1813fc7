use jaylock_rpc::v1;
use jaylock_rpc::v1::applied::Result as Outcome;
use jaylock_rpc::v1::command::Body;

use crate::failure::{Failure, Result};
use crate::output::{Cell, Output, Record};
use crate::session::Session;

/// A change worked out from the configuration that was read.
pub struct Edit {
    /// The change.
    pub body: Body,
    /// Why it can't be made on the configuration that was read.
    pub objection: Option<String>,
}

/// The failure of an update of something that is not there.
pub fn absent(kind: &str, id: &str) -> Failure {
    Failure::Refused(format!(
        "there is no {kind} {id}: see \"jaylock {kind} list\""
    ))
}

/// Makes a change that does not depend on the configuration that was read.
pub async fn apply(session: &Session, body: Body) -> Result<Output> {
    let id = base_id(session);
    match propose(session, &id, session.expect, body).await? {
        Verdict::Done(applied) => Ok(accepted(&applied, &[])),
        Verdict::Conflict(revision) => Err(Failure::Conflict { revision }),
    }
}

/// Reads the configuration, works out a change, and makes it on just that configuration.
///
/// When another change comes first, it is worked out again, unless the operator named a revision.
/// `more` is printed on success.
pub async fn edit(
    session: &Session,
    plan: impl Fn(&v1::Configuration) -> Result<Edit>,
    more: &[(&'static str, Cell)],
) -> Result<Output> {
    let base = base_id(session);
    let mut last = 0;
    for attempt in 0..MOST_ATTEMPTS {
        let config = session.configuration().await?;
        let Edit { body, objection } = plan(&config)?;
        if objection.is_some() && session.command_id.is_none() {
            return Err(Failure::Refused(objection.unwrap_or_default()));
        }
        // A resend finds its own work done: only the first answer can tell that from a clash.
        let expected = match objection {
            Some(_) => NEVER,
            None => session.expect.unwrap_or(config.revision),
        };
        let id = attempt_id(&base, attempt);
        match propose(session, &id, Some(expected), body).await? {
            Verdict::Done(applied) => return Ok(accepted(&applied, more)),
            Verdict::Conflict(revision) if session.expect.is_some() => {
                return Err(Failure::Conflict { revision });
            }
            Verdict::Conflict(revision) => last = revision,
        }
        if let (Some(objection), true) = (objection, attempt + 1 == MOST_ATTEMPTS) {
            return Err(Failure::Refused(objection));
        }
    }
    Err(Failure::Conflict { revision: last })
}

enum Verdict {
    Done(v1::Applied),
    Conflict(u64),
}

async fn propose(
    session: &Session,
    id: &str,
    expected: Option<u64>,
    body: Body,
) -> Result<Verdict> {
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
        .map_err(|failure| unknown(session, id, failure))?;
    let applied = reply.applied.unwrap_or_default();
    match applied.result {
        Some(Outcome::Conflict(revision)) => Ok(Verdict::Conflict(revision)),
        Some(Outcome::Refused(reason)) => Err(Failure::Refused(reason)),
        _ => Ok(Verdict::Done(applied)),
    }
}

/// A change that got no answer may have been made.
fn unknown(session: &Session, id: &str, failure: Failure) -> Failure {
    match failure {
        Failure::NotReached { reason } => {
            let base = session.command_id.as_deref().unwrap_or(id);
            let base = base.split('~').next().unwrap_or(base);
            let advice = format!("--command-id {base}");
            Failure::Unknown { reason, advice }
        }
        other => other,
    }
}

fn accepted(applied: &v1::Applied, more: &[(&'static str, Cell)]) -> Output {
    let mut record = Record::new().with("revision", applied.revision);
    for (name, cell) in more {
        record = record.with(name, cell.clone());
    }
    Output::Record(record)
}

fn base_id(session: &Session) -> String {
    let random = || uuid::Uuid::new_v4().simple().to_string();
    session.command_id.clone().unwrap_or_else(random)
}

/// The id of an attempt: a repeated command goes through the same ids as the first one.
fn attempt_id(base: &str, attempt: u32) -> String {
    match attempt {
        0 => base.to_owned(),
        _ => format!("{base}~{attempt}"),
    }
}

/// Changes that may come first before the tool gives up.
const MOST_ATTEMPTS: u32 = 5;

/// A revision that never comes: under it only a resend has an answer other than a conflict.
const NEVER: u64 = u64::MAX;
