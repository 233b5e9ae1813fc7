use std::fmt::Write;
use std::time::{Duration, UNIX_EPOCH};

use crate::BurnReport;
use crate::burn::{BurnLine, Peak};

const COLUMN_NAMES: [&str; 11] = [
    "ORGANISATION",
    "OBJECTIVE",
    "TARGET",
    "REQUESTS",
    "BAD",
    "LEFT",
    "5M",
    "1H",
    "6H",
    "3D",
    "ALERT",
];

impl BurnReport {
    /// The report as a table for a terminal, followed by the peaks of each line.
    #[must_use]
    pub fn to_table(&self) -> String {
        let mut rows = vec![COLUMN_NAMES.map(String::from)];
        rows.extend(self.lines.iter().map(cells));
        let widths = widths(&rows);
        let mut text = String::new();
        for row in &rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(widths) {
                // Writing to a string never fails.
                let _ = write!(line, "{cell:width$}  ");
            }
            text.push_str(line.trim_end());
            text.push('\n');
        }
        for line in self.lines.iter().filter(|line| !line.peaks.is_empty()) {
            push_peaks(&mut text, line);
        }
        text
    }
}

fn cells(line: &BurnLine) -> [String; 11] {
    let [five_minutes, hour, six_hours, three_days] = line.rates.map(|rate| format!("{rate:.1}"));
    [
        line.organisation.to_string(),
        line.objective.name.to_string(),
        target(line),
        line.total.to_string(),
        line.bad.to_string(),
        percent(line.budget_left),
        five_minutes,
        hour,
        six_hours,
        three_days,
        line.alert.name().into(),
    ]
}

/// The target of a line, such as `99.9%`.
pub fn target(line: &BurnLine) -> String {
    let share = f64::from(line.objective.target_ppm) / 10_000.0;
    format!("{share}%")
}

/// A share as a percentage without decimals.
pub fn percent(share: f64) -> String {
    format!("{:.0}%", share * 100.0)
}

/// Time and counts of a peak.
pub fn peak_title(peak: &Peak) -> String {
    let system_time = UNIX_EPOCH + Duration::from_secs(peak.minute.0 * 60);
    let time = humantime::format_rfc3339_seconds(system_time);
    format!("{time}  {} of {} bad", peak.bad, peak.total)
}

fn widths(rows: &[[String; 11]]) -> [usize; 11] {
    let mut widths = [0; 11];
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = cell.len().max(*width);
        }
    }
    widths
}

fn push_peaks(text: &mut String, line: &BurnLine) {
    // Writing to a string never fails.
    let _ = writeln!(text, "\n{} {}", line.organisation, line.objective.name);
    for peak in &line.peaks {
        let _ = writeln!(text, "  {}", peak_title(peak));
        for event in &peak.events {
            let _ = writeln!(text, "    [{}] {}", event.part, event.text);
        }
    }
}
