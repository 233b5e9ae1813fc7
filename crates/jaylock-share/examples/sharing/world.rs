//! Virtual time: engines that generate at a steady rate, faults, and what is measured.

use std::time::{Duration, Instant};

use crate::design::{Design, Fault};
use crate::work::{Deployment, Job, Work};

/// Length of a step in ms.
pub const STEP: u64 = 2;
/// Tokens a second of one slot.
const RATE: u64 = 40;
/// Length of a run in ms.
const LENGTH: u64 = 180_000;
/// Time in ms before anything is measured.
const WARM_UP: u64 = 20_000;
/// Time in ms between looks at the service received.
const SAMPLE: u64 = 1000;
/// Samples in the window over which a gap is taken.
const WINDOW: usize = 60;
/// Time in ms between two messages of progress to the design.
const PROGRESS: u64 = 100;

/// What befalls a fleet during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    Calm,
    SchedulerReplaced,
    RouterLost,
    RouterCutOff,
    OneRouter,
}

impl Scenario {
    pub const ALL: [Self; 5] = [
        Self::Calm,
        Self::SchedulerReplaced,
        Self::RouterLost,
        Self::RouterCutOff,
        Self::OneRouter,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Self::Calm => "calm",
            Self::SchedulerReplaced => "scheduler replaced",
            Self::RouterLost => "router lost 10 s",
            Self::RouterCutOff => "router cut off 10 s",
            Self::OneRouter => "all on one router",
        }
    }

    fn fault(self, now: u64) -> Option<Fault> {
        match (self, now) {
            (Self::SchedulerReplaced, 80_000) => Some(Fault::SchedulerLost),
            (Self::SchedulerReplaced, 83_000) => Some(Fault::SchedulerStarted),
            (Self::RouterLost, 80_000) => Some(Fault::RouterLost(2)),
            (Self::RouterLost, 90_000) => Some(Fault::RouterStarted(2)),
            (Self::RouterCutOff, 80_000) => Some(Fault::RouterCut(2)),
            (Self::RouterCutOff, 90_000) => Some(Fault::RouterJoined(2)),
            _ => None,
        }
    }
}

/// What a run showed.
#[derive(Debug, Default)]
pub struct Figures {
    pub utilisation: f64,
    pub largest_gap: u64,
    pub median_gap: u64,
    pub lookup_p99: u64,
    pub bytes: f64,
    pub processor: f64,
}

pub struct World {
    deployment: Deployment,
    scenario: Scenario,
    work: Work,
    jobs: Vec<Job>,
    lost: Vec<bool>,
    served: Vec<u64>,
    samples: Vec<Vec<u64>>,
    used: u64,
    waits: Vec<u64>,
}

impl World {
    pub fn new(deployment: Deployment, scenario: Scenario, seed: u64) -> Self {
        let work = Work::new(deployment, seed, scenario == Scenario::OneRouter);
        Self {
            deployment,
            scenario,
            work,
            jobs: Vec::new(),
            lost: vec![false; deployment.routers],
            served: vec![0; deployment.organisations],
            samples: Vec::new(),
            used: 0,
            waits: Vec::new(),
        }
    }

    pub fn run(mut self, design: &mut dyn Design) -> Figures {
        let mut spent = Duration::ZERO;
        for now in (0..LENGTH).step_by(STEP as usize) {
            if let Some(fault) = self.scenario.fault(now) {
                self.befall(fault);
                design.befall(fault, now);
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
            if now.is_multiple_of(PROGRESS) {
                for job in self.jobs.iter().filter(|job| job.started.is_some()) {
                    design.progress(job, now);
                }
            }
            let started = design.step(now);
            spent += start.elapsed();
            self.jobs.extend(arrivals);
            for (id, engine) in started {
                self.start(id, engine, now);
            }
            self.measure(now);
        }
        self.figures(design.bytes(), spent)
    }

    fn arrivals(&mut self, now: u64) -> Vec<Job> {
        let mut waiting = vec![0; self.deployment.organisations];
        for job in self.jobs.iter().filter(|job| job.started.is_none()) {
            waiting[job.organisation] += 1;
        }
        self.work.arrivals(now, STEP, &waiting, &self.lost)
    }

    fn generate(&mut self, now: u64) -> Vec<Job> {
        for job in &mut self.jobs {
            let Some(started) = job.started else { continue };
            let tokens = ((now - started) * RATE / 1000).min(job.cost);
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
        if now >= WARM_UP && job.is_lookup() && job.organisation >= self.deployment.backlogged {
            self.waits.push(now - job.arrived);
        }
    }

    fn befall(&mut self, fault: Fault) {
        if let Fault::RouterLost(router) = fault {
            self.lost[router] = true;
            self.jobs.retain(|job| job.router != router);
        }
        if let Fault::RouterStarted(router) = fault {
            self.lost[router] = false;
        }
    }

    fn measure(&mut self, now: u64) {
        if now < WARM_UP {
            return;
        }
        let slots = self.deployment.slots;
        for engine in 0..self.deployment.engines {
            let runs = |job: &&Job| job.started.is_some() && job.engine == engine;
            // What an engine is given above its slots adds nothing.
            self.used += self.jobs.iter().filter(runs).count().min(slots) as u64;
        }
        if now.is_multiple_of(SAMPLE) {
            self.samples
                .push(self.served[..self.deployment.backlogged].to_vec());
        }
    }

    fn figures(mut self, bytes: u64, spent: Duration) -> Figures {
        let windows = self.samples.iter().zip(&self.samples[WINDOW..]);
        let mut gaps: Vec<u64> = windows.map(|(from, to)| gap(from, to)).collect();
        gaps.sort_unstable();
        self.waits.sort_unstable();
        let steps = (LENGTH - WARM_UP) / STEP;
        let offered = steps * (self.deployment.engines * self.deployment.slots) as u64;
        let nodes = self.deployment.routers as f64 * LENGTH as f64 / 1000.0;
        Figures {
            utilisation: self.used as f64 / offered as f64,
            largest_gap: gaps[gaps.len() - 1],
            median_gap: gaps[gaps.len() / 2],
            lookup_p99: self
                .waits
                .get(self.waits.len() * 99 / 100)
                .copied()
                .unwrap_or(u64::MAX),
            bytes: bytes as f64 / nodes,
            processor: spent.as_secs_f64() * 100.0 / nodes,
        }
    }
}

fn gap(from: &[u64], to: &[u64]) -> u64 {
    let gained = from.iter().zip(to).map(|(from, to)| to - from);
    let (least, most) = gained.fold((u64::MAX, 0), |(a, b), one| (a.min(one), b.max(one)));
    most - least
}
