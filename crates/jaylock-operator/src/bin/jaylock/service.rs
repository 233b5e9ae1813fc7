use clap::builder::ValueParser;
use clap::{Arg, ArgAction, ArgMatches, Command};
use jaylock_rpc::v1::{RepeatableRoute, Service};
use jaylock_types::ServiceId;

use crate::output::Cell;
use crate::resource::{self, Resource, config_field};

/// The commands for plain services.
pub fn command() -> Command {
    let none = Arg::new("none-repeatable")
        .long("none-repeatable")
        .action(ArgAction::SetTrue)
        .help("Removes all calls that may be repeated");
    resource::command::<Service>([repeatable_option()], [repeatable_option(), none])
}

impl Resource for Service {
    type Id = ServiceId;
    const NAME: &'static str = "service";
    const ABOUT: &'static str = "Plain services, reached under /services/ID/";
    const COLUMNS: &'static [&'static str] = &["id", "repeatable"];

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
        Self { repeatable, ..self }
    }

    fn row(&self) -> Vec<Cell> {
        let routes = self.repeatable.iter().map(format_route);
        vec![self.id.as_str().into(), Cell::List(routes.collect())]
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

/// Matches every method.
const ANY_METHOD: &str = "*";

/// Methods that a route can name.
const METHODS: [&str; 7] = ["GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"];
