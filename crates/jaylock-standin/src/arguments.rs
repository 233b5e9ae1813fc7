//! Arguments that the programs of the stand-ins share.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::builder::ValueParser;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use jaylock_types::unix_ms;

use crate::Announcement;

/// The arguments that every backend server takes.
#[must_use]
pub fn backend_command(name: &'static str, about: &'static str) -> Command {
    let instance =
        repeated("instance", "Instance to announce to, IP:PORT").value_parser(address_parser());
    let run_log = Arg::new("runs")
        .long("runs")
        .value_parser(value_parser!(PathBuf));
    Command::new(name)
        .about(about)
        .arg(instance.required(true))
        .arg(option("listen", "127.0.0.1:0", "Where to listen"))
        .arg(option("id", "backend-1", "Name of this backend server"))
        .arg(option(
            "pool",
            "main",
            "Pool, or the name of the plain service",
        ))
        .arg(option("domain", "local", "Failure domain"))
        .arg(option("token", "standin", "Proof of identity"))
        .arg(option("slots", "8", "Requests at once").value_parser(value_parser!(u32)))
        .arg(run_log.help("File to append each run to"))
        .arg(flag(
            "faults",
            "Let words in prompts and bodies bring about faults",
        ))
}

/// An argument with a value.
#[must_use]
pub fn option(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default).help(help)
}

/// An argument that may be given more than once.
#[must_use]
pub fn repeated(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .action(ArgAction::Append)
        .help(help)
}

/// An argument without a value.
#[must_use]
pub fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .action(ArgAction::SetTrue)
        .help(help)
}

/// An argument that is a time in ms.
#[must_use]
pub fn millis(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    option(name, default, help).value_parser(value_parser!(u64))
}

/// Reads addresses of the form IP:PORT.
#[must_use]
pub fn address_parser() -> ValueParser {
    value_parser!(SocketAddr).into()
}

/// The text of an argument.
#[must_use]
pub fn text_of(matches: &ArgMatches, name: &str) -> String {
    matches.get_one(name).cloned().unwrap_or_default()
}

/// The texts of an argument that may be given more than once.
#[must_use]
pub fn texts_of(matches: &ArgMatches, name: &str) -> Vec<String> {
    let values = matches.get_many(name).unwrap_or_default();
    values.cloned().collect()
}

/// The addresses of an argument that may be given more than once.
#[must_use]
pub fn addresses_of(matches: &ArgMatches, name: &str) -> Vec<SocketAddr> {
    let values = matches.get_many(name).unwrap_or_default();
    values.copied().collect()
}

/// The time of an argument in ms.
#[must_use]
pub fn duration_of(matches: &ArgMatches, name: &str) -> Duration {
    let value = matches.get_one(name).copied();
    Duration::from_millis(value.unwrap_or_default())
}

/// The announcement that the common arguments describe, without models.
#[must_use]
pub fn announcement(matches: &ArgMatches, kind: &str, address: SocketAddr) -> Announcement {
    Announcement {
        id: text_of(matches, "id"),
        incarnation: unix_ms(),
        pool: text_of(matches, "pool"),
        kind: kind.into(),
        address,
        domain: text_of(matches, "domain"),
        token: text_of(matches, "token"),
        slots: matches.get_one("slots").copied().unwrap_or_default(),
        checks_orders: false,
        models: Vec::new(),
        fence: 0,
    }
}
