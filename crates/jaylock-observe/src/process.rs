use std::fs;

use rustix::param::page_size;

/// Clock ticks per second (`USER_HZ`), the unit of processor times in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Index of the user time in `stat`, counted after the program name; the system time follows.
const USER_TIME_INDEX: usize = 11;
/// Index of the number of resident pages in `statm`.
const RESIDENT_PAGES_INDEX: usize = 1;

/// Processor time used by this process, in seconds; 0 when `/proc` is not available.
#[must_use]
pub fn cpu_seconds() -> f64 {
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = text.rsplit_once(')').map_or("", |(_, fields)| fields);
    let ticks = |index: usize| {
        let text = fields.split_whitespace().nth(index);
        text.and_then(|t| t.parse::<u32>().ok()).unwrap_or_default()
    };
    (f64::from(ticks(USER_TIME_INDEX)) + f64::from(ticks(USER_TIME_INDEX + 1))) / TICKS_PER_SECOND
}

/// Resident memory of this process, in bytes; 0 when `/proc` is not available.
#[must_use]
pub fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(RESIDENT_PAGES_INDEX);
    pages
        .and_then(|p| p.parse::<u64>().ok())
        .unwrap_or_default()
        * page_size() as u64
}
