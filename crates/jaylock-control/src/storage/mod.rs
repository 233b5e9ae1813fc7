//! What a replica keeps on its disk.

mod disk;
mod files;
mod frame;
mod records;
mod store;

pub use self::disk::{Disk, FileName};
pub use self::files::FileDisk;
pub(crate) use self::records::{Answer, Ballot, Batch, ClaimRecord, Image, Outcome};
pub(crate) use self::store::{Contents, Store};
