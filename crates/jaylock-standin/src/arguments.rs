//! Command-line arguments that the stand-in programs share.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::builder::ValueParser;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use jaylock_types::unix_ms;

use crate::Announcement;

/// Returns a command with the arguments that every backend server takes.
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
        .arg(option(
            "listen",
            "127.0.0.1:0",
            "Address to listen on, IP:PORT",
        ))
        .arg(option("id", "backend-1", "Id of this backend server"))
        .arg(option("pool", "main", "Pool, or name of the plain service"))
        .arg(option("domain", "local", "Failure domain"))
        .arg(option(
            "token",
            "standin",
            "Token that proves the identity of this backend server",
        ))
        .arg(
            option("slots", "8", "Maximum number of concurrent requests")
                .value_parser(value_parser!(u32)),
        )
        .arg(run_log.help("File to which each run is appended"))
        .arg(flag(
            "faults",
            "Let words in prompts and bodies cause faults",
        ))
}

/// Returns an argument with a value.
#[must_use]
pub fn option(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default).help(help)
}

/// Returns an argument that may be repeated.
#[must_use]
pub fn repeated(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .action(ArgAction::Append)
        .help(help)
}

/// Returns an argument without a value.
#[must_use]
pub fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .action(ArgAction::SetTrue)
        .help(help)
}

/// Returns an argument with a duration in ms.
#[must_use]
pub fn millis(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    option(name, default, help).value_parser(value_parser!(u64))
}

/// Returns the parser of an address IP:PORT.
#[must_use]
pub fn address_parser() -> ValueParser {
    value_parser!(SocketAddr).into()
}

/// Returns the value of an argument as text.
#[must_use]
pub fn text_of(matches: &ArgMatches, name: &str) -> String {
    matches.get_one(name).cloned().unwrap_or_default()
}

/// Returns the values of a repeated argument as texts.
#[must_use]
pub fn texts_of(matches: &ArgMatches, name: &str) -> Vec<String> {
    let values = matches.get_many(name).unwrap_or_default();
    values.cloned().collect()
}

/// Returns the values of a repeated argument as addresses.
#[must_use]
pub fn addresses_of(matches: &ArgMatches, name: &str) -> Vec<SocketAddr> {
    let values = matches.get_many(name).unwrap_or_default();
    values.copied().collect()
}

/// Returns the value of a duration argument.
#[must_use]
pub fn duration_of(matches: &ArgMatches, name: &str) -> Duration {
    let value = matches.get_one(name).copied();
    Duration::from_millis(value.unwrap_or_default())
}

/// Returns the announcement that the shared arguments describe, without models.
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
