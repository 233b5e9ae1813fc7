//! The workload of all designs: organisations, their requests and the routers that receive them.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Largest cost of a request, in tokens.
pub const MAX_COST: u64 = 4000;
/// Waiting requests of a backlogged organisation.
const BACKLOG_REQUESTS: usize = 24;
/// Share of a backlogged organisation's requests that are long.
const LONG_SHARE: f64 = 0.2;
/// Share of requests with a token limit near the cost.
const LIMIT_HINT_SHARE: f64 = 0.7;
/// Rate of requests of an organisation that is not backlogged.
const LIGHT_REQUESTS_PER_SECOND: f64 = 0.2;

/// Size and topology of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct Deployment {
    pub name: &'static str,
    pub domains: usize,
    pub routers: usize,
    pub engines: usize,
    pub slots: usize,
    pub organisations: usize,
    /// Organisations that always have waiting requests; the others send occasional short requests.
    pub backlogged: usize,
}

/// The deployments that are simulated.
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

/// A request; only the engines know `cost`.
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
    pub fn is_short(&self) -> bool {
        self.cost < 100
    }
}

/// Generator of requests.
pub struct Workload {
    deployment: Deployment,
    rng: SmallRng,
    /// Routers that receive each organisation's requests.
    routers: Vec<Vec<usize>>,
    next: u64,
}

impl Workload {
    pub fn new(deployment: Deployment, seed: u64, on_one_router: bool) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let routers = (0..deployment.organisations).map(|organisation| {
            // The three largest organisations use three routers, the others use one.
            let count = if organisation < 3 { 3 } else { 1 };
            let random_router = |_| rng.random_range(0..deployment.routers);
            if on_one_router {
                vec![0]
            } else {
                (0..count).map(random_router).collect()
            }
        });
        let routers = routers.collect();
        Self {
            deployment,
            rng,
            routers,
            next: 0,
        }
    }

    /// Generates the requests that arrive within `step` ms after `now`.
    ///
    /// `waiting` is the number of waiting requests of each organisation.
    pub fn arrivals(&mut self, now: u64, step: u64, waiting: &[usize], lost: &[bool]) -> Vec<Job> {
        let mut jobs = Vec::new();
        for (organisation, waits) in waiting.iter().enumerate() {
            if organisation < self.deployment.backlogged {
                for _ in *waits..BACKLOG_REQUESTS {
                    let is_long = self.rng.random_bool(LONG_SHARE);
                    jobs.extend(self.job(organisation, is_long, now, lost));
                }
            } else if self
                .rng
                .random_bool(LIGHT_REQUESTS_PER_SECOND * step as f64 / 1000.0)
            {
                jobs.extend(self.job(organisation, false, now, lost));
            }
        }
        jobs
    }

    fn job(&mut self, organisation: usize, is_long: bool, now: u64, lost: &[bool]) -> Option<Job> {
        let routers = &self.routers[organisation];
        let first = routers[self.rng.random_range(0..routers.len())];
        // Callers of a lost router use the next router.
        let mut order = (0..lost.len()).map(|skip| (first + skip) % lost.len());
        let router = order.find(|router| !lost[*router])?;
        let range = if is_long { 800..=MAX_COST } else { 20..=80 };
        let hint = if is_long { MAX_COST as u32 } else { 100 };
        let limit = if self.rng.random_bool(LIMIT_HINT_SHARE) {
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
