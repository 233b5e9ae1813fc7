//! `jaylockd`, the daemon that every instance of the fleet runs.

use std::path::PathBuf;

use anyhow::Context;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use jaylock_daemon::Instance;
use jaylock_settings::Settings;

fn main() -> anyhow::Result<()> {
    let matches = command().get_matches();
    let settings = read_settings(&matches)?;
    if matches.get_flag("check") {
        println!("the settings of {} are complete", settings.instance.id);
        return Ok(());
    }
    jaylock_observe::setup_log(jaylock_daemon::log_settings(&settings))?;
    let runtime = compio::runtime::Runtime::new().context("the runtime can't start")?;
    if matches.get_flag("rescue") {
        let index = runtime.block_on(jaylock_daemon::rescue(&settings))?;
        println!("this instance leads a group of one from index {index}: start it");
        return Ok(());
    }
    runtime.block_on(async {
        let instance = Instance::open(settings).await?.start().await?;
        instance.run(move || read_settings(&matches)).await
    })
}

fn command() -> Command {
    Command::new("jaylockd")
        .about("Runs one instance of a jaylock fleet")
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
            Arg::new("check")
                .long("check")
                .help("Checks the settings and ends")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("rescue")
                .long("rescue")
                .help("Makes the data folder a group of one, when a majority is lost, and ends")
                .action(ArgAction::SetTrue),
        )
}

fn read_settings(matches: &ArgMatches) -> anyhow::Result<Settings> {
    let path: &PathBuf = matches
        .get_one("settings")
        .context("name a file with --settings")?;
    Ok(Settings::read(path)?)
}
