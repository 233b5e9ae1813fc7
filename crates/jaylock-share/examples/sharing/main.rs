//! Measures ways of sharing capacity on the same seeded work, and what the chosen one costs.
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
mod slopes;
mod wire;
mod work;
mod world;

use std::thread;

use crate::baseline::{Divided, Order};
use crate::design::{Design, Shared};
use crate::work::{DEPLOYMENTS, Deployment};
use crate::world::{Figures, Scenario, World};

/// Seeds of the runs; figures are the worst of them, gaps' medians and shares the mean.
const SEEDS: [u64; 2] = [1, 2];
/// Runs at the same time.
const THREADS: usize = 3;

#[derive(Debug, Clone, Copy)]
enum Way {
    Divided(Order),
    Single,
    Shared { ahead: u32 },
}

const WAYS: [(&str, Way); 8] = [
    ("divided, first come", Way::Divided(Order::Arrival)),
    ("divided, least served", Way::Divided(Order::Local)),
    ("gossip and stealing", Way::Divided(Order::Gossip)),
    ("one queue, at the end", Way::Single),
    ("scheduler, as they come", Way::Shared { ahead: 0 }),
    ("scheduler, 25 % ahead", Way::Shared { ahead: 25 }),
    ("scheduler, 50 % ahead", Way::Shared { ahead: 50 }),
    ("scheduler, all ahead", Way::Shared { ahead: 100 }),
];

impl Way {
    fn build(self, deployment: Deployment) -> Box<dyn Design> {
        match self {
            Self::Divided(order) => Box::new(Divided::new(deployment, order, deployment.routers)),
            Self::Single => Box::new(Divided::new(deployment, Order::Ended, 1)),
            Self::Shared { ahead } => Box::new(Shared::new(deployment, ahead)),
        }
    }

    /// Whether the fault means anything to the design.
    fn knows(self, scenario: Scenario) -> bool {
        match self {
            Self::Shared { .. } => true,
            Self::Divided(_) => scenario != Scenario::SchedulerReplaced,
            Self::Single => matches!(scenario, Scenario::Calm | Scenario::OneRouter),
        }
    }
}

struct Row {
    deployment: Deployment,
    scenario: Scenario,
    name: &'static str,
    way: Way,
}

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("slopes") => slopes::print(),
        Some("wire") => wire::print(),
        _ => print_designs(),
    }
}

fn print_designs() {
    println!(
        "bound of the gap in any 60 s: {} tokens",
        2 * work::COSTLIEST
    );
    println!(
        "{:<9} {:<21} {:<24} {:>5} {:>8} {:>7} {:>8} {:>8} {:>7}",
        "shape", "scenario", "design", "used", "gap max", "median", "look-up", "bytes/s", "cpu %"
    );
    let rows = rows();
    let chunk = rows.len().div_ceil(THREADS);
    let figures: Vec<Figures> = thread::scope(|scope| {
        let threads: Vec<_> = rows
            .chunks(chunk)
            .map(|rows| scope.spawn(move || rows.iter().map(measure).collect::<Vec<_>>()))
            .collect();
        threads
            .into_iter()
            .flat_map(|thread| thread.join().expect("a run"))
            .collect()
    });
    for (row, figures) in rows.iter().zip(figures) {
        println!(
            "{:<9} {:<21} {:<24} {:>5.3} {:>8} {:>7} {:>8} {:>8.0} {:>7.3}",
            row.deployment.name,
            row.scenario.name(),
            row.name,
            figures.utilisation,
            figures.largest_gap,
            figures.median_gap,
            wait(figures.lookup_p99),
            figures.bytes,
            figures.processor,
        );
    }
}

fn rows() -> Vec<Row> {
    let mut rows = Vec::new();
    for deployment in DEPLOYMENTS {
        for scenario in Scenario::ALL {
            for (name, way) in WAYS {
                if way.knows(scenario) {
                    rows.push(Row {
                        deployment,
                        scenario,
                        name,
                        way,
                    });
                }
            }
        }
    }
    rows
}

fn measure(row: &Row) -> Figures {
    let mut sum = Figures::default();
    let count = SEEDS.len() as f64;
    for seed in SEEDS {
        let mut design = row.way.build(row.deployment);
        let one = World::new(row.deployment, row.scenario, seed).run(design.as_mut());
        sum.utilisation += one.utilisation / count;
        sum.largest_gap = sum.largest_gap.max(one.largest_gap);
        sum.median_gap += one.median_gap / SEEDS.len() as u64;
        sum.lookup_p99 = sum.lookup_p99.max(one.lookup_p99);
        sum.bytes += one.bytes / count;
        sum.processor += one.processor / count;
    }
    sum
}

/// A wait in ms; none where no look-up was served at all.
fn wait(p99: u64) -> String {
    if p99 == u64::MAX {
        return "never".into();
    }
    format!("{p99} ms")
}
