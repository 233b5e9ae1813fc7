//! Programs that measure a running fleet.

mod connection;
mod load;
mod table;

pub use self::connection::{Connection, Timing};
pub use self::load::{Load, Target};
pub use self::table::Table;
