use std::path::PathBuf;
use std::time::{Duration, UNIX_EPOCH};

use clap::{Arg, ArgMatches, Command, value_parser};

use crate::arguments::{number, number_option};
use crate::burn;
use crate::events::events;
use crate::failure::Result;
use crate::output::{Listing, Output};
use crate::session::Session;

/// Name of the commands that report on the fleet.
pub const NOUN: &str = "report";

/// The commands that report on the fleet.
pub fn command() -> Command {
    let most = number_option("most", "Newest entries to show, 50 by default");
    let html = Arg::new("html")
        .long("html")
        .value_name("FILE")
        .help("Writes the report as one page with plots, too")
        .value_parser(value_parser!(PathBuf));
    Command::new(NOUN)
        .about("Reports on what the fleet did")
        .subcommand_required(true)
        .subcommand(
            Command::new("burn")
                .about("Shows how service-level budgets burn, and what burnt them")
                .arg(html),
        )
        .subcommand(
            Command::new("events")
                .about("Shows the record of repairs")
                .arg(most),
        )
}

/// Runs one of the commands.
pub async fn run(session: &Session, matches: &ArgMatches) -> Result<Output> {
    match matches.subcommand() {
        Some(("burn", chosen)) => burn::report(session, chosen.get_one("html")).await,
        Some((_, chosen)) => {
            let most = number(chosen, "most").unwrap_or(MOST_EVENTS);
            list_events(session, most).await
        }
        None => list_events(session, MOST_EVENTS).await,
    }
}

async fn list_events(session: &Session, most: u32) -> Result<Output> {
    let mut listing = Listing::new(&["index", "at", "part", "text"]);
    for event in events(session, most).await? {
        listing.push(vec![
            event.index.into(),
            time(event.at_ms).into(),
            event.part.into(),
            event.text.into(),
        ]);
    }
    Ok(Output::Listing(listing))
}

/// A moment as it stands in reports.
pub fn time(unix_ms: u64) -> String {
    let moment = UNIX_EPOCH.checked_add(Duration::from_millis(unix_ms));
    moment.map_or_else(
        || unix_ms.to_string(),
        |moment| humantime::format_rfc3339_millis(moment).to_string(),
    )
}

/// Entries of the record of repairs that are shown when no number is given.
const MOST_EVENTS: u32 = 50;
