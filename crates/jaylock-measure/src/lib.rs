//! Load generation and measurement for the `measure-*` programs.

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
pub use self::load::{Latencies, Load, Target};
pub use self::process::Usage;
pub use self::steady::{LoadResult, SteadyLoad};
pub use self::table::Table;
