//! `measure-node`: control traffic and processor time of one instance under a steady load.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::Context;
use clap::{ArgMatches, Command, value_parser};
use jaylock_measure::{Load, Steady, Usage, option};

/// Seed of the arrivals.
const SEED: u64 = 24;
/// Counters of the bytes of control traffic.
const BYTES: [&str; 2] = [
    "jaylock_control_received_bytes_total",
    "jaylock_control_sent_bytes_total",
];
/// Counter of writes and reads, each at least one packet.
const PACKETS: [&str; 1] = ["jaylock_control_packets_total"];
/// Bytes of Ethernet, IP and TCP headers with time stamps in each packet.
const HEADERS: f64 = 66.0;

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
        pieces: *matches.get_one("pieces").unwrap_or(&64),
        requests: 0,
    };
    let router = required(matches, "router")?;
    let steady = Steady {
        load,
        router,
        rate,
        seed: SEED,
    };
    let (bytes, packets, usage, start) = (
        counted(metrics, &BYTES).await?,
        counted(metrics, &PACKETS).await?,
        Usage::of(pid)?,
        Instant::now(),
    );
    let (whole, failed) = if rate > 0.0 {
        let ended = steady.run(time).await;
        (ended.whole.get(), ended.failed.get())
    } else {
        compio::time::sleep(time).await;
        (0, 0)
    };
    let (bytes, packets, used, seconds) = (
        counted(metrics, &BYTES).await? - bytes,
        counted(metrics, &PACKETS).await? - packets,
        Usage::of(pid)?,
        start.elapsed().as_secs_f64(),
    );
    println!(
        "{rate} requests/s: {whole} whole, {failed} failed; control traffic {:.2} KB/s in {:.0} packets/s, with headers {:.2} KB/s; all work {:.2} % core, {} KiB resident",
        bytes / seconds / 1000.0,
        packets / seconds,
        (bytes + packets * HEADERS) / seconds / 1000.0,
        used.cpu.saturating_sub(usage.cpu).as_secs_f64() * 100.0 / seconds,
        used.resident_kib,
    );
    Ok(())
}

/// Sum of counters in the instance's metrics.
async fn counted(metrics: SocketAddr, names: &[&str]) -> anyhow::Result<f64> {
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
        .with_context(|| format!("give --{name}"))
}

fn command() -> Command {
    Command::new("measure-node")
        .about("Sends requests at a steady rate and prints what the instance spends")
        .arg(option("router", "IP:PORT").value_parser(value_parser!(SocketAddr)))
        .arg(option("metrics", "IP:PORT").value_parser(value_parser!(SocketAddr)))
        .arg(option("pid", "PID").value_parser(value_parser!(u32)))
        .arg(option("key", "KEY"))
        .arg(option("model", "NAME"))
        .arg(option("pieces", "COUNT").value_parser(value_parser!(u32)))
        .arg(option("rate", "PER_SECOND").value_parser(value_parser!(f64)))
        .arg(option("seconds", "COUNT").value_parser(value_parser!(u64)))
}
