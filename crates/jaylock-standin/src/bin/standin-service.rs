//! `standin-service`: a stand-in plain service, for tests and the demonstration.

use anyhow::Result;
use clap::Command;
use compio::net::TcpListener;
use jaylock_standin::arguments::{self, duration_of, millis, text_of};
use jaylock_standin::{PlainService, ServiceSettings};

#[compio::main]
async fn main() -> Result<()> {
    jaylock_standin::log_to_stderr();
    let matches = command().get_matches();
    let listener = TcpListener::bind(text_of(&matches, "listen")).await?;
    let address = listener.local_addr()?;
    println!("listening {address}");
    let service = PlainService::open(ServiceSettings {
        announcement: arguments::announcement(&matches, "service", address),
        delay: duration_of(&matches, "delay-ms"),
        faults_enabled: matches.get_flag("faults"),
        run_log: matches.get_one("runs").cloned(),
    })?;
    let seeds = arguments::addresses_of(&matches, "instance");
    jaylock_standin::run_server(listener, service, seeds).await?;
    Ok(())
}

fn command() -> Command {
    arguments::backend_command("standin-service", "A stand-in plain service").arg(millis(
        "delay-ms",
        "5",
        "Duration of each call, in ms",
    ))
}
