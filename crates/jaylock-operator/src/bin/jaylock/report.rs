use std::path::PathBuf;
use std::time::{Duration, UNIX_EPOCH};

use clap::{Arg, ArgMatches, Command, value_parser};

use crate::arguments::{number_option, number_value};
use crate::burn;
use crate::error::Result;
use crate::events::events;
use crate::output::{Listing, Output};
use crate::session::Session;

/// Name of the commands for reports on the fleet.
pub const NAME: &str = "report";

/// The commands for reports on the fleet.
pub fn command() -> Command {
    let most = number_option("most", "Number of newest events to show, 50 by default");
    let html = Arg::new("html")
        .long("html")
        .value_name("FILE")
        .help("Also writes the report as an HTML page with plots")
        .value_parser(value_parser!(PathBuf));
    Command::new(NAME)
        .about("Reports on the fleet")
        .subcommand_required(true)
        .subcommand(
            Command::new("burn")
                .about("Shows the burn rates of the error budgets and the worst minutes")
                .arg(html),
        )
        .subcommand(
            Command::new("events")
                .about("Shows the newest events, such as repairs")
                .arg(most),
        )
}

/// Runs one of the commands.
pub async fn run(session: &Session, matches: &ArgMatches) -> Result<Output> {
    match matches.subcommand() {
        Some(("burn", submatches)) => burn::report(session, submatches.get_one("html")).await,
        Some((_, submatches)) => {
            let most = number_value(submatches, "most").unwrap_or(DEFAULT_EVENTS);
            list_events(session, most).await
        }
        None => list_events(session, DEFAULT_EVENTS).await,
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

/// A time as shown in reports, in RFC 3339 format.
pub fn time(unix_ms: u64) -> String {
    let time = UNIX_EPOCH.checked_add(Duration::from_millis(unix_ms));
    time.map_or_else(
        || unix_ms.to_string(),
        |time| humantime::format_rfc3339_millis(time).to_string(),
    )
}

/// Number of events to show without `--most`.
const DEFAULT_EVENTS: u32 = 50;
