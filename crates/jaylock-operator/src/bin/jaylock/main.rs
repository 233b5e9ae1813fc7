//! The command-line tool for operators of a fleet.

mod arguments;
mod backend;
mod burn;
mod change;
mod command_line;
mod config;
mod document;
mod domain;
mod error;
mod events;
mod explain;
mod instance;
mod keys;
mod loadable;
mod organisation;
mod output;
mod pool;
mod preview;
mod report;
mod resource;
mod route;
mod service;
mod session;

use std::io::{self, Write};
use std::process::ExitCode;

use clap::ArgMatches;
use jaylock_rpc::v1;

use self::error::{Error, Result};
use self::output::Output;
use self::resource::Resource;
use self::session::Session;

fn main() -> ExitCode {
    let matches = command_line::command().get_matches();
    if let Some((command_line::COMPLETIONS, submatches)) = matches.subcommand() {
        return print(&command_line::completion_script(submatches));
    }
    let as_json = matches.get_flag(arguments::JSON);
    let outcome = compio::runtime::Runtime::new()
        .map_err(|error| Error::Local(format!("failed to start the runtime: {error}")))
        .and_then(|runtime| runtime.block_on(run(&matches)));
    print_outcome(outcome, as_json)
}

async fn run(matches: &ArgMatches) -> Result<Output> {
    let session = Session::from_matches(matches)?;
    match matches.subcommand() {
        Some((v1::Organisation::NAME, submatches)) => organisation::run(&session, submatches).await,
        Some((v1::Model::NAME, submatches)) => {
            resource::run::<v1::Model>(&session, submatches).await
        }
        Some((v1::Adapter::NAME, submatches)) => {
            resource::run::<v1::Adapter>(&session, submatches).await
        }
        Some((v1::Service::NAME, submatches)) => {
            resource::run::<v1::Service>(&session, submatches).await
        }
        Some((v1::Route::NAME, submatches)) => {
            resource::run::<v1::Route>(&session, submatches).await
        }
        Some((document::NAME, _)) => document::show(&session).await,
        Some((backend::NAME, submatches)) => backend::run(&session, submatches).await,
        Some((domain::NAME, submatches)) => domain::run(&session, submatches).await,
        Some((instance::NAME, _)) => instance::list(&session).await,
        Some((pool::NAME, submatches)) => pool::run(&session, submatches).await,
        Some((config::NAME, submatches)) => config::run(&session, submatches).await,
        Some((report::NAME, submatches)) => report::run(&session, submatches).await,
        Some((explain::NAME, submatches)) => explain::run(&session, submatches).await,
        Some((preview::NAME, submatches)) => preview::run(&session, submatches).await,
        _ => Err(Error::Usage("no command given: see --help".into())),
    }
}

/// Prints the outcome and returns the exit code for it.
fn print_outcome(outcome: Result<Output>, as_json: bool) -> ExitCode {
    match outcome {
        Ok(output) => {
            let text = if as_json {
                output.json()
            } else {
                output.text()
            };
            print(text.as_bytes())
        }
        Err(error) => {
            let text = if as_json {
                error.json()
            } else {
                format!("jaylock: {error}\n")
            };
            let _ = io::stderr().write_all(text.as_bytes());
            ExitCode::from(error.exit_code())
        }
    }
}

/// Writes to standard output and returns the exit code for it.
fn print(output: &[u8]) -> ExitCode {
    let mut stdout = io::stdout();
    let written = stdout.write_all(output).and_then(|()| stdout.flush());
    match written {
        // A closed pipe, as in `jaylock ... | head`, is not an error.
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => {
            let error = Error::Unwritten(error);
            let _ = io::stderr().write_all(format!("jaylock: {error}\n").as_bytes());
            ExitCode::from(error.exit_code())
        }
        _ => ExitCode::SUCCESS,
    }
}
