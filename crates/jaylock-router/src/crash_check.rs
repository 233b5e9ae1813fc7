use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use jaylock_types::PoolId;

use crate::connection::{self, Probe};
use crate::port::Schedulers;

/// Time between two rounds of checks; a run has ended between half of it and one and a half before its check.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Least time between the end of a run and its check, as the backend server may crash a moment later.
const MIN_AGE: Duration = Duration::from_millis(500);
/// Time for which a connection is tried.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Most time between the end of a run and its check; a crash after that is not blamed on it.
const MAX_AGE: Duration = Duration::from_secs(3);
/// Backend servers that are checked in one round, as each check is a connection.
const MAX_CHECKS: usize = 8;
/// Runs that wait for a check; beyond this number none is added.
const MAX_WAITING: usize = 256;

/// Checks whether backend servers crash after this router has given up requests there.
///
/// Some go on with a request whose connection is closed, so that nothing else would tell the router.
#[derive(Default)]
pub struct CrashChecks {
    // In the order in which they ended.
    waiting: RefCell<Vec<EndedRun>>,
}

/// A run that was given up.
pub struct EndedRun {
    /// Port to the schedulers.
    pub schedulers: Rc<dyn Schedulers>,
    /// Pool of the backend server.
    pub pool: PoolId,
    /// Ticket of the run.
    pub ticket: u64,
    /// Address of the backend server.
    pub address: SocketAddr,
    /// When its slot was released.
    pub ended_at: Instant,
}

impl CrashChecks {
    /// Has the backend server of a run checked, unless too many wait.
    pub fn add(&self, run: EndedRun) {
        let mut waiting = self.waiting.borrow_mut();
        if waiting.len() < MAX_WAITING {
            waiting.push(run);
        }
    }

    /// Checks backend servers until the future is dropped.
    pub async fn run(self: Rc<Self>) {
        loop {
            compio::time::sleep(ROUND_INTERVAL).await;
            let runs = self.take_due();
            check(&runs).await;
        }
    }

    /// Takes the runs to check now: those at the backend servers whose runs ended first.
    fn take_due(&self) -> Vec<EndedRun> {
        let mut waiting = self.waiting.borrow_mut();
        waiting.retain(|run| run.ended_at.elapsed() < MAX_AGE);
        let due = waiting.partition_point(|run| run.ended_at.elapsed() >= MIN_AGE);
        let addresses = first_addresses(&waiting[..due]);
        let is_checked = |run: &mut EndedRun| addresses.contains(&run.address);
        waiting.extract_if(..due, is_checked).collect()
    }
}

/// The first distinct addresses of some runs, as many as one round checks.
fn first_addresses(runs: &[EndedRun]) -> Vec<SocketAddr> {
    let mut addresses = Vec::with_capacity(MAX_CHECKS);
    for run in runs {
        if addresses.len() < MAX_CHECKS && !addresses.contains(&run.address) {
            addresses.push(run.address);
        }
    }
    addresses
}

/// Checks the backend servers of some runs, each once, and reports those that refuse connections.
async fn check(runs: &[EndedRun]) {
    let addresses = first_addresses(runs);
    let probes = addresses
        .iter()
        .map(|address| connection::probe(*address, PROBE_TIMEOUT));
    let outcomes = join_all(probes).await;
    for (address, outcome) in addresses.iter().zip(outcomes) {
        if outcome != Probe::Refused {
            continue;
        }
        for run in runs.iter().filter(|run| run.address == *address) {
            log::info!(
                target: "router",
                pool = run.pool.as_str(), address:%, ticket = run.ticket;
                "a backend server crashed after a request there was given up"
            );
            run.schedulers.report_crash(&run.pool, run.ticket);
        }
    }
}
