use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::Result;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::{Connection, Load};

/// Requests that arrive at random times at a steady rate.
pub struct Steady {
    /// What is asked.
    pub load: Load,
    /// Instance that is asked.
    pub router: SocketAddr,
    /// Requests a second.
    pub rate: f64,
    /// Seed of the arrivals.
    pub seed: u64,
}

/// How the requests of a steady load ended.
#[derive(Debug, Default)]
pub struct Ended {
    /// Whole answers.
    pub whole: Cell<u32>,
    /// Everything else.
    pub failed: Cell<u32>,
    idle: RefCell<Vec<Connection>>,
}

impl Steady {
    /// Sends requests for `time` and waits for the last answer.
    pub async fn run(&self, time: Duration) -> Rc<Ended> {
        let mut random = SmallRng::seed_from_u64(self.seed);
        let ended = Rc::new(Ended::default());
        let start = Instant::now();
        let mut tasks = Vec::new();
        let mut at = Duration::ZERO;
        while at < time {
            // Exponential gaps make the arrivals a Poisson process.
            let gap = -(1.0 - random.random::<f64>()).ln() / self.rate;
            at += Duration::from_secs_f64(gap);
            compio::time::sleep_until(start + at).await;
            let (load, router, ended) = (self.load.clone(), self.router, ended.clone());
            let number = u32::try_from(tasks.len()).unwrap_or(u32::MAX);
            tasks.push(compio::runtime::spawn(async move {
                let outcome = send(&load, router, &ended, number).await;
                let counter = if outcome.is_ok() {
                    &ended.whole
                } else {
                    &ended.failed
                };
                counter.set(counter.get() + 1);
            }));
        }
        for task in tasks {
            let _ = task.await;
        }
        ended
    }
}

async fn send(load: &Load, router: SocketAddr, ended: &Ended, number: u32) -> Result<()> {
    let idle = ended.idle.borrow_mut().pop();
    let mut connection = match idle {
        Some(connection) => connection,
        None => Connection::open(router).await?,
    };
    connection.send(load.request(number)).await?;
    ended.idle.borrow_mut().push(connection);
    Ok(())
}
