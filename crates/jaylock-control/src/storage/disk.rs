use std::fmt::{self, Display, Formatter};
use std::io;

use futures_util::future::LocalBoxFuture;

/// A file of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FileName {
    /// Generation, term and vote.
    Vote,
    /// Entries after the snapshot.
    Log,
    /// State up to an entry.
    Snapshot,
}

impl FileName {
    /// Every file.
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

/// Port to the disk of a replica.
///
/// Each operation has reached the medium when it returns without an error. After an error the
/// replica uses the disk no more.
pub trait Disk: 'static {
    /// Reads a whole file; `None` when there is none.
    fn read(&self, file: FileName) -> LocalBoxFuture<'_, io::Result<Option<Vec<u8>>>>;

    /// Adds bytes at the end of a file, which is created when missing, and syncs them.
    fn append(&self, file: FileName, bytes: Vec<u8>) -> LocalBoxFuture<'_, io::Result<()>>;

    /// Replaces a file by other content, at once and whole, and syncs it.
    fn replace(&self, file: FileName, bytes: Vec<u8>) -> LocalBoxFuture<'_, io::Result<()>>;

    /// Names a file for error messages.
    fn describe(&self, file: FileName) -> String;
}
