use jaylock_control::is_operator_change;
use jaylock_rpc::v1;
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
    #[error("the command has no body: set one of put_organisation to put_document")]
    NoBody,
    /// The id of the command has an invalid length.
    #[error(
        "the command's id must have 1 to 64 bytes: choose a random one and keep it for resends"
    )]
    InvalidId,
    /// Only the fleet itself may send the command.
    #[error(
        "only the fleet itself may send this command: use one that changes organisations, models, adapters, services, routes, documents or drains"
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
        Some(body) if is_operator_change(body) => Ok(command),
        Some(_) => Err(Error::NotPermitted),
    }
}

/// Maximum length of a command id.
const MAX_ID_BYTES: usize = 64;
