use std::path::PathBuf;

use anyhow::Context;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

/// Name of the flag that checks the settings without starting the instance.
pub const CHECK: &str = "check";

/// Builds the command line of a program that runs one instance.
#[must_use]
pub fn command(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .help("INI file with the settings of this instance")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new(CHECK)
                .long(CHECK)
                .help("Checks the settings and exits")
                .action(ArgAction::SetTrue),
        )
}

/// Returns the path of the settings file from the command line.
///
/// # Errors
/// The command line names no settings file.
pub fn settings_path(matches: &ArgMatches) -> anyhow::Result<&PathBuf> {
    matches
        .get_one("settings")
        .context("name a file with --settings")
}
