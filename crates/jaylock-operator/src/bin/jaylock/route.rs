use clap::builder::{PossibleValuesParser, ValueParser};
use clap::{Arg, ArgAction, ArgMatches, Command};
use jaylock_rpc::v1::route::Kind;
use jaylock_rpc::v1::{Route, Target};
use jaylock_types::{RouteId, ServiceId};

use crate::arguments::{number, number_option};
use crate::output::Cell;
use crate::resource::{self, Resource, held};

/// Kinds of routes, as operators write them.
const KINDS: [(&str, Kind); 3] = [
    ("once", Kind::Once),
    ("repeatable", Kind::Repeatable),
    ("stream", Kind::Stream),
];
/// Options that are on or off.
const FLAGS: [(&str, &str); 3] = [
    ("public", "Whether callers need no key"),
    (
        "resumable",
        "Whether a stream may go on at another backend server",
    ),
    (
        "prompted",
        "Whether requests tell the parts of their prompts",
    ),
];
/// Time limit of a route that names none, ms.
const TIMEOUT_MS: u32 = 60_000;

/// The commands on routes.
pub fn command() -> Command {
    let create = options().map(|option| match option.get_id().as_str() {
        "host" | "prefix" | "target" => option.required(true),
        _ => option,
    });
    resource::command::<Route>(
        create.into_iter().chain(flags()),
        options().into_iter().chain(flags()),
    )
}

impl Resource for Route {
    type Id = RouteId;
    const NOUN: &'static str = "route";
    const ABOUT: &'static str = "Where requests go that are passed through, by host and path";
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

    held!(routes, PutRoute, RemoveRoute);

    fn new(id: String) -> Self {
        Self {
            id,
            timeout_ms: TIMEOUT_MS,
            attempts: 1,
            ..Self::default()
        }
    }

    fn changed(mut self, matches: &ArgMatches) -> Self {
        let text = |name: &str| matches.get_one::<String>(name).cloned();
        self.host = text("host").unwrap_or(self.host);
        self.prefix = text("prefix").unwrap_or(self.prefix);
        if let Some(kind) = text("kind").and_then(|name| kind(&name)) {
            self.set_kind(kind);
        }
        self.timeout_ms = number(matches, "timeout-ms").unwrap_or(self.timeout_ms);
        self.objective_ms = number(matches, "objective-ms").unwrap_or(self.objective_ms);
        self.gap_ms = number(matches, "gap-ms").unwrap_or(self.gap_ms);
        self.priority = number(matches, "priority").unwrap_or(self.priority);
        self.attempts = number(matches, "attempts").unwrap_or(self.attempts);
        let flag = |name: &str, known: bool| matches.get_one(name).copied().unwrap_or(known);
        self.public = flag("public", self.public);
        self.resumable = flag("resumable", self.resumable);
        self.prompted = flag("prompted", self.prompted);
        if let Some(targets) = matches.get_many::<Target>("target") {
            self.targets = targets.cloned().collect();
        }
        self
    }

    fn row(&self) -> Vec<Cell> {
        let known = KINDS.iter().find(|(_, kind)| *kind == self.kind());
        let targets = self.targets.iter().map(written);
        vec![
            self.id.as_str().into(),
            self.host.as_str().into(),
            self.prefix.as_str().into(),
            known.map_or("", |(name, _)| *name).into(),
            self.timeout_ms.into(),
            self.attempts.into(),
            Cell::Flag(self.public),
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
        text("host", "Host that callers name"),
        text(
            "prefix",
            "Beginning of the path, with a slash at both ends; the longest one counts",
        ),
        text("kind", "Whether a request may run again")
            .value_parser(PossibleValuesParser::new(kinds)),
        number_option("timeout-ms", "Longest time to the end of an answer"),
        number_option(
            "objective-ms",
            "Time to the answer or the first event that is aimed at",
        ),
        number_option("gap-ms", "Longest pause between events that is aimed at"),
        number_option("priority", "Rank, 0 the highest"),
        number_option(
            "attempts",
            "Backend servers to which a request may be sent, 1 by default",
        ),
        Arg::new("target")
            .long("target")
            .value_name("SERVICE=WEIGHT")
            .action(ArgAction::Append)
            .value_parser(ValueParser::new(target))
            .help("Service that gets requests, by weight; repeatable"),
    ]
}

fn flags() -> impl Iterator<Item = Arg> {
    FLAGS.into_iter().map(|(name, help)| {
        Arg::new(name)
            .long(name)
            .value_name("BOOL")
            .value_parser(clap::value_parser!(bool))
            .help(help)
    })
}

fn kind(name: &str) -> Option<Kind> {
    let known = KINDS.iter().find(|(known, _)| *known == name);
    known.map(|(_, kind)| *kind)
}

fn target(text: &str) -> Result<Target, String> {
    let remedy = || String::from("write SERVICE=WEIGHT such as caseapp=90, or SERVICE alone");
    let (service, weight) = text.split_once('=').unwrap_or((text, "1"));
    let service: ServiceId = service.parse().map_err(|_| remedy())?;
    Ok(Target {
        service: service.into(),
        weight: weight.parse().map_err(|_| remedy())?,
    })
}

fn written(target: &Target) -> String {
    format!("{}={}", target.service, target.weight)
}
