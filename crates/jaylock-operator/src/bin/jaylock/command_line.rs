use clap::{Arg, ArgMatches, Command, value_parser};
use clap_complete::Shell;
use jaylock_rpc::v1::{Adapter, Model};

use crate::arguments::global_options;
use crate::{
    backend, config, document, domain, explain, instance, loadable, organisation, pool, preview,
    report, route, service,
};

/// Name of the command that prints shell completions.
pub const COMPLETIONS: &str = "completions";

/// The complete command line.
pub fn command() -> Command {
    Command::new("jaylock")
        .about("Operates a fleet of jaylock instances")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(EXIT_CODES)
        .args(global_options())
        .subcommand(organisation::command())
        .subcommand(loadable::command::<Model>())
        .subcommand(loadable::command::<Adapter>())
        .subcommand(service::command())
        .subcommand(route::command())
        .subcommand(document::command())
        .subcommand(backend::command())
        .subcommand(domain::command())
        .subcommand(instance::command())
        .subcommand(pool::command())
        .subcommand(config::command())
        .subcommand(report::command())
        .subcommand(explain::command())
        .subcommand(preview::command())
        .subcommand(completions())
}

/// Returns the completion script of a shell.
pub fn completion_script(matches: &ArgMatches) -> Vec<u8> {
    let shell = matches.get_one::<Shell>("shell").copied();
    let shell = shell.unwrap_or(Shell::Bash);
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut command(), "jaylock", &mut script);
    script
}

fn completions() -> Command {
    Command::new(COMPLETIONS)
        .about("Prints the completion script of a shell")
        .arg(
            Arg::new("shell")
                .required(true)
                .value_parser(value_parser!(Shell)),
        )
}

const EXIT_CODES: &str = "\
Exit codes:
  0  success
  1  refused by the fleet; nothing was changed
  2  invalid command line
  3  another change came first; nothing was changed
  4  no response; a change may have been made: repeat the command with the printed --command-id
  5  the revision was not active on every instance in time
  6  success, but the output could not be written";
