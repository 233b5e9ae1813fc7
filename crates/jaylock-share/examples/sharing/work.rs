//! The work that every design gets: organisations, their requests, and where they come in.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Cost of the costliest request, in tokens.
pub const COSTLIEST: u64 = 4000;
/// Requests that a backlogged organisation keeps waiting.
const BACKLOG: usize = 24;
/// Share of a backlogged organisation's requests that are long.
const LONG_SHARE: f64 = 0.2;
/// Share of requests whose caller names a limit near the cost.
const HINT_SHARE: f64 = 0.7;
/// Requests a second of an organisation that is not backlogged.
const LIGHT_RATE: f64 = 0.2;

/// Size and form of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct Deployment {
    pub name: &'static str,
    pub domains: usize,
    pub routers: usize,
    pub engines: usize,
    pub slots: usize,
    pub organisations: usize,
    /// Organisations that always have work waiting; the others send look-ups now and then.
    pub backlogged: usize,
}

/// Today's two deployments.
pub const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "adala",
        domains: 4,
        routers: 9,
        engines: 12,
        slots: 8,
        organisations: 16,
        backlogged: 8,
    },
    Deployment {
        name: "swanfold",
        domains: 3,
        routers: 9,
        engines: 12,
        slots: 8,
        organisations: 16,
        backlogged: 10,
    },
];

/// A request; `cost` is known to the engines alone.
#[derive(Debug, Clone)]
pub struct Job {
    pub id: u64,
    pub organisation: usize,
    pub router: usize,
    pub cost: u64,
    pub limit: u32,
    pub arrived: u64,
    pub started: Option<u64>,
    pub engine: usize,
    pub tokens: u64,
}

impl Job {
    pub fn is_lookup(&self) -> bool {
        self.cost < 100
    }
}

/// The source of requests.
pub struct Work {
    deployment: Deployment,
    rng: SmallRng,
    /// Routers at which each organisation's callers come in.
    homes: Vec<Vec<usize>>,
    next: u64,
}

impl Work {
    pub fn new(deployment: Deployment, seed: u64, on_one_router: bool) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let homes = (0..deployment.organisations).map(|organisation| {
            // The largest three come in at three routers, the others at one.
            let count = if organisation < 3 { 3 } else { 1 };
            let pick = |_| rng.random_range(0..deployment.routers);
            if on_one_router {
                vec![0]
            } else {
                (0..count).map(pick).collect()
            }
        });
        let homes = homes.collect();
        Self {
            deployment,
            rng,
            homes,
            next: 0,
        }
    }

    /// Requests that arrive within `step` ms after `now`; `waiting` counts each organisation's.
    pub fn arrivals(&mut self, now: u64, step: u64, waiting: &[usize], lost: &[bool]) -> Vec<Job> {
        let mut jobs = Vec::new();
        for (organisation, waits) in waiting.iter().enumerate() {
            if organisation < self.deployment.backlogged {
                for _ in *waits..BACKLOG {
                    let is_long = self.rng.random_bool(LONG_SHARE);
                    jobs.extend(self.job(organisation, is_long, now, lost));
                }
            } else if self.rng.random_bool(LIGHT_RATE * step as f64 / 1000.0) {
                jobs.extend(self.job(organisation, false, now, lost));
            }
        }
        jobs
    }

    fn job(&mut self, organisation: usize, is_long: bool, now: u64, lost: &[bool]) -> Option<Job> {
        let homes = &self.homes[organisation];
        let home = homes[self.rng.random_range(0..homes.len())];
        // Callers of a lost router use the next address that they were told.
        let mut order = (0..lost.len()).map(|skip| (home + skip) % lost.len());
        let router = order.find(|router| !lost[*router])?;
        let range = if is_long { 800..=COSTLIEST } else { 20..=80 };
        let hint = if is_long { COSTLIEST as u32 } else { 100 };
        let limit = if self.rng.random_bool(HINT_SHARE) {
            hint
        } else {
            0
        };
        self.next += 1;
        let cost = self.rng.random_range(range);
        Some(Job {
            id: self.next,
            organisation,
            router,
            cost,
            limit,
            arrived: now,
            started: None,
            engine: 0,
            tokens: 0,
        })
    }
}
