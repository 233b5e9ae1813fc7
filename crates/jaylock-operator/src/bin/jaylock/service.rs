use clap::builder::ValueParser;
use clap::{Arg, ArgAction, ArgMatches, Command};
use jaylock_rpc::v1;
use jaylock_rpc::v1::command::Body;
use jaylock_types::ServiceId;

use crate::arguments::{name, noun_command};
use crate::change::{Edit, absent, apply, edit};
use crate::failure::Result;
use crate::output::{Listing, Output};
use crate::session::Session;

/// Name of the commands on plain services.
pub const NOUN: &str = "service";

/// The commands on plain services.
pub fn command() -> Command {
    let about = "Plain services, reached under /services/ID/";
    let none = Arg::new("none-repeatable")
        .long("none-repeatable")
        .action(ArgAction::SetTrue)
        .help("Ends the list of calls that may be repeated");
    let update = [repeatable(), none];
    noun_command::<ServiceId>(NOUN, about, [repeatable()], update)
}

/// Runs one of the commands.
pub async fn run(session: &Session, matches: &ArgMatches) -> Result<Output> {
    match matches.subcommand() {
        Some(("create", chosen)) => edit(session, |config| Ok(create(config, chosen))).await,
        Some(("update", chosen)) => edit(session, |config| update(config, chosen)).await,
        Some(("remove", chosen)) => {
            apply(session, Body::RemoveService(name::<ServiceId>(chosen))).await
        }
        _ => session
            .configuration()
            .await
            .map(|config| Output::Listing(listing(&config))),
    }
}

/// The plain services of a configuration.
pub fn listing(config: &v1::Configuration) -> Listing {
    let mut listing = Listing::new(&["id", "repeatable"]);
    for service in &config.services {
        let routes = service.repeatable.iter().map(|route| {
            let method = if route.method.is_empty() {
                ANY
            } else {
                &route.method
            };
            format!("{method}:{}", route.prefix)
        });
        listing.push(vec![
            service.id.as_str().into(),
            routes.collect::<Vec<_>>().into(),
        ]);
    }
    listing
}

fn create(config: &v1::Configuration, matches: &ArgMatches) -> Edit {
    let id = name::<ServiceId>(matches);
    let exists = config.services.iter().any(|s| s.id == id);
    let service = v1::Service {
        id: id.clone(),
        repeatable: routes(matches),
    };
    Edit::create(Body::PutService(service), NOUN, &id, exists)
}

fn update(config: &v1::Configuration, matches: &ArgMatches) -> Result<Edit> {
    let id = name::<ServiceId>(matches);
    let known = config.services.iter().find(|s| s.id == id);
    let mut service = known.ok_or_else(|| absent(NOUN, &id))?.clone();
    let given = routes(matches);
    if matches.get_flag("none-repeatable") || !given.is_empty() {
        service.repeatable = given;
    }
    Ok(Edit::update(Body::PutService(service)))
}

fn routes(matches: &ArgMatches) -> Vec<v1::RepeatableRoute> {
    let given = matches.get_many::<v1::RepeatableRoute>("repeatable");
    given.unwrap_or_default().cloned().collect()
}

fn repeatable() -> Arg {
    Arg::new("repeatable")
        .long("repeatable")
        .value_name("METHOD:PREFIX")
        .action(ArgAction::Append)
        .value_parser(ValueParser::new(route))
        .help("Calls that may be repeated, such as GET:/cases/ or *:/search; all others run at most once")
}

fn route(text: &str) -> Result<v1::RepeatableRoute, String> {
    let remedy = || String::from("write METHOD:PREFIX such as GET:/cases/, or * for each method");
    let (method, prefix) = text.split_once(':').ok_or_else(remedy)?;
    let known = method == ANY || METHODS.contains(&method);
    if !known || !prefix.starts_with('/') {
        return Err(remedy());
    }
    let method = if method == ANY { "" } else { method };
    Ok(v1::RepeatableRoute {
        method: method.into(),
        prefix: prefix.into(),
    })
}

/// Stands for each method.
const ANY: &str = "*";

/// Methods that a route may name.
const METHODS: [&str; 7] = ["GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"];
