//! A stand-in plain service, for tests and the demonstration.

use anyhow::Result;
use clap::Command;
use compio::net::TcpListener;
use jaylock_standin::arguments::{self, text_of, time, time_of};
use jaylock_standin::{PlainService, ServiceSettings};

#[compio::main]
async fn main() -> Result<()> {
    jaylock_standin::log_to_stderr();
    let given = command().get_matches();
    let listener = TcpListener::bind(text_of(&given, "listen")).await?;
    let address = listener.local_addr()?;
    println!("listening {address}");
    let service = PlainService::open(ServiceSettings {
        announcement: arguments::announcement(&given, "service", address),
        delay: time_of(&given, "delay-ms"),
        faults: given.get_flag("faults"),
        runs: given.get_one("runs").cloned(),
    })?;
    let seeds = arguments::addresses_of(&given, "instance");
    jaylock_standin::run(listener, service, seeds).await?;
    Ok(())
}

fn command() -> Command {
    arguments::backend_command("standin-service", "A stand-in plain service").arg(time(
        "delay-ms",
        "5",
        "Time for each call, in ms",
    ))
}
