use std::fmt::Write;
use std::time::{Duration, UNIX_EPOCH};

use jaylock_rpc::v1::Event;

use crate::BurnReport;
use crate::burn::{BurnLine, Moment};
use crate::plot::{bars, budget};
use crate::table::{moment_title, percent, target};
use crate::window::Window;

/// Look of the page; it loads nothing from elsewhere.
const STYLE: &str = "body{font:14px sans-serif;margin:2em;color:#222}\
table{border-collapse:collapse}td,th{padding:4px 10px;border-bottom:1px solid #ddd;text-align:left}\
.fast{background:#f8d0d0}.slow{background:#fbe5c8}.drift{background:#fdf6cc}\
pre{margin:.3em 0 .3em 1.5em}h3{margin-bottom:.2em}";

impl BurnReport {
    /// The report as one page that needs no other file, with plots.
    #[must_use]
    pub fn to_html(&self, events: &[Event]) -> String {
        let report = self.clone().with_events(events);
        let at = UNIX_EPOCH + Duration::from_millis(report.at_ms);
        let time = humantime::format_rfc3339_seconds(at);
        let rows: String = report.lines.iter().map(row).collect();
        let details: String = report.lines.iter().map(detail).collect();
        let events: String = events.iter().map(event_row).collect();
        format!(
            "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
             <title>Service-level burn</title><style>{STYLE}</style></head><body>\n\
             <h1>Service-level burn</h1><p>{time}; budgets over 3 days; a burn rate of 1 uses up \
             the budget in just that time.</p>\n<table><tr>{}</tr>\n{rows}</table>\n\
             <h2>What burnt the budgets, last 6 hours</h2>\n{details}\
             <h2>What the fleet did</h2>\n<table>{events}</table>\n</body></html>\n",
            heads(),
        )
    }
}

fn heads() -> String {
    let fixed = [
        "Organisation",
        "Objective",
        "Target",
        "Requests",
        "Bad",
        "Budget left",
    ];
    let windows = Window::ALL.map(Window::name);
    let rest = ["Median", "99 in 100", "Alert"];
    let all = fixed.into_iter().chain(windows).chain(rest);
    let cells: Vec<&str> = all.collect();
    format!("<th>{}</th>", cells.join("</th><th>"))
}

fn row(line: &BurnLine) -> String {
    let rates: String = line
        .rates
        .map(|rate| format!("<td>{rate:.1}</td>"))
        .concat();
    let class = line.alert.name().split(' ').next().unwrap_or_default();
    format!(
        "<tr class=\"{class}\"><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td>\
         <td>{} {}</td>{rates}<td>{} ms</td><td>{} ms</td><td>{}</td></tr>\n",
        escaped(&line.organisation),
        escaped(&line.objective.name),
        target(line),
        line.total,
        line.bad,
        budget(line.left),
        percent(line.left),
        line.p50.as_millis(),
        line.p99.as_millis(),
        line.alert.name(),
    )
}

fn detail(line: &BurnLine) -> String {
    if line.moments.is_empty() {
        return String::new();
    }
    let moments: String = line.moments.iter().map(moment).collect();
    format!(
        "<h3>{} {}</h3>{}\n{moments}",
        escaped(&line.organisation),
        escaped(&line.objective.name),
        bars(&line.history),
    )
}

fn moment(moment: &Moment) -> String {
    let mut text = format!("<p>{}</p>", moment_title(moment));
    for event in &moment.events {
        let (part, what) = (escaped(&event.part), escaped(&event.text));
        // Writing to a string never fails.
        let _ = write!(text, "<pre>[{part}] {what}</pre>");
    }
    text.push('\n');
    text
}

fn event_row(event: &Event) -> String {
    let at = UNIX_EPOCH + Duration::from_millis(event.at_ms);
    let time = humantime::format_rfc3339_seconds(at);
    let (part, what) = (escaped(&event.part), escaped(&event.text));
    format!("<tr><td>{time}</td><td>{part}</td><td>{what}</td></tr>\n")
}

fn escaped(text: &str) -> String {
    let text = text.replace('&', "&amp;").replace('<', "&lt;");
    text.replace('>', "&gt;").replace('"', "&quot;")
}
