//! Logs, metrics and the report on service-level burn.

mod burn;
mod clock;
mod lines;
mod logging;
mod metrics;
mod minutes;
mod objective;
mod observer;
mod page;
mod plot;
mod record;
mod table;
mod tally;
mod trace;
mod usage;
mod window;

pub use self::burn::{Alert, BurnLine, BurnReport, Moment};
pub use self::clock::{Minute, WallClock};
pub use self::lines::LogWriter;
pub use self::logging::{LOG_TARGETS, LogSettings, setup_log};
pub use self::objective::{Judgement, Objective, ObjectiveKind, Objectives};
pub use self::observer::{Observer, ObserverSettings};
pub use self::record::{RequestKind, RequestRecord, RunStatus};
pub use self::tally::Tally;
pub use self::usage::{cpu_seconds, resident_bytes};
pub use self::window::Window;
