//! Compares strategies for sharing capacity on the same seeded workload, and measures the scheduler's cost.
//!
//! `sharing` prints the table of designs, `sharing slopes` the cost of a decision against sizes,
//! `sharing wire` the control traffic and processor time of real streams.

#![allow(
    missing_docs,
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation
)]

mod baseline;
mod design;
mod scaling;
mod simulation;
mod wire;
mod workload;

use std::thread;

use crate::baseline::{Order, Partitioned};
use crate::design::{Design, Scheduled};
use crate::simulation::{Results, Scenario, Simulation};
use crate::workload::{DEPLOYMENTS, Deployment};

/// Seeds of the runs; the largest gap and the wait are the worst of the runs, all other results the mean.
const SEEDS: [u64; 2] = [1, 2];
/// Threads that simulate at the same time.
const THREAD_COUNT: usize = 3;

#[derive(Debug, Clone, Copy)]
enum Strategy {
    Partitioned(Order),
    Single,
    Scheduled { precharge_percent: u32 },
}

const STRATEGIES: [(&str, Strategy); 8] = [
    ("divided, first come", Strategy::Partitioned(Order::Arrival)),
    ("divided, least served", Strategy::Partitioned(Order::Local)),
    ("gossip and stealing", Strategy::Partitioned(Order::Gossip)),
    ("one queue, at the end", Strategy::Single),
    (
        "scheduler, as they come",
        Strategy::Scheduled {
            precharge_percent: 0,
        },
    ),
    (
        "scheduler, 25 % ahead",
        Strategy::Scheduled {
            precharge_percent: 25,
        },
    ),
    (
        "scheduler, 50 % ahead",
        Strategy::Scheduled {
            precharge_percent: 50,
        },
    ),
    (
        "scheduler, all ahead",
        Strategy::Scheduled {
            precharge_percent: 100,
        },
    ),
];

impl Strategy {
    fn build(self, deployment: Deployment) -> Box<dyn Design> {
        match self {
            Self::Partitioned(order) => {
                Box::new(Partitioned::new(deployment, order, deployment.routers))
            }
            Self::Single => Box::new(Partitioned::new(deployment, Order::Ended, 1)),
            Self::Scheduled { precharge_percent } => {
                Box::new(Scheduled::new(deployment, precharge_percent))
            }
        }
    }

    /// Whether the scenario applies to the strategy.
    fn supports(self, scenario: Scenario) -> bool {
        match self {
            Self::Scheduled { .. } => true,
            Self::Partitioned(_) => scenario != Scenario::SchedulerReplaced,
            Self::Single => matches!(scenario, Scenario::NoFault | Scenario::OneRouter),
        }
    }
}

struct Row {
    deployment: Deployment,
    scenario: Scenario,
    name: &'static str,
    strategy: Strategy,
}

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("slopes") => scaling::print(),
        Some("wire") => wire::print(),
        _ => print_designs(),
    }
}

fn print_designs() {
    println!(
        "bound of the gap in any 60 s: {} tokens",
        2 * workload::MAX_COST
    );
    println!(
        "{:<9} {:<21} {:<24} {:>5} {:>8} {:>7} {:>8} {:>8} {:>7}",
        "shape", "scenario", "design", "used", "gap max", "median", "look-up", "bytes/s", "cpu %"
    );
    let rows = rows();
    let chunk = rows.len().div_ceil(THREAD_COUNT);
    let results: Vec<Results> = thread::scope(|scope| {
        let threads: Vec<_> = rows
            .chunks(chunk)
            .map(|rows| scope.spawn(move || rows.iter().map(measure).collect::<Vec<_>>()))
            .collect();
        threads
            .into_iter()
            .flat_map(|thread| thread.join().expect("a run"))
            .collect()
    });
    for (row, results) in rows.iter().zip(results) {
        println!(
            "{:<9} {:<21} {:<24} {:>5.3} {:>8} {:>7} {:>8} {:>8.0} {:>7.3}",
            row.deployment.name,
            row.scenario.name(),
            row.name,
            results.utilisation,
            results.largest_gap,
            results.median_gap,
            format_wait(results.short_wait_p99_ms),
            results.bytes_per_second,
            results.cpu_percent,
        );
    }
}

fn rows() -> Vec<Row> {
    let mut rows = Vec::new();
    for deployment in DEPLOYMENTS {
        for scenario in Scenario::ALL {
            for (name, strategy) in STRATEGIES {
                if strategy.supports(scenario) {
                    rows.push(Row {
                        deployment,
                        scenario,
                        name,
                        strategy,
                    });
                }
            }
        }
    }
    rows
}

fn measure(row: &Row) -> Results {
    let mut total = Results::default();
    let count = SEEDS.len() as f64;
    for seed in SEEDS {
        let mut design = row.strategy.build(row.deployment);
        let run = Simulation::new(row.deployment, row.scenario, seed).run(design.as_mut());
        total.utilisation += run.utilisation / count;
        total.largest_gap = total.largest_gap.max(run.largest_gap);
        total.median_gap += run.median_gap / SEEDS.len() as u64;
        total.short_wait_p99_ms = total.short_wait_p99_ms.max(run.short_wait_p99_ms);
        total.bytes_per_second += run.bytes_per_second / count;
        total.cpu_percent += run.cpu_percent / count;
    }
    total
}

/// Formats a wait in ms; `u64::MAX` means that no short request was served.
fn format_wait(p99: u64) -> String {
    if p99 == u64::MAX {
        return "never".into();
    }
    format!("{p99} ms")
}
