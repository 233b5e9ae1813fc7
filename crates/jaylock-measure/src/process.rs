use std::fs;
use std::time::Duration;

use anyhow::{Context, Result};

/// Clock ticks per second of the CPU times under `/proc`.
const TICKS_PER_SECOND: u64 = 100;

/// CPU time and memory of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// CPU time in user and kernel mode.
    pub cpu: Duration,
    /// Resident memory in KiB.
    pub resident_kib: u64,
}

impl Usage {
    /// Reads the usage of a process.
    ///
    /// # Errors
    /// No process has this id.
    pub fn from_pid(pid: u32) -> Result<Self> {
        let stat = read_proc(pid, "stat")?;
        // The second field is a name in parentheses that may contain spaces; fields 14 and 15 are the
        // CPU times in user and kernel mode.
        let fields = stat.rsplit(')').next().unwrap_or_default();
        let ticks: u64 = fields
            .split_whitespace()
            .skip(11)
            .take(2)
            .filter_map(|t| t.parse::<u64>().ok())
            .sum();
        let status = read_proc(pid, "status")?;
        let resident = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let resident = resident.and_then(|l| l.split_whitespace().next());
        Ok(Self {
            cpu: Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND),
            resident_kib: resident.and_then(|r| r.parse().ok()).unwrap_or_default(),
        })
    }
}

fn read_proc(pid: u32, file: &str) -> Result<String> {
    let path = format!("/proc/{pid}/{file}");
    fs::read_to_string(&path).with_context(|| format!("no process {pid}: start it first"))
}
