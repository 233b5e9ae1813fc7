use std::fs;
use std::path::PathBuf;
use std::time::Duration;

use jaylock_observe::{BurnReport, Objective};
use jaylock_rpc::v1;
use jaylock_types::unix_ms;

use crate::events::events;
use crate::failure::{Failure, Result};
use crate::output::{Cell, Listing, Output};
use crate::session::Session;

/// Shows how service-level budgets burn, and writes the same as a page when asked to.
pub async fn report(session: &Session, html: Option<&PathBuf>) -> Result<Output> {
    let request = v1::BurnRequest { since_minute: 0 };
    let call = session.call(async |mut client| client.report_burn(request).await);
    let reply = call.await?;
    let events = events(session, ALL_EVENTS).await?;
    let objectives: Vec<Objective> = reply.objectives.iter().map(objective).collect();
    let report = BurnReport::new(reply.minutes, &objectives, unix_ms()).with_events(&events);
    if let Some(path) = html {
        write_page(path, &report.to_html(&events))?;
    }
    let output = Output::Shown {
        text: report.to_table(),
        listing: lines(&report),
    };
    Ok(output.unless_heard(reply.unheard))
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
        .map_err(|error| Failure::Local(format!("{} can't be written: {error}", path.display())))
}

/// The lines of the report for programs.
fn lines(report: &BurnReport) -> Listing {
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

/// Entries of the record of repairs that the report looks through.
const ALL_EVENTS: u32 = 10_000;
