use std::fmt::{self, Display, Formatter};
use std::io;
use std::sync::{Mutex, PoisonError};
use std::time::{Instant, SystemTime};

use compact_str::CompactString;
use log::kv::{self, Key, Source, Value, VisitSource};
use log::{LevelFilter, SetLoggerError};

use crate::lines::LogWriter;

/// Parts of the program that log under a prefix of their own.
pub const LOG_TARGETS: [&str; 8] = [
    "control", "daemon", "observe", "operator", "orders", "router", "rpc", "share",
];

/// What is logged, for each part of the program.
#[derive(Debug, Clone)]
pub struct LogSettings {
    /// Level of the parts that have none of their own.
    pub level: LevelFilter,
    /// Levels of single parts, by the name that stands in the log.
    pub target_levels: Vec<(CompactString, LevelFilter)>,
    /// Lines a second at most; a quarter is kept for warnings and errors.
    pub lines_per_second: u32,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: LevelFilter::Info,
            target_levels: Vec::new(),
            lines_per_second: 200,
        }
    }
}

/// Sends the log to standard output, one line an event: time, level, part, message, and the
/// inputs and outcomes as `key=value`.
///
/// Libraries log warnings and errors only. Logging never waits: a line that finds no room is counted.
///
/// # Errors
/// The log was set up before.
pub fn setup_log(settings: LogSettings) -> Result<(), SetLoggerError> {
    let mut dispatch = fern::Dispatch::new().level(LevelFilter::Warn);
    for part in LOG_TARGETS {
        dispatch = dispatch.level_for(part, settings.level);
    }
    for (part, level) in settings.target_levels {
        dispatch = dispatch.level_for(part.into_string(), level);
    }
    dispatch
        .format(|out, message, record| {
            let time = humantime::format_rfc3339_millis(SystemTime::now());
            let (level, part) = (record.level(), record.target());
            let pairs = Pairs(record.key_values());
            out.finish(format_args!("{time} {level:5} [{part}] {message}{pairs}"));
        })
        .chain(bounded(settings.lines_per_second))
        .apply()
}

/// Standard output, without waiting for its reader and with so many lines a second at most.
fn bounded(lines: u32) -> fern::Output {
    let writer = Mutex::new(LogWriter::new(io::stdout(), lines));
    fern::Output::call(move |record| {
        let line = record.args().to_string();
        let mut writer = writer.lock().unwrap_or_else(PoisonError::into_inner);
        writer.write(record.level(), &line, Instant::now());
    })
}

/// The key-values of an event, each after a space.
struct Pairs<'a>(&'a dyn Source);

impl Display for Pairs<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        self.0.visit(&mut Writing(f)).map_err(|_| fmt::Error)
    }
}

struct Writing<'a, 'b>(&'a mut Formatter<'b>);

impl<'kvs> VisitSource<'kvs> for Writing<'_, '_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        write!(self.0, " {key}={value}").map_err(kv::Error::from)
    }
}
