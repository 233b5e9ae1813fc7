use std::fmt::{self, Display, Formatter};
use std::io;
use std::sync::{Mutex, PoisonError};
use std::time::{Instant, SystemTime};

use compact_str::CompactString;
use log::kv::{self, Key, Source, Value, VisitSource};
use log::{LevelFilter, SetLoggerError};

use crate::log_writer::LogWriter;

/// Log targets, one for each part of the program.
pub const LOG_TARGETS: [&str; 8] = [
    "control", "daemon", "observe", "operator", "orders", "router", "rpc", "share",
];

/// Log levels and the rate limit of the log.
#[derive(Debug, Clone)]
pub struct LogSettings {
    /// Level of the targets that are not in `target_levels`.
    pub level: LevelFilter,
    /// Levels of single targets, by target name.
    pub target_levels: Vec<(CompactString, LevelFilter)>,
    /// Maximum rate; a quarter is reserved for warnings and errors.
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

/// Sets up logging to standard output, one line per event: time, level, target, message and
/// `key=value` pairs.
///
/// Libraries log warnings and errors only. Logging never blocks: lines that can't be written are
/// dropped and counted.
///
/// # Errors
/// A logger has been set up before.
pub fn setup_log(settings: LogSettings) -> Result<(), SetLoggerError> {
    let mut dispatch = fern::Dispatch::new().level(LevelFilter::Warn);
    for target in LOG_TARGETS {
        dispatch = dispatch.level_for(target, settings.level);
    }
    for (target, level) in settings.target_levels {
        dispatch = dispatch.level_for(target.into_string(), level);
    }
    dispatch
        .format(|out, message, record| {
            let time = humantime::format_rfc3339_millis(SystemTime::now());
            let (level, target) = (record.level(), record.target());
            let pairs = KeyValues(record.key_values());
            out.finish(format_args!("{time} {level:5} [{target}] {message}{pairs}"));
        })
        .chain(rate_limited_stdout(settings.lines_per_second))
        .apply()
}

/// Standard output with a rate limit, never blocking on its reader.
fn rate_limited_stdout(lines_per_second: u32) -> fern::Output {
    let writer = Mutex::new(LogWriter::new(io::stdout(), lines_per_second));
    fern::Output::call(move |record| {
        let line = record.args().to_string();
        let mut writer = writer.lock().unwrap_or_else(PoisonError::into_inner);
        writer.write(record.level(), &line, Instant::now());
    })
}

/// Displays the key-value pairs of an event, each after a space.
struct KeyValues<'a>(&'a dyn Source);

impl Display for KeyValues<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        self.0.visit(&mut PairWriter(f)).map_err(|_| fmt::Error)
    }
}

struct PairWriter<'a, 'b>(&'a mut Formatter<'b>);

impl<'kvs> VisitSource<'kvs> for PairWriter<'_, '_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        write!(self.0, " {key}={value}").map_err(kv::Error::from)
    }
}
