use std::io;
use std::time::Duration;

use thiserror::Error;

/// What keeps the replicated log or its clients from working.
#[derive(Debug, Error)]
pub enum Error {
    /// The disk refused an operation.
    #[error(
        "{file} can't be read or written: {source}; free space or replace the disk, then start the instance again"
    )]
    Disk {
        /// File that was used.
        file: String,
        /// What the operating system said.
        source: io::Error,
    },
    /// A synced record is damaged.
    #[error(
        "{file} is corrupt at byte {offset}: move the data folder away and start the instance again, it then returns as a new replica"
    )]
    Corrupt {
        /// File that is damaged.
        file: String,
        /// Where the first damaged record begins.
        offset: usize,
    },
    /// There is no replica on the disk.
    #[error("{file} holds no replica: name the data folder of an instance that took part")]
    Empty {
        /// File that is missing or empty.
        file: String,
    },
    /// Another process uses the data folder.
    #[error("{file} is locked: stop the other process that uses this data folder")]
    Locked {
        /// Lock file.
        file: String,
    },
    /// No leader answered in time.
    #[error(
        "no leader answered within {waited:?} ({reason}): check that a majority of the control replicas runs"
    )]
    NoLeader {
        /// How long it was tried.
        waited: Duration,
        /// Last failure.
        reason: String,
    },
    /// The leader refused the request.
    #[error("the leader refused: {0}")]
    Refused(String),
}

/// Outcome of an operation of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;
