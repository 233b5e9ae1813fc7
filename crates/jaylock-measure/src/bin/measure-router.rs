//! `measure-router`: what a router adds to a request when nothing waits.

use std::net::SocketAddr;

use anyhow::Context;
use clap::{Arg, ArgMatches, Command, value_parser};
use jaylock_measure::{Load, Table, Target};

/// Requests sent before the measured ones.
const WARM_UP: u32 = 50;

fn main() -> anyhow::Result<()> {
    let matches = command().get_matches();
    let load = Load {
        key: matches
            .get_one::<String>("key")
            .context("name a key with --key")?
            .clone(),
        model: matches
            .get_one::<String>("model")
            .context("name a model with --model")?
            .clone(),
        pieces: *matches.get_one("pieces").unwrap_or(&8),
        requests: *matches.get_one("requests").unwrap_or(&1000),
    };
    let direct = target(&matches, "direct")?;
    let router = target(&matches, "router")?;
    let workers = *matches.get_one("workers").unwrap_or(&16);
    let runtime = compio::runtime::Runtime::new()?;
    runtime.block_on(measure(load, direct, router, workers))
}

async fn measure(load: Load, direct: Target, router: Target, workers: u32) -> anyhow::Result<()> {
    let targets = [direct, router];
    let warm_up = Load {
        requests: WARM_UP,
        ..load.clone()
    };
    warm_up.compare(&targets).await?;
    let times = load.compare(&targets).await?;
    let mut table = Table::default();
    for (target, times) in targets.iter().zip(&times) {
        table.add(format!("{}, first piece", target.name), &times.first);
    }
    table.add_difference("added to the first piece", 1, 0);
    for (target, times) in targets.iter().zip(&times) {
        table.add(format!("{}, whole answer", target.name), &times.total);
    }
    table.add_difference("added to the whole answer", 4, 3);
    print!("{table}");
    for target in &targets {
        let rate = load.saturate(target, workers).await?;
        println!(
            "{}, {workers} connections: {rate:.0} requests/s",
            target.name
        );
    }
    Ok(())
}

fn command() -> Command {
    let number = || value_parser!(u32);
    Command::new("measure-router")
        .about("Compares requests through a router with requests straight to an engine")
        .arg(option("direct", "IP:PORT", "Model engine").value_parser(value_parser!(SocketAddr)))
        .arg(option("router", "IP:PORT", "Instance").value_parser(value_parser!(SocketAddr)))
        .arg(option("key", "KEY", "Key of an organisation"))
        .arg(option("model", "NAME", "Model to ask"))
        .arg(option("pieces", "COUNT", "Pieces of each answer").value_parser(number()))
        .arg(option("requests", "COUNT", "Requests to each").value_parser(number()))
        .arg(option("workers", "COUNT", "Connections at once").value_parser(number()))
}

fn option(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).help(help)
}

fn target(matches: &ArgMatches, name: &'static str) -> anyhow::Result<Target> {
    let address = matches
        .get_one(name)
        .with_context(|| format!("name an address with --{name}"))?;
    Ok(Target {
        name,
        address: *address,
    })
}
