//! The command-line tool of jaylock's operators.

mod arguments;
mod backend;
mod burn;
mod change;
mod command_line;
mod config;
mod document;
mod events;
mod explain;
mod failure;
mod instance;
mod keys;
mod loaded;
mod organisation;
mod output;
mod pool;
mod report;
mod resource;
mod route;
mod service;
mod session;

use std::io::{self, Write};
use std::process::ExitCode;

use clap::ArgMatches;
use jaylock_rpc::v1;

use self::failure::{Failure, Result};
use self::output::Output;
use self::resource::Resource;
use self::session::Session;

fn main() -> ExitCode {
    let matches = command_line::command().get_matches();
    if let Some((command_line::COMPLETIONS, chosen)) = matches.subcommand() {
        command_line::print_completions(chosen);
        return ExitCode::SUCCESS;
    }
    let json = matches.get_flag(arguments::JSON);
    let outcome = compio::runtime::Runtime::new()
        .map_err(|error| Failure::Local(format!("no runtime: {error}")))
        .and_then(|runtime| runtime.block_on(run(&matches)));
    finish(outcome, json)
}

async fn run(matches: &ArgMatches) -> Result<Output> {
    let session = Session::from_matches(matches)?;
    match matches.subcommand() {
        Some((v1::Organisation::NOUN, chosen)) => organisation::run(&session, chosen).await,
        Some((v1::Model::NOUN, chosen)) => resource::run::<v1::Model>(&session, chosen).await,
        Some((v1::Adapter::NOUN, chosen)) => resource::run::<v1::Adapter>(&session, chosen).await,
        Some((v1::Service::NOUN, chosen)) => resource::run::<v1::Service>(&session, chosen).await,
        Some((v1::Route::NOUN, chosen)) => resource::run::<v1::Route>(&session, chosen).await,
        Some((document::NOUN, _)) => document::show(&session).await,
        Some((backend::NOUN, chosen)) => backend::run(&session, chosen).await,
        Some((instance::NOUN, _)) => instance::list(&session).await,
        Some((pool::NOUN, chosen)) => pool::run(&session, chosen).await,
        Some((config::NOUN, chosen)) => config::run(&session, chosen).await,
        Some((report::NOUN, chosen)) => report::run(&session, chosen).await,
        Some((explain::NOUN, chosen)) => explain::run(&session, chosen).await,
        _ => Err(Failure::Usage("choose a command, see --help".into())),
    }
}

/// Prints the outcome; the exit code tells programs what it was.
fn finish(outcome: Result<Output>, json: bool) -> ExitCode {
    match outcome {
        Ok(output) => {
            let text = if json { output.json() } else { output.text() };
            // A reader that has gone, as in `jaylock ... | head`, is no failure.
            let _ = io::stdout().write_all(text.as_bytes());
            ExitCode::SUCCESS
        }
        Err(failure) => {
            let text = if json {
                failure.json()
            } else {
                format!("jaylock: {failure}\n")
            };
            let _ = io::stderr().write_all(text.as_bytes());
            ExitCode::from(failure.exit_code())
        }
    }
}
