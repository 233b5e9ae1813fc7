use std::fmt::{self, Display, Formatter};
use std::io;

use futures_util::future::LocalBoxFuture;

/// A file in the data folder of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FileName {
    /// Generation, term and vote.
    Vote,
    /// Entries after the snapshot.
    Log,
    /// State after the last entry that the snapshot covers.
    Snapshot,
}

impl FileName {
    /// All files.
    pub const ALL: [Self; 3] = [Self::Vote, Self::Log, Self::Snapshot];
}

impl Display for FileName {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Vote => "vote",
            Self::Log => "log",
            Self::Snapshot => "snapshot",
        })
    }
}

/// Access to the disk of a replica.
///
/// An operation that returns without an error is durable. After an error the replica halts until
/// the disk is writable again.
pub trait Disk: 'static {
    /// Reads a whole file; `None` when there is none.
    fn read(&self, file: FileName) -> LocalBoxFuture<'_, io::Result<Option<Vec<u8>>>>;

    /// Reads up to `max_bytes` of a file from an offset on; nothing at its end and when there is none.
    fn read_at(
        &self,
        file: FileName,
        offset: u64,
        max_bytes: usize,
    ) -> LocalBoxFuture<'_, io::Result<Vec<u8>>>;

    /// Removes the bytes of a file from an offset on and syncs it.
    fn truncate(&self, file: FileName, length: u64) -> LocalBoxFuture<'_, io::Result<()>>;

    /// Appends bytes to a file, which is created if missing, and syncs them.
    fn append(&self, file: FileName, bytes: Vec<u8>) -> LocalBoxFuture<'_, io::Result<()>>;

    /// Atomically replaces the content of a file and syncs it.
    fn replace(&self, file: FileName, bytes: Vec<u8>) -> LocalBoxFuture<'_, io::Result<()>>;

    /// Returns the path of a file for error messages.
    fn file_path(&self, file: FileName) -> String;
}
