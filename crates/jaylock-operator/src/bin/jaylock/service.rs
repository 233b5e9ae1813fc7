use clap::builder::ValueParser;
use clap::{Arg, ArgAction, ArgMatches, Command};
use jaylock_rpc::v1::{RepeatableRoute, Service};
use jaylock_types::ServiceId;

use crate::output::Cell;
use crate::resource::{self, Resource, held};

/// The commands on plain services.
pub fn command() -> Command {
    let none = Arg::new("none-repeatable")
        .long("none-repeatable")
        .action(ArgAction::SetTrue)
        .help("Ends the list of calls that may be repeated");
    resource::command::<Service>([repeatable()], [repeatable(), none])
}

impl Resource for Service {
    type Id = ServiceId;
    const NOUN: &'static str = "service";
    const ABOUT: &'static str = "Plain services, reached under /services/ID/";
    const COLUMNS: &'static [&'static str] = &["id", "repeatable"];

    held!(services, PutService, RemoveService);

    fn new(id: String) -> Self {
        Self {
            id,
            ..Self::default()
        }
    }

    fn changed(self, matches: &ArgMatches) -> Self {
        let given = matches.get_many::<RepeatableRoute>("repeatable");
        let ended = matches.try_get_one("none-repeatable").ok().flatten() == Some(&true);
        let repeatable = match given {
            Some(routes) => routes.cloned().collect(),
            None if ended => Vec::new(),
            None => self.repeatable,
        };
        Self { repeatable, ..self }
    }

    fn row(&self) -> Vec<Cell> {
        let routes = self.repeatable.iter().map(written);
        vec![self.id.as_str().into(), Cell::List(routes.collect())]
    }
}

fn repeatable() -> Arg {
    Arg::new("repeatable")
        .long("repeatable")
        .value_name("METHOD:PREFIX")
        .action(ArgAction::Append)
        .value_parser(ValueParser::new(route))
        .help("Calls that may be repeated, as GET:/cases/ or *:/search; others run at most once")
}

fn route(text: &str) -> Result<RepeatableRoute, String> {
    let remedy = || String::from("write METHOD:PREFIX such as GET:/cases/, or * for each method");
    let (method, prefix) = text.split_once(':').ok_or_else(remedy)?;
    let known = method == ANY || METHODS.contains(&method);
    if !known || !prefix.starts_with('/') {
        return Err(remedy());
    }
    let method = if method == ANY { "" } else { method };
    Ok(RepeatableRoute {
        method: method.into(),
        prefix: prefix.into(),
    })
}

fn written(route: &RepeatableRoute) -> String {
    let method = match route.method.as_str() {
        "" => ANY,
        method => method,
    };
    format!("{method}:{}", route.prefix)
}

/// Stands for each method.
const ANY: &str = "*";

/// Methods that a route may name.
const METHODS: [&str; 7] = ["GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"];
