//! What a replica keeps on its disk.

mod disk;
mod files;
mod frame;
mod records;
mod store;

pub use self::disk::{Disk, FileName};
pub use self::files::FileDisk;
pub(crate) use self::records::{Answer, ClaimRecord, EntryBatch, HardState, Outcome, Snapshot};
pub(crate) use self::store::{DiskContents, Store};
