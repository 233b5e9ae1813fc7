//! Records that a replica stores on its disk.

mod disk;
mod entry;
mod files;
mod frame;
mod records;
mod store;

pub use self::disk::{Disk, FileName};
pub(crate) use self::entry::EncodedEntry;
pub use self::files::FileDisk;
pub(crate) use self::records::{
    ClaimOutcome, ClaimRecord, EntryBatch, HardState, Snapshot, StoredResult,
};
pub(crate) use self::store::{DiskContents, FRAME_TARGET_BYTES, Store};
