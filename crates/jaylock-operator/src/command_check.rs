use jaylock_control::is_operator_change;
use jaylock_rpc::v1;
use jaylock_rpc::v1::command::Body;
use thiserror::Error;

/// Result of checking a command.
pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a command is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(crate) enum Error {
    /// The request has no command.
    #[error("the request holds no command: set the field command")]
    NoCommand,
    /// The command has no body.
    #[error("the command has no body: set one of put_organisation to set_evacuation")]
    NoBody,
    /// The id of the command has an invalid length.
    #[error(
        "the command's id must have 1 to 64 bytes: choose a random one and keep it for resends"
    )]
    InvalidId,
    /// A document without organisations does not say whether callers need a key.
    #[error(
        "the document names no organisations and does not say whether callers need a key: set key_required"
    )]
    AmbiguousKeys,
    /// Only the fleet itself may send the command.
    #[error(
        "only the fleet itself may send this command: use one that changes organisations, models, adapters, services, routes, documents, drains or evacuations"
    )]
    NotPermitted,
}

/// Returns the command if operators may send it.
pub(crate) fn check_command(command: Option<v1::Command>) -> Result<v1::Command> {
    let command = command.ok_or(Error::NoCommand)?;
    if command.id.is_empty() || command.id.len() > MAX_ID_BYTES {
        return Err(Error::InvalidId);
    }
    match &command.body {
        None => Err(Error::NoBody),
        Some(Body::PutDocument(document)) if is_ambiguous(document) => Err(Error::AmbiguousKeys),
        Some(Body::SetEvacuation(_)) => Ok(command),
        Some(body) if is_operator_change(body) => Ok(command),
        Some(_) => Err(Error::NotPermitted),
    }
}

/// Whether "no key is needed" and "no key is valid" can't be told apart in a document.
fn is_ambiguous(document: &v1::Document) -> bool {
    document.organisations.is_empty() && document.key_required.is_none()
}

/// Maximum length of a command id.
const MAX_ID_BYTES: usize = 64;
