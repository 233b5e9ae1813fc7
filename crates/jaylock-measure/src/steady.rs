use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::Result;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::{Connection, Load};

/// Open-loop load with Poisson arrivals at a steady rate.
pub struct SteadyLoad {
    /// Requests to send.
    pub load: Load,
    /// Address of the router.
    pub router: SocketAddr,
    /// Requests per second.
    pub rate: f64,
    /// Seed of the arrival times.
    pub seed: u64,
}

/// Result of a steady load.
#[derive(Debug, Default)]
pub struct LoadResult {
    /// Number of complete responses.
    pub completed: Cell<u32>,
    /// Number of failed requests.
    pub failed: Cell<u32>,
    idle_connections: RefCell<Vec<Connection>>,
}

impl SteadyLoad {
    /// Sends requests for `duration` and waits for the last response.
    pub async fn run(&self, duration: Duration) -> Rc<LoadResult> {
        let mut random = SmallRng::seed_from_u64(self.seed);
        let result = Rc::new(LoadResult::default());
        let start = Instant::now();
        let mut tasks = Vec::new();
        let mut elapsed = Duration::ZERO;
        while elapsed < duration {
            // Exponential gaps make the arrivals a Poisson process.
            let gap = -(1.0 - random.random::<f64>()).ln() / self.rate;
            elapsed += Duration::from_secs_f64(gap);
            compio::time::sleep_until(start + elapsed).await;
            let (load, router, result) = (self.load.clone(), self.router, result.clone());
            let number = u32::try_from(tasks.len()).unwrap_or(u32::MAX);
            tasks.push(compio::runtime::spawn(async move {
                let outcome = send(&load, router, &result, number).await;
                let counter = if outcome.is_ok() {
                    &result.completed
                } else {
                    &result.failed
                };
                counter.set(counter.get() + 1);
            }));
        }
        for task in tasks {
            let _ = task.await;
        }
        result
    }
}

async fn send(load: &Load, router: SocketAddr, result: &LoadResult, number: u32) -> Result<()> {
    let idle = result.idle_connections.borrow_mut().pop();
    let mut connection = match idle {
        Some(connection) => connection,
        None => Connection::open(router).await?,
    };
    connection.send(load.request(number)).await?;
    result.idle_connections.borrow_mut().push(connection);
    Ok(())
}
