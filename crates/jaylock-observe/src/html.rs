use std::fmt::Write;
use std::time::{Duration, UNIX_EPOCH};

use jaylock_rpc::v1::Event;

use crate::BurnReport;
use crate::burn::{BurnLine, Peak};
use crate::svg::{bar_chart, budget_bar};
use crate::table::{peak_title, percent, target};
use crate::window::Window;

/// Style sheet of the page, inline so that the page loads no other file.
const STYLE: &str = "body{font:14px sans-serif;margin:2em;color:#222}\
table{border-collapse:collapse}td,th{padding:4px 10px;border-bottom:1px solid #ddd;text-align:left}\
.fast{background:#f8d0d0}.slow{background:#fbe5c8}.drift{background:#fdf6cc}\
pre{margin:.3em 0 .3em 1.5em}h3{margin-bottom:.2em}";

impl BurnReport {
    /// The report as a self-contained page with plots.
    #[must_use]
    pub fn to_html(&self, events: &[Event]) -> String {
        let report = self.clone().with_events(events);
        let system_time = UNIX_EPOCH + Duration::from_millis(report.at_ms);
        let time = humantime::format_rfc3339_seconds(system_time);
        let rows: String = report.lines.iter().map(line_row).collect();
        let details: String = report.lines.iter().map(line_details).collect();
        let events: String = events.iter().map(event_row).collect();
        format!(
            "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
             <title>Error budget burn</title><style>{STYLE}</style></head><body>\n\
             <h1>Error budget burn</h1><p>{time}; budgets over 3 days; a burn rate of 1 uses up \
             the budget in exactly that time.</p>\n<table><tr>{}</tr>\n{rows}</table>\n\
             <h2>Minutes with the most bad requests, last 6 hours</h2>\n{details}\
             <h2>Events</h2>\n<table>{events}</table>\n</body></html>\n",
            column_names(),
        )
    }
}

fn column_names() -> String {
    let first = [
        "Organisation",
        "Objective",
        "Target",
        "Requests",
        "Bad",
        "Budget left",
    ];
    let windows = Window::ALL.map(Window::name);
    let last = ["Median", "99th percentile", "Alert"];
    let all = first.into_iter().chain(windows).chain(last);
    let cells: Vec<&str> = all.collect();
    format!("<th>{}</th>", cells.join("</th><th>"))
}

fn line_row(line: &BurnLine) -> String {
    let rates: String = line
        .rates
        .map(|rate| format!("<td>{rate:.1}</td>"))
        .concat();
    let class = line.alert.name().split(' ').next().unwrap_or_default();
    format!(
        "<tr class=\"{class}\"><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td>\
         <td>{} {}</td>{rates}<td>{} ms</td><td>{} ms</td><td>{}</td></tr>\n",
        escape(&line.organisation),
        escape(&line.objective.name),
        target(line),
        line.total,
        line.bad,
        budget_bar(line.budget_left),
        percent(line.budget_left),
        line.p50.as_millis(),
        line.p99.as_millis(),
        line.alert.name(),
    )
}

fn line_details(line: &BurnLine) -> String {
    if line.peaks.is_empty() {
        return String::new();
    }
    let peaks: String = line.peaks.iter().map(peak_details).collect();
    format!(
        "<h3>{} {}</h3>{}\n{peaks}",
        escape(&line.organisation),
        escape(&line.objective.name),
        bar_chart(&line.history),
    )
}

fn peak_details(peak: &Peak) -> String {
    let mut html = format!("<p>{}</p>", peak_title(peak));
    for event in &peak.events {
        let (part, text) = (escape(&event.part), escape(&event.text));
        // Writing to a string never fails.
        let _ = write!(html, "<pre>[{part}] {text}</pre>");
    }
    html.push('\n');
    html
}

fn event_row(event: &Event) -> String {
    let system_time = UNIX_EPOCH + Duration::from_millis(event.at_ms);
    let time = humantime::format_rfc3339_seconds(system_time);
    let (part, text) = (escape(&event.part), escape(&event.text));
    format!("<tr><td>{time}</td><td>{part}</td><td>{text}</td></tr>\n")
}

fn escape(text: &str) -> String {
    let text = text.replace('&', "&amp;").replace('<', "&lt;");
    text.replace('>', "&gt;").replace('"', "&quot;")
}
