//! `measure-router`: latency that a router adds to a request when no request waits.

use std::net::SocketAddr;

use anyhow::Context;
use clap::{Arg, ArgMatches, Command, value_parser};
use jaylock_measure::{Load, Table, Target};

/// Number of requests before the measured ones.
const WARM_UP_REQUESTS: u32 = 50;

fn main() -> anyhow::Result<()> {
    let matches = command().get_matches();
    let load = Load {
        key: matches
            .get_one::<String>("key")
            .context("--key is required")?
            .clone(),
        model: matches
            .get_one::<String>("model")
            .context("--model is required")?
            .clone(),
        chunks: *matches.get_one("pieces").unwrap_or(&8),
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
        requests: WARM_UP_REQUESTS,
        ..load.clone()
    };
    warm_up.measure_latencies(&targets).await?;
    let times = load.measure_latencies(&targets).await?;
    let mut table = Table::default();
    for (target, times) in targets.iter().zip(&times) {
        table.add(format!("{}, first chunk", target.name), &times.first_byte);
    }
    table.add_difference("added to first chunk", 1, 0);
    for (target, times) in targets.iter().zip(&times) {
        table.add(format!("{}, complete response", target.name), &times.total);
    }
    table.add_difference("added to complete response", 4, 3);
    print!("{table}");
    for target in &targets {
        let rate = load.measure_throughput(target, workers).await?;
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
        .about("Compares requests through a router with direct requests to an engine")
        .arg(
            option("direct", "IP:PORT", "Address of a model engine")
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(
            option("router", "IP:PORT", "Address of an instance")
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(option("key", "KEY", "Key of an organisation"))
        .arg(option("model", "NAME", "Model to request"))
        .arg(option("pieces", "COUNT", "Chunks in each response").value_parser(number()))
        .arg(option("requests", "COUNT", "Requests to each target").value_parser(number()))
        .arg(option("workers", "COUNT", "Concurrent connections").value_parser(number()))
}

fn option(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).help(help)
}

fn target(matches: &ArgMatches, name: &'static str) -> anyhow::Result<Target> {
    let address = matches
        .get_one(name)
        .with_context(|| format!("--{name} is required"))?;
    Ok(Target {
        name,
        address: *address,
    })
}
