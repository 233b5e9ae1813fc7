//! Programs that measure a running fleet.

mod arguments;
mod connection;
mod followers;
mod load;
mod process;
mod steady;
mod table;

pub use self::arguments::option;
pub use self::connection::{Connection, Timing, fetch};
pub use self::followers::Followers;
pub use self::load::{Load, Target, Times};
pub use self::process::Usage;
pub use self::steady::{Ended, Steady};
pub use self::table::Table;
