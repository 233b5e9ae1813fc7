use std::fs;

/// Clock ticks in a second, as the operating system counts processor time.
const TICKS: f64 = 100.0;
/// Bytes of a memory page.
const PAGE: u64 = 4096;
/// Place of user time among the fields after the program's name.
const USER_FIELD: usize = 11;
/// Place of the resident pages among the fields of the memory file.
const RESIDENT_FIELD: usize = 1;

/// Processor time that this process has used, in seconds; 0 where the system does not tell.
#[must_use]
pub fn cpu_seconds() -> f64 {
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = text.rsplit_once(')').map_or("", |(_, fields)| fields);
    let ticks = |field: usize| {
        let text = fields.split_whitespace().nth(field);
        text.and_then(|t| t.parse::<u32>().ok()).unwrap_or_default()
    };
    (f64::from(ticks(USER_FIELD)) + f64::from(ticks(USER_FIELD + 1))) / TICKS
}

/// Memory that this process occupies, in bytes; 0 where the system does not tell.
#[must_use]
pub fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(RESIDENT_FIELD);
    pages
        .and_then(|p| p.parse::<u64>().ok())
        .unwrap_or_default()
        * PAGE
}
