//! Records that a replica stores on its disk.

mod disk;
mod files;
mod frame;
mod records;
mod store;

pub use self::disk::{Disk, FileName};
pub use self::files::FileDisk;
pub(crate) use self::records::{
    ClaimOutcome, ClaimRecord, EntryBatch, HardState, Snapshot, StoredResult,
};
pub(crate) use self::store::{DiskContents, Store};
