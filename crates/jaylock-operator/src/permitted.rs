use jaylock_control::is_operator_change;
use jaylock_rpc::v1;
use thiserror::Error;

/// What checking a command gives.
pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

/// A command that operators may not send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(crate) enum Error {
    /// There is no command in the request.
    #[error("the request holds no command: set the field command")]
    NoCommand,
    /// The command has no body.
    #[error("the command has no body: set one of put_organisation to put_document")]
    NoBody,
    /// The command's id has a wrong length.
    #[error(
        "the command's id must have 1 to 64 bytes: choose a random one and keep it for resends"
    )]
    BadId,
    /// The command belongs to the fleet itself.
    #[error(
        "only the fleet itself may send this command: use one that changes organisations, models, adapters, services, routes, documents or drains"
    )]
    NotForOperators,
}

/// Gives the command back if operators may send it.
pub(crate) fn permitted(command: Option<v1::Command>) -> Result<v1::Command> {
    let command = command.ok_or(Error::NoCommand)?;
    if command.id.is_empty() || command.id.len() > LONGEST_ID {
        return Err(Error::BadId);
    }
    match &command.body {
        None => Err(Error::NoBody),
        Some(body) if is_operator_change(body) => Ok(command),
        Some(_) => Err(Error::NotForOperators),
    }
}

/// Longest id of a command, in bytes.
const LONGEST_ID: usize = 64;
