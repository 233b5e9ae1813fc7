//! `jaylockd`, the daemon that every instance of the fleet runs.

use anyhow::Context;
use clap::{Arg, ArgAction, ArgMatches, Command};
use jaylock_daemon::{Instance, arguments, settings_path};
use jaylock_settings::Settings;

fn main() -> anyhow::Result<()> {
    let matches = command().get_matches();
    let settings = read_settings(&matches)?;
    if matches.get_flag(arguments::CHECK) {
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
        instance.run(move || read_settings(&matches)).await;
        Ok(())
    })
}

fn command() -> Command {
    let rescue = Arg::new("rescue")
        .long("rescue")
        .help("Makes the data folder a group of one, when a majority is lost, and ends")
        .action(ArgAction::SetTrue);
    arguments::command("jaylockd", "Runs one instance of a jaylock fleet").arg(rescue)
}

fn read_settings(matches: &ArgMatches) -> anyhow::Result<Settings> {
    Ok(Settings::read(settings_path(matches)?)?)
}
