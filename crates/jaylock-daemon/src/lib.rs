//! The daemon: one instance of the fleet, assembled from its components.

mod api;
/// Command line shared by all programs that run an instance.
pub mod arguments;
mod backend_reports;
mod components;
mod context;
mod evacuations;
mod exposition;
mod instance;
mod key_requirement;
mod left_out;
mod minute_replicator;
mod observability;
mod occupied;
mod pause_monitor;
mod peer;
mod ports;
mod reload;
mod rescue;
mod shutdown;
mod signals;

pub use self::api::{AddressList, ApiError, ControlApi, Inventory, MAX_DOCUMENT};
pub use self::arguments::settings_path;
pub use self::instance::{Instance, Opened, Prepared, Serving};
pub use self::observability::log_settings;
pub use self::occupied::Binding;
pub use self::peer::PeerEndpoint;
pub use self::rescue::rescue;
pub use self::signals::{KeptSignals, Signals};
