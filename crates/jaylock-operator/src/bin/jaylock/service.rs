use clap::builder::ValueParser;
use clap::{Arg, ArgAction, ArgMatches, Command};
use jaylock_rpc::v1::{RepeatableRoute, Service};
use jaylock_types::{RequestRate, ServiceId};

use crate::output::Cell;
use crate::resource::{self, Resource, config_field};

/// The commands for plain services.
pub fn command() -> Command {
    let none = Arg::new("none-repeatable")
        .long("none-repeatable")
        .action(ArgAction::SetTrue)
        .help("Removes all calls that may be repeated");
    let [cold_time, cold_rate] = cold_options();
    let added = [repeatable_option(), cold_time.clone(), cold_rate.clone()];
    resource::command::<Service>(added, [repeatable_option(), none, cold_time, cold_rate])
}

impl Resource for Service {
    type Id = ServiceId;
    const NAME: &'static str = "service";
    const ABOUT: &'static str = "Plain services, reached under /services/ID/";
    const COLUMNS: &'static [&'static str] = &["id", "repeatable", "cold_ms", "cold_rate"];

    config_field!(services, PutService, RemoveService);

    fn new(id: String) -> Self {
        Self {
            id,
            ..Self::default()
        }
    }

    fn with_arguments(self, matches: &ArgMatches) -> Self {
        let given = matches.get_many::<RepeatableRoute>("repeatable");
        let is_cleared = matches.try_get_one("none-repeatable").ok().flatten() == Some(&true);
        let repeatable = match given {
            Some(routes) => routes.cloned().collect(),
            None if is_cleared => Vec::new(),
            None => self.repeatable,
        };
        let cold_ms = matches.get_one("cold-ms").copied();
        let cold_rate = matches.get_one::<RequestRate>("cold-rate");
        Self {
            repeatable,
            cold_ms: cold_ms.unwrap_or(self.cold_ms),
            cold_rate_milli: cold_rate.map_or(self.cold_rate_milli, |rate| rate.milli),
            ..self
        }
    }

    fn row(&self) -> Vec<Cell> {
        let routes = self.repeatable.iter().map(format_route);
        let cold_rate = RequestRate {
            milli: self.cold_rate_milli,
        };
        vec![
            self.id.as_str().into(),
            Cell::List(routes.collect()),
            u64::from(self.cold_ms).into(),
            cold_rate.to_string().into(),
        ]
    }
}

fn repeatable_option() -> Arg {
    Arg::new("repeatable")
        .long("repeatable")
        .value_name("METHOD:PREFIX")
        .action(ArgAction::Append)
        .value_parser(ValueParser::new(parse_route))
        .help(
            "Calls that may be repeated, such as GET:/cases/ or *:/search; others run at most once",
        )
}

/// Options for how long a backend server is cold and what it takes meanwhile.
fn cold_options() -> [Arg; 2] {
    let time = Arg::new("cold-ms")
        .long("cold-ms")
        .value_name("MS")
        .value_parser(clap::value_parser!(u32).range(0..=MAX_COLD_MS))
        .help("Time for which a backend server is cold after its start, in ms; 0 if it never is");
    let rate = Arg::new("cold-rate")
        .long("cold-rate")
        .value_name("RATE")
        .value_parser(clap::value_parser!(RequestRate))
        .help("Requests a second that a cold backend server takes from all routers together; 0 for no limit");
    [time, rate]
}

fn parse_route(text: &str) -> Result<RepeatableRoute, String> {
    let usage = || String::from("write METHOD:PREFIX such as GET:/cases/, or * for each method");
    let (method, prefix) = text.split_once(':').ok_or_else(usage)?;
    let is_known = method == ANY_METHOD || METHODS.contains(&method);
    if !is_known || !prefix.starts_with('/') {
        return Err(usage());
    }
    let method = if method == ANY_METHOD { "" } else { method };
    Ok(RepeatableRoute {
        method: method.into(),
        prefix: prefix.into(),
    })
}

fn format_route(route: &RepeatableRoute) -> String {
    let method = match route.method.as_str() {
        "" => ANY_METHOD,
        method => method,
    };
    format!("{method}:{}", route.prefix)
}

/// Longest cold time, in ms.
const MAX_COLD_MS: i64 = 600_000;

/// Matches every method.
const ANY_METHOD: &str = "*";

/// Methods that a route can name.
const METHODS: [&str; 7] = ["GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"];
