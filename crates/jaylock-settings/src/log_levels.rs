use log::LevelFilter;

use crate::key::{Key, Part};
use crate::value::{COUNT, count, parsed};

/// What is logged, for each part of the program.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSettings {
    /// Level of the parts that have none of their own.
    pub level: LevelFilter,
    /// Level of the replicated log.
    pub control: Option<LevelFilter>,
    /// Level of the connections between instances.
    pub rpc: Option<LevelFilter>,
    /// Level of the schedulers and their clients.
    pub share: Option<LevelFilter>,
    /// Level of the callers' and backend servers' side.
    pub router: Option<LevelFilter>,
    /// Level of the orders to engines.
    pub orders: Option<LevelFilter>,
    /// Level of logs, metrics and the burn report.
    pub observe: Option<LevelFilter>,
    /// Level of the operators' side.
    pub operator: Option<LevelFilter>,
    /// Level of the program's start and stop.
    pub daemon: Option<LevelFilter>,
    /// Lines a second at most, a quarter of them for warnings and errors only.
    pub lines: u32,
}

impl LogSettings {
    /// Parts that have a level of their own, by the name that stands in the log.
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
        let set = all.into_iter().filter_map(|(part, l)| Some((part, l?)));
        set.collect()
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

impl Part for LogSettings {
    const SECTION: &'static str = "log";
    const KEYS: &'static [Key<Self>] = &[
        Key::optional("level", LEVEL, |s, v| parsed(v).map(|l| s.level = l)),
        Key::optional("control", LEVEL, |s, v| own(&mut s.control, v)),
        Key::optional("rpc", LEVEL, |s, v| own(&mut s.rpc, v)),
        Key::optional("share", LEVEL, |s, v| own(&mut s.share, v)),
        Key::optional("router", LEVEL, |s, v| own(&mut s.router, v)),
        Key::optional("orders", LEVEL, |s, v| own(&mut s.orders, v)),
        Key::optional("observe", LEVEL, |s, v| own(&mut s.observe, v)),
        Key::optional("operator", LEVEL, |s, v| own(&mut s.operator, v)),
        Key::optional("daemon", LEVEL, |s, v| own(&mut s.daemon, v)),
        Key::optional("lines", COUNT, |s, v| count(v).map(|n| s.lines = n)),
    ];
}

fn own(place: &mut Option<LevelFilter>, text: &str) -> Option<()> {
    parsed(text).map(|level| *place = Some(level))
}

/// What a level looks like.
const LEVEL: &str = "off, error, warn, info, debug or trace";
