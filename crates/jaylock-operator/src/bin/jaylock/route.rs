use clap::builder::{PossibleValuesParser, ValueParser};
use clap::{Arg, ArgAction, ArgMatches, Command};
use jaylock_rpc::v1::route::Kind;
use jaylock_rpc::v1::{Route, Target};
use jaylock_types::{RouteId, ServiceId};

use crate::arguments::{number_option, number_value};
use crate::output::Cell;
use crate::resource::{self, Resource, config_field};

/// Kinds of routes and their names on the command line.
const KINDS: [(&str, Kind); 3] = [
    ("once", Kind::Once),
    ("repeatable", Kind::Repeatable),
    ("stream", Kind::Stream),
];
/// Boolean options and their help.
const BOOL_OPTIONS: [(&str, &str); 3] = [
    ("public", "Whether callers need no key"),
    (
        "resumable",
        "Whether a stream may be resumed at another backend server",
    ),
    (
        "prompted",
        "Whether requests list the parts of their prompts",
    ),
];
/// Timeout of a route without `--timeout-ms`.
const DEFAULT_TIMEOUT_MS: u32 = 60_000;

/// The commands for routes.
pub fn command() -> Command {
    let create = options().map(|option| match option.get_id().as_str() {
        "host" | "prefix" | "target" => option.required(true),
        _ => option,
    });
    resource::command::<Route>(
        create.into_iter().chain(bool_options()),
        options().into_iter().chain(bool_options()),
    )
}

impl Resource for Route {
    type Id = RouteId;
    const NAME: &'static str = "route";
    const ABOUT: &'static str = "Routes of pass-through requests, by host and path";
    const COLUMNS: &'static [&'static str] = &[
        "id",
        "host",
        "prefix",
        "kind",
        "timeout_ms",
        "attempts",
        "public",
        "targets",
    ];

    config_field!(routes, PutRoute, RemoveRoute);

    fn new(id: String) -> Self {
        Self {
            id,
            timeout_ms: DEFAULT_TIMEOUT_MS,
            attempts: 1,
            ..Self::default()
        }
    }

    fn with_arguments(mut self, matches: &ArgMatches) -> Self {
        let text = |name: &str| matches.get_one::<String>(name).cloned();
        self.host = text("host").unwrap_or(self.host);
        self.prefix = text("prefix").unwrap_or(self.prefix);
        if let Some(kind) = text("kind").and_then(|name| parse_kind(&name)) {
            self.set_kind(kind);
        }
        self.timeout_ms = number_value(matches, "timeout-ms").unwrap_or(self.timeout_ms);
        self.objective_ms = number_value(matches, "objective-ms").unwrap_or(self.objective_ms);
        self.gap_ms = number_value(matches, "gap-ms").unwrap_or(self.gap_ms);
        self.priority = number_value(matches, "priority").unwrap_or(self.priority);
        self.attempts = number_value(matches, "attempts").unwrap_or(self.attempts);
        let flag = |name: &str, current: bool| matches.get_one(name).copied().unwrap_or(current);
        self.public = flag("public", self.public);
        self.resumable = flag("resumable", self.resumable);
        self.prompted = flag("prompted", self.prompted);
        if let Some(targets) = matches.get_many::<Target>("target") {
            self.targets = targets.cloned().collect();
        }
        self
    }

    fn row(&self) -> Vec<Cell> {
        let found = KINDS.iter().find(|(_, kind)| *kind == self.kind());
        let targets = self.targets.iter().map(format_target);
        vec![
            self.id.as_str().into(),
            self.host.as_str().into(),
            self.prefix.as_str().into(),
            found.map_or("", |(name, _)| *name).into(),
            self.timeout_ms.into(),
            self.attempts.into(),
            Cell::Bool(self.public),
            Cell::List(targets.collect()),
        ]
    }
}

fn options() -> [Arg; 9] {
    let text = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name("TEXT").help(help)
    };
    let kinds = KINDS.map(|(name, _)| name);
    [
        text("host", "Host name in requests"),
        text(
            "prefix",
            "Path prefix that begins and ends with a slash; the longest match is used",
        ),
        text(
            "kind",
            "Whether requests may be repeated or get a stream of events",
        )
        .value_parser(PossibleValuesParser::new(kinds)),
        number_option("timeout-ms", "Longest time to the end of a response, in ms"),
        number_option(
            "objective-ms",
            "Target for the time to the response or to the first event, in ms",
        ),
        number_option("gap-ms", "Target for the longest gap between events, in ms"),
        number_option("priority", "Priority, 0 is the highest"),
        number_option(
            "attempts",
            "Maximum number of backend servers that a request is sent to, 1 by default",
        ),
        Arg::new("target")
            .long("target")
            .value_name("SERVICE=WEIGHT")
            .action(ArgAction::Append)
            .value_parser(ValueParser::new(parse_target))
            .help("Service that receives requests, with its weight; repeatable"),
    ]
}

fn bool_options() -> impl Iterator<Item = Arg> {
    BOOL_OPTIONS.into_iter().map(|(name, help)| {
        Arg::new(name)
            .long(name)
            .value_name("BOOL")
            .value_parser(clap::value_parser!(bool))
            .help(help)
    })
}

fn parse_kind(name: &str) -> Option<Kind> {
    let found = KINDS.iter().find(|(known, _)| *known == name);
    found.map(|(_, kind)| *kind)
}

fn parse_target(text: &str) -> Result<Target, String> {
    let usage = || String::from("write SERVICE=WEIGHT such as caseapp=90, or SERVICE alone");
    let (service, weight) = text.split_once('=').unwrap_or((text, "1"));
    let service: ServiceId = service.parse().map_err(|_| usage())?;
    Ok(Target {
        service: service.into(),
        weight: weight.parse().map_err(|_| usage())?,
    })
}

fn format_target(target: &Target) -> String {
    format!("{}={}", target.service, target.weight)
}
