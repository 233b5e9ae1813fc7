//! Logs, metrics, request traces and the report on error budgets.

mod burn;
mod clock;
mod hedge_event;
mod html;
mod log_writer;
mod logging;
mod memory_use;
mod metrics;
mod minutes;
mod objective;
mod observer;
mod process;
mod record;
mod relay_event;
mod svg;
mod table;
mod tally;
mod trace;
mod window;

pub use self::burn::{Alert, BurnLine, BurnReport, Peak};
pub use self::clock::{Minute, WallClock};
pub use self::hedge_event::HedgeEvent;
pub use self::log_writer::LogWriter;
pub use self::logging::{LOG_TARGETS, LogSettings, setup_log};
pub use self::memory_use::MemoryUse;
pub use self::objective::{Objective, ObjectiveKind, ObjectiveResult, Objectives};
pub use self::observer::{Observer, ObserverSettings};
pub use self::process::{cpu_seconds, resident_bytes};
pub use self::record::{RequestKind, RequestRecord, RunStatus};
pub use self::relay_event::RelayEvent;
pub use self::tally::Tally;
pub use self::window::Window;
