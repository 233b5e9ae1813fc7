//! `measure-control`: CPU time, memory and traffic of control replicas and followers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::Context;
use clap::{ArgAction, ArgMatches, Command, value_parser};
use hdrhistogram::Histogram;
use jaylock_measure::{Followers, Usage, option};
use jaylock_rpc::traffic;
use jaylock_types::Secret;

fn main() -> anyhow::Result<()> {
    let matches = command().get_matches();
    let runtime = compio::runtime::Runtime::new()?;
    runtime.block_on(measure(&matches))
}

async fn measure(matches: &ArgMatches) -> anyhow::Result<()> {
    let count: u16 = *matches.get_one("followers").unwrap_or(&50);
    let seconds: u64 = *matches.get_one("seconds").unwrap_or(&10);
    let changes: u32 = *matches.get_one("changes").unwrap_or(&20);
    let secret: &String = matches.get_one("secret").context("--secret is required")?;
    let seeds: Vec<SocketAddr> = matches
        .get_many("replica")
        .unwrap_or_default()
        .copied()
        .collect();
    let pids: Vec<u32> = matches
        .get_many("pid")
        .unwrap_or_default()
        .copied()
        .collect();
    let followers = Followers::start(count, seeds, Secret::new(secret)).await?;
    followers.wait_until_ready().await;
    let idle = measure_rates(&pids, Duration::from_secs(seconds)).await?;
    let mut times = Histogram::<u64>::new(3)?;
    for number in 0..changes {
        let time = followers.time_change(number).await?;
        times.record(u64::try_from(time.as_millis())?)?;
    }
    println!(
        "followers {count}: replicas {} core, {} KiB; a follower {:.2} % core, {} KiB, {:.2} KB/s; \
         change active on all: p50 {} ms, p99 {} ms, max {} ms",
        idle.replicas_cpu,
        idle.replicas_resident_kib,
        idle.followers_cpu * 100.0 / f64::from(count),
        idle.followers_resident_kib / u64::from(count),
        idle.kilobytes_per_second / f64::from(count),
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99),
        times.max(),
    );
    Ok(())
}

/// CPU time and traffic per second, and memory; the values of the replicas are separated by `/`.
struct Rates {
    replicas_cpu: String,
    replicas_resident_kib: String,
    /// Sum over all followers, which run in this process.
    followers_cpu: f64,
    /// Memory of this process.
    followers_resident_kib: u64,
    /// Sent and received bytes of all followers.
    kilobytes_per_second: f64,
}

async fn measure_rates(pids: &[u32], time: Duration) -> anyhow::Result<Rates> {
    let own = std::process::id();
    let read_usages = |pids: &[u32]| {
        pids.iter()
            .map(|p| Usage::from_pid(*p))
            .collect::<Result<Vec<_>, _>>()
    };
    let (first, first_own, first_bytes) = (read_usages(pids)?, Usage::from_pid(own)?, traffic());
    let start = Instant::now();
    compio::time::sleep(time).await;
    let elapsed = start.elapsed().as_secs_f64();
    let (last, last_own, last_bytes) = (read_usages(pids)?, Usage::from_pid(own)?, traffic());
    let share = |a: &Usage, b: &Usage| (b.cpu.saturating_sub(a.cpu)).as_secs_f64() / elapsed;
    let shares = first
        .iter()
        .zip(&last)
        .map(|(a, b)| format!("{:.4}", share(a, b)));
    let bytes = last_bytes.sent + last_bytes.received - first_bytes.sent - first_bytes.received;
    Ok(Rates {
        replicas_cpu: shares.collect::<Vec<_>>().join("/"),
        replicas_resident_kib: last
            .iter()
            .map(|u| u.resident_kib.to_string())
            .collect::<Vec<_>>()
            .join("/"),
        followers_cpu: share(&first_own, &last_own),
        followers_resident_kib: last_own.resident_kib,
        kilobytes_per_second: f64::from(u32::try_from(bytes).unwrap_or(u32::MAX))
            / elapsed
            / 1000.0,
    })
}

fn command() -> Command {
    Command::new("measure-control")
        .about("Runs many followers of the configuration and prints CPU time, memory and traffic")
        .arg(
            option("replica", "IP:PORT")
                .action(ArgAction::Append)
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(
            option("pid", "PID")
                .action(ArgAction::Append)
                .value_parser(value_parser!(u32)),
        )
        .arg(option("secret", "SECRET"))
        .arg(option("followers", "COUNT").value_parser(value_parser!(u16)))
        .arg(option("seconds", "COUNT").value_parser(value_parser!(u64)))
        .arg(option("changes", "COUNT").value_parser(value_parser!(u32)))
}
