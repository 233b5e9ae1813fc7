use std::path::PathBuf;

use anyhow::Context;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

/// Name of the flag that only checks the settings.
pub const CHECK: &str = "check";

/// The command line of a program that runs one instance.
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
                .help("Checks the settings and ends")
                .action(ArgAction::SetTrue),
        )
}

/// The settings file that the command line names.
///
/// # Errors
/// It names none.
pub fn settings_path(matches: &ArgMatches) -> anyhow::Result<&PathBuf> {
    matches
        .get_one("settings")
        .context("name a file with --settings")
}
