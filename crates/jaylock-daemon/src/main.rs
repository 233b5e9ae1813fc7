//! `jaylockd`, the daemon that runs one instance of the fleet.

use anyhow::Context;
use clap::{Arg, ArgAction, ArgMatches, Command};
use jaylock_daemon::{Instance, KeptSignals, arguments, settings_path};
use jaylock_settings::Settings;

fn main() -> anyhow::Result<()> {
    let signals = KeptSignals::register().context("can't register signals")?;
    let matches = command().get_matches();
    let settings = read_settings(&matches)?;
    if matches.get_flag(arguments::CHECK) {
        println!("the settings of {} are valid", settings.instance.id);
        return Ok(());
    }
    jaylock_observe::setup_log(jaylock_daemon::log_settings(&settings))?;
    let runtime = compio::runtime::Runtime::new().context("can't start the runtime")?;
    if matches.get_flag("rescue") {
        let index = runtime.block_on(jaylock_daemon::rescue(&settings))?;
        println!("this instance leads a group of one from index {index}: start it");
        return Ok(());
    }
    runtime.block_on(async {
        let mut signals = signals.listen().context("can't wait for signals")?;
        let starting = async { Instance::new(settings).open().await?.start().await };
        let Some(instance) = signals.interrupt(Box::pin(starting)).await else {
            return Ok(());
        };
        instance?
            .run(signals, move || read_settings(&matches))
            .await;
        Ok(())
    })
}

fn command() -> Command {
    let rescue = Arg::new("rescue")
        .long("rescue")
        .help("Turns the data folder into a group of one after the loss of a majority, and exits")
        .action(ArgAction::SetTrue);
    arguments::command("jaylockd", "Runs one instance of a jaylock fleet").arg(rescue)
}

fn read_settings(matches: &ArgMatches) -> anyhow::Result<Settings> {
    Ok(Settings::read(settings_path(matches)?)?)
}
