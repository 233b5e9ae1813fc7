//! Logs, metrics and the report on service-level burn.

mod observer;
mod record;

pub use self::observer::Observer;
pub use self::record::{RequestKind, RequestRecord, Run};
