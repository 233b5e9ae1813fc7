use log::LevelFilter;

use crate::key::{Key, SettingsSection};
use crate::value::{COUNT, count, parsed};

/// Log levels of the program's log targets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSettings {
    /// Level of targets without a level of their own.
    pub level: LevelFilter,
    /// Level of the replicated log.
    pub control: Option<LevelFilter>,
    /// Level of the connections between instances.
    pub rpc: Option<LevelFilter>,
    /// Level of the schedulers and their clients.
    pub share: Option<LevelFilter>,
    /// Level of the router, which serves callers and backend servers.
    pub router: Option<LevelFilter>,
    /// Level of the orders to engines.
    pub orders: Option<LevelFilter>,
    /// Level of logs, metrics and burn reports.
    pub observe: Option<LevelFilter>,
    /// Level of the service for operators.
    pub operator: Option<LevelFilter>,
    /// Level of startup and shutdown.
    pub daemon: Option<LevelFilter>,
    /// Maximum number of log lines per second; a quarter is reserved for warnings and errors.
    pub lines: u32,
}

impl LogSettings {
    /// Log targets that have a level of their own.
    #[must_use]
    pub fn target_levels(&self) -> Vec<(&'static str, LevelFilter)> {
        let all = [
            ("control", self.control),
            ("rpc", self.rpc),
            ("share", self.share),
            ("router", self.router),
            ("orders", self.orders),
            ("observe", self.observe),
            ("operator", self.operator),
            ("daemon", self.daemon),
        ];
        let levels = all
            .into_iter()
            .filter_map(|(target, level)| Some((target, level?)));
        levels.collect()
    }
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: LevelFilter::Info,
            control: None,
            rpc: None,
            share: None,
            router: None,
            orders: None,
            observe: None,
            operator: None,
            daemon: None,
            lines: 200,
        }
    }
}

impl SettingsSection for LogSettings {
    const SECTION: &'static str = "log";
    const KEYS: &'static [Key<Self>] = &[
        Key::optional("level", LEVEL, |s, v| parsed(v).map(|l| s.level = l)),
        Key::optional("control", LEVEL, |s, v| set_level(&mut s.control, v)),
        Key::optional("rpc", LEVEL, |s, v| set_level(&mut s.rpc, v)),
        Key::optional("share", LEVEL, |s, v| set_level(&mut s.share, v)),
        Key::optional("router", LEVEL, |s, v| set_level(&mut s.router, v)),
        Key::optional("orders", LEVEL, |s, v| set_level(&mut s.orders, v)),
        Key::optional("observe", LEVEL, |s, v| set_level(&mut s.observe, v)),
        Key::optional("operator", LEVEL, |s, v| set_level(&mut s.operator, v)),
        Key::optional("daemon", LEVEL, |s, v| set_level(&mut s.daemon, v)),
        Key::optional("lines", COUNT, |s, v| count(v).map(|n| s.lines = n)),
    ];
}

fn set_level(slot: &mut Option<LevelFilter>, text: &str) -> Option<()> {
    parsed(text).map(|level| *slot = Some(level))
}

/// Form of a level, for errors.
const LEVEL: &str = "off, error, warn, info, debug or trace";
