//! Settings of an instance, read from an INI file and validated key by key.

mod check;
mod control;
mod document;
mod error;
mod instance;
mod key;
mod limits;
mod log_levels;
mod objectives;
mod security;
mod settings;
mod timeouts;
mod value;

pub use self::control::{ControlSettings, ReplicaAddress};
pub use self::error::{Error, ErrorKind, Result};
pub use self::instance::InstanceSettings;
pub use self::limits::LimitSettings;
pub use self::log_levels::LogSettings;
pub use self::objectives::{ObjectiveSettings, Percentage};
pub use self::security::SecuritySettings;
pub use self::settings::Settings;
pub use self::timeouts::{AddressSettings, TimeoutSettings};
