//! A fleet in virtual time: engines that generate at a constant rate, faults and measurements.

use std::time::{Duration, Instant};

use crate::design::{Design, Fault};
use crate::workload::{Deployment, Job, Workload};

/// Length of a step.
pub const STEP_MS: u64 = 2;
/// Tokens that one slot generates per second.
const TOKENS_PER_SECOND: u64 = 40;
/// Length of a run.
const RUN_LENGTH_MS: u64 = 180_000;
/// Time before measurements begin.
const WARM_UP_MS: u64 = 20_000;
/// Time between samples of the service received.
const SAMPLE_INTERVAL_MS: u64 = 1000;
/// Samples in the window over which a gap is taken.
const WINDOW_SAMPLES: usize = 60;
/// Time between two progress reports to the design.
const PROGRESS_INTERVAL_MS: u64 = 100;

/// The faults during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    NoFault,
    SchedulerReplaced,
    RouterLost,
    RouterDetached,
    OneRouter,
}

impl Scenario {
    pub const ALL: [Self; 5] = [
        Self::NoFault,
        Self::SchedulerReplaced,
        Self::RouterLost,
        Self::RouterDetached,
        Self::OneRouter,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Self::NoFault => "calm",
            Self::SchedulerReplaced => "scheduler replaced",
            Self::RouterLost => "router lost 10 s",
            Self::RouterDetached => "router cut off 10 s",
            Self::OneRouter => "all on one router",
        }
    }

    fn fault(self, now: u64) -> Option<Fault> {
        match (self, now) {
            (Self::SchedulerReplaced, 80_000) => Some(Fault::SchedulerLost),
            (Self::SchedulerReplaced, 83_000) => Some(Fault::SchedulerStarted),
            (Self::RouterLost, 80_000) => Some(Fault::RouterLost(2)),
            (Self::RouterLost, 90_000) => Some(Fault::RouterStarted(2)),
            (Self::RouterDetached, 80_000) => Some(Fault::RouterDetached(2)),
            (Self::RouterDetached, 90_000) => Some(Fault::RouterAttached(2)),
            _ => None,
        }
    }
}

/// Results of a run; traffic and processor time are per router.
#[derive(Debug, Default)]
pub struct Results {
    pub utilisation: f64,
    pub largest_gap: u64,
    pub median_gap: u64,
    pub short_wait_p99_ms: u64,
    pub bytes_per_second: f64,
    pub cpu_percent: f64,
}

pub struct Simulation {
    deployment: Deployment,
    scenario: Scenario,
    workload: Workload,
    jobs: Vec<Job>,
    lost: Vec<bool>,
    served: Vec<u64>,
    samples: Vec<Vec<u64>>,
    busy_slots: u64,
    waits: Vec<u64>,
}

impl Simulation {
    pub fn new(deployment: Deployment, scenario: Scenario, seed: u64) -> Self {
        let workload = Workload::new(deployment, seed, scenario == Scenario::OneRouter);
        Self {
            deployment,
            scenario,
            workload,
            jobs: Vec::new(),
            lost: vec![false; deployment.routers],
            served: vec![0; deployment.organisations],
            samples: Vec::new(),
            busy_slots: 0,
            waits: Vec::new(),
        }
    }

    pub fn run(mut self, design: &mut dyn Design) -> Results {
        let mut elapsed = Duration::ZERO;
        for now in (0..RUN_LENGTH_MS).step_by(STEP_MS as usize) {
            if let Some(fault) = self.scenario.fault(now) {
                self.apply_fault(fault);
                design.apply_fault(fault, now);
            }
            let arrivals = self.arrivals(now);
            let ended = self.generate(now);
            let start = Instant::now();
            for job in &arrivals {
                design.arrive(job, now);
            }
            for job in &ended {
                design.end(job, now);
            }
            if now.is_multiple_of(PROGRESS_INTERVAL_MS) {
                for job in self.jobs.iter().filter(|job| job.started.is_some()) {
                    design.progress(job, now);
                }
            }
            let started = design.step(now);
            elapsed += start.elapsed();
            self.jobs.extend(arrivals);
            for (id, engine) in started {
                self.start(id, engine, now);
            }
            self.measure(now);
        }
        self.results(design.bytes(), elapsed)
    }

    fn arrivals(&mut self, now: u64) -> Vec<Job> {
        let mut waiting = vec![0; self.deployment.organisations];
        for job in self.jobs.iter().filter(|job| job.started.is_none()) {
            waiting[job.organisation] += 1;
        }
        self.workload.arrivals(now, STEP_MS, &waiting, &self.lost)
    }

    fn generate(&mut self, now: u64) -> Vec<Job> {
        for job in &mut self.jobs {
            let Some(started) = job.started else { continue };
            let tokens = ((now - started) * TOKENS_PER_SECOND / 1000).min(job.cost);
            self.served[job.organisation] += tokens - job.tokens;
            job.tokens = tokens;
        }
        self.jobs
            .extract_if(.., |job| job.tokens == job.cost)
            .collect()
    }

    fn start(&mut self, id: u64, engine: usize, now: u64) {
        let Ok(at) = self.jobs.binary_search_by_key(&id, |job| job.id) else {
            return;
        };
        let job = &mut self.jobs[at];
        assert!(job.started.is_none(), "a request is started once");
        job.started = Some(now);
        job.engine = engine;
        if now >= WARM_UP_MS && job.is_short() && job.organisation >= self.deployment.backlogged {
            self.waits.push(now - job.arrived);
        }
    }

    fn apply_fault(&mut self, fault: Fault) {
        if let Fault::RouterLost(router) = fault {
            self.lost[router] = true;
            self.jobs.retain(|job| job.router != router);
        }
        if let Fault::RouterStarted(router) = fault {
            self.lost[router] = false;
        }
    }

    fn measure(&mut self, now: u64) {
        if now < WARM_UP_MS {
            return;
        }
        let slots = self.deployment.slots;
        for engine in 0..self.deployment.engines {
            let runs = |job: &&Job| job.started.is_some() && job.engine == engine;
            // Requests beyond an engine's slots don't count.
            self.busy_slots += self.jobs.iter().filter(runs).count().min(slots) as u64;
        }
        if now.is_multiple_of(SAMPLE_INTERVAL_MS) {
            self.samples
                .push(self.served[..self.deployment.backlogged].to_vec());
        }
    }

    fn results(mut self, bytes: u64, elapsed: Duration) -> Results {
        let windows = self.samples.iter().zip(&self.samples[WINDOW_SAMPLES..]);
        let mut gaps: Vec<u64> = windows.map(|(from, to)| gap(from, to)).collect();
        gaps.sort_unstable();
        self.waits.sort_unstable();
        let steps = (RUN_LENGTH_MS - WARM_UP_MS) / STEP_MS;
        let offered = steps * (self.deployment.engines * self.deployment.slots) as u64;
        let router_seconds = self.deployment.routers as f64 * RUN_LENGTH_MS as f64 / 1000.0;
        Results {
            utilisation: self.busy_slots as f64 / offered as f64,
            largest_gap: gaps[gaps.len() - 1],
            median_gap: gaps[gaps.len() / 2],
            short_wait_p99_ms: self
                .waits
                .get(self.waits.len() * 99 / 100)
                .copied()
                .unwrap_or(u64::MAX),
            bytes_per_second: bytes as f64 / router_seconds,
            cpu_percent: elapsed.as_secs_f64() * 100.0 / router_seconds,
        }
    }
}

fn gap(from: &[u64], to: &[u64]) -> u64 {
    let received = from.iter().zip(to).map(|(from, to)| to - from);
    let (least, most) = received.fold((u64::MAX, 0), |(a, b), one| (a.min(one), b.max(one)));
    most - least
}
