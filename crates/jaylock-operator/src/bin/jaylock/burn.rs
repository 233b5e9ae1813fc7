use std::fs;
use std::path::PathBuf;
use std::time::Duration;

use jaylock_observe::{BurnReport, Objective};
use jaylock_rpc::v1;
use jaylock_types::unix_ms;

use crate::error::{Error, Result};
use crate::events::events;
use crate::output::{Cell, Listing, Output};
use crate::session::Session;

/// Reports on the error budgets; also writes the report as a page if a path is given.
pub async fn report(session: &Session, html: Option<&PathBuf>) -> Result<Output> {
    let request = v1::BurnRequest { since_minute: 0 };
    let call = session.call(async |mut client| client.report_burn(request).await);
    let reply = call.await?;
    let events = events(session, MAX_EVENTS).await?;
    let objectives: Vec<Objective> = reply.objectives.iter().map(objective).collect();
    let report = BurnReport::new(reply.minutes, &objectives, unix_ms()).with_events(&events);
    if let Some(path) = html {
        write_page(path, &report.to_html(&events))?;
    }
    let output = Output::Rendered {
        text: report.to_table(),
        listing: listing(&report),
    };
    Ok(output.with_unresponsive(reply.unheard))
}

fn objective(objective: &v1::Objective) -> Objective {
    Objective {
        name: objective.name.as_str().into(),
        target_ppm: objective.target_ppm,
        threshold: Duration::from_millis(objective.threshold_ms),
    }
}

fn write_page(path: &PathBuf, page: &str) -> Result<()> {
    fs::write(path, page)
        .map_err(|error| Error::Local(format!("failed to write {}: {error}", path.display())))
}

/// The lines of the report for JSON output.
fn listing(report: &BurnReport) -> Listing {
    let mut listing = Listing::new(&[
        "organisation",
        "objective",
        "target_ppm",
        "total",
        "bad",
        "budget_left",
        "rate_5m",
        "rate_1h",
        "rate_6h",
        "rate_3d",
        "p50_ms",
        "p99_ms",
        "alert",
    ]);
    for line in &report.lines {
        let mut row = vec![
            line.organisation.as_str().into(),
            line.objective.name.as_str().into(),
            line.objective.target_ppm.into(),
            line.total.into(),
            line.bad.into(),
            Cell::Decimal(line.budget_left, 4),
        ];
        row.extend(line.rates.map(|rate| Cell::Decimal(rate, 2)));
        row.extend([
            Cell::Decimal(line.p50.as_secs_f64() * 1e3, 1),
            Cell::Decimal(line.p99.as_secs_f64() * 1e3, 1),
            line.alert.name().into(),
        ]);
        listing.push(row);
    }
    listing
}

/// Maximum number of events to search for those near a peak.
const MAX_EVENTS: u32 = 10_000;
