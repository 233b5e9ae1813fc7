//! `measure-node`: control traffic and CPU time of one instance under a steady load.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::Context;
use clap::{ArgMatches, Command, value_parser};
use jaylock_measure::{Load, SteadyLoad, Usage, option};

/// Seed of the arrival times.
const SEED: u64 = 24;
/// Counters of the bytes of control traffic.
const BYTE_COUNTERS: [&str; 2] = [
    "jaylock_control_received_bytes_total",
    "jaylock_control_sent_bytes_total",
];
/// Counter of writes and reads, each of which takes at least one packet.
const PACKET_COUNTERS: [&str; 1] = ["jaylock_control_packets_total"];
/// Ethernet, IP and TCP headers of a packet, with TCP timestamps.
const HEADER_BYTES: f64 = 66.0;

fn main() -> anyhow::Result<()> {
    let matches = command().get_matches();
    compio::runtime::Runtime::new()?.block_on(measure(&matches))
}

async fn measure(matches: &ArgMatches) -> anyhow::Result<()> {
    let pid: u32 = required(matches, "pid")?;
    let metrics: SocketAddr = required(matches, "metrics")?;
    let rate: f64 = *matches.get_one("rate").unwrap_or(&24.0);
    let time = Duration::from_secs(*matches.get_one("seconds").unwrap_or(&20));
    let load = Load {
        key: required(matches, "key")?,
        model: required(matches, "model")?,
        chunks: *matches.get_one("pieces").unwrap_or(&64),
        requests: 0,
    };
    let router = required(matches, "router")?;
    let steady = SteadyLoad {
        load,
        router,
        rate,
        seed: SEED,
    };
    let (bytes, packets, usage_before, start) = (
        sum_counters(metrics, &BYTE_COUNTERS).await?,
        sum_counters(metrics, &PACKET_COUNTERS).await?,
        Usage::from_pid(pid)?,
        Instant::now(),
    );
    let (completed, failed) = if rate > 0.0 {
        let result = steady.run(time).await;
        (result.completed.get(), result.failed.get())
    } else {
        compio::time::sleep(time).await;
        (0, 0)
    };
    let (bytes, packets, usage, seconds) = (
        sum_counters(metrics, &BYTE_COUNTERS).await? - bytes,
        sum_counters(metrics, &PACKET_COUNTERS).await? - packets,
        Usage::from_pid(pid)?,
        start.elapsed().as_secs_f64(),
    );
    println!(
        "{rate} requests/s: {completed} complete, {failed} failed; control traffic {:.2} KB/s in {:.0} packets/s, with headers {:.2} KB/s; all work {:.2} % core, {} KiB resident",
        bytes / seconds / 1000.0,
        packets / seconds,
        (bytes + packets * HEADER_BYTES) / seconds / 1000.0,
        usage.cpu.saturating_sub(usage_before.cpu).as_secs_f64() * 100.0 / seconds,
        usage.resident_kib,
    );
    Ok(())
}

/// Returns the sum of counters in the metrics of the instance.
async fn sum_counters(metrics: SocketAddr, names: &[&str]) -> anyhow::Result<f64> {
    let text = jaylock_measure::fetch(metrics, "/metrics").await?;
    let counters = text
        .lines()
        .filter(|l| names.iter().any(|n| l.starts_with(n)));
    let values = counters.filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok());
    Ok(values.sum())
}

fn required<T: Clone + Send + Sync + 'static>(
    matches: &ArgMatches,
    name: &'static str,
) -> anyhow::Result<T> {
    matches
        .get_one(name)
        .cloned()
        .with_context(|| format!("--{name} is required"))
}

fn command() -> Command {
    Command::new("measure-node")
        .about("Sends requests at a steady rate and prints the traffic, CPU time and memory of the instance")
        .arg(option("router", "IP:PORT").value_parser(value_parser!(SocketAddr)))
        .arg(option("metrics", "IP:PORT").value_parser(value_parser!(SocketAddr)))
        .arg(option("pid", "PID").value_parser(value_parser!(u32)))
        .arg(option("key", "KEY"))
        .arg(option("model", "NAME"))
        .arg(option("pieces", "COUNT").value_parser(value_parser!(u32)))
        .arg(option("rate", "PER_SECOND").value_parser(value_parser!(f64)))
        .arg(option("seconds", "COUNT").value_parser(value_parser!(u64)))
}
