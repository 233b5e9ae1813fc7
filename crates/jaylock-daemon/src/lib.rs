//! The daemon: one instance of the fleet, assembled from its parts.

mod api;
/// The command line that every program with an instance has.
pub mod arguments;
mod common;
mod exposition;
mod handover;
mod instance;
mod observing;
mod parts;
mod peer;
mod ports;
mod reload;
mod rescue;
mod stop;

pub use self::api::{AddressList, ApiError, ControlApi, Inventory};
pub use self::arguments::settings_path;
pub use self::instance::{Instance, Opened, Serving};
pub use self::observing::log_settings;
pub use self::peer::PeerEndpoint;
pub use self::rescue::rescue;
