use std::io;
use std::time::Duration;

use thiserror::Error;

/// An error of the replicated log or its clients.
#[derive(Debug, Error)]
pub enum Error {
    /// A disk operation failed.
    #[error(
        "{file} can't be read or written: {source}; free space or replace the disk: the instance tries it again by itself"
    )]
    Disk {
        /// Path of the file.
        file: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A synced record is damaged.
    #[error(
        "{file} is corrupt at byte {offset}: move the data folder away and restart the instance, which then joins as a new replica"
    )]
    Corrupt {
        /// Path of the damaged file.
        file: String,
        /// Offset of the first damaged record, in bytes.
        offset: usize,
    },
    /// The disk has no replica data.
    #[error("{file} has no replica data: name the data folder of an instance that ran a replica")]
    Empty {
        /// Path of the missing or empty file.
        file: String,
    },
    /// Another process uses the data folder.
    #[error("{file} is locked: stop the other process that uses this data folder")]
    Locked {
        /// Path of the lock file.
        file: String,
    },
    /// No leader replied in time.
    #[error(
        "no leader answered within {waited:?} ({reason}): check that a majority of the control replicas runs"
    )]
    NoLeader {
        /// Total time of all attempts.
        waited: Duration,
        /// Error of the last attempt.
        reason: String,
    },
    /// The leader refused the request.
    #[error("the leader refused: {0}")]
    Refused(String),
}

/// Result of an operation of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;
