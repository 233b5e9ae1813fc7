use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rustix::process::Signal;

use super::CONTROL_COUNT;
use super::world::World;

/// Time in which the faults of a span begin.
const SPAN: Duration = Duration::from_secs(5);
/// Numbers of faults in a span.
const MIN_FAULTS: usize = 3;
const MAX_FAULTS: usize = 8;
/// Signals that tell a process nothing.
const STRAY_SIGNALS: [Signal; 4] = [Signal::USR1, Signal::USR2, Signal::ALARM, Signal::PIPE];

/// Kinds of faults that are drawn only on request.
#[derive(Debug, Clone, Copy)]
pub struct FaultKinds {
    /// Limits on the size of files.
    pub file_limits: bool,
    /// Signals without a meaning for the process.
    pub stray_signals: bool,
}

/// What happens to an instance at a moment of a span.
#[derive(Debug, Clone, Copy)]
pub struct Step {
    pub at: Duration,
    pub instance: usize,
    pub action: Action,
}

#[derive(Debug, Clone, Copy)]
pub enum Action {
    Kill,
    /// Deletes the data of an instance that is down.
    LoseDisk,
    Start,
    /// Sends SIGTERM; the instance is started again after its end.
    Terminate,
    Suspend,
    Resume,
    /// Sends SIGHUP.
    Reload,
    Send(Signal),
    /// Limits the size of files, in bytes.
    Limit(u64),
    LiftLimit,
}

impl FaultKinds {
    /// Reads from `JAYLOCK_FAULTS` which further kinds are drawn; `limits,signals` if it isn't set.
    pub fn from_environment() -> Self {
        let names = std::env::var("JAYLOCK_FAULTS").unwrap_or_else(|_| "limits,signals".into());
        Self {
            file_limits: names.contains("limits"),
            stray_signals: names.contains("signals"),
        }
    }
}

/// Draws the faults of a span, in the order of their moments.
pub fn draw(rng: &mut SmallRng, kinds: FaultKinds, world: &World) -> Vec<Step> {
    let count = CONTROL_COUNT + world.routers.len();
    let mut plan = Plan {
        rng,
        count,
        steps: Vec::new(),
    };
    if plan.rng.random_ratio(1, 2) {
        plan.lose_disk();
    }
    for _ in 0..plan.rng.random_range(MIN_FAULTS..=MAX_FAULTS) {
        plan.draw_fault(kinds);
    }
    let mut steps = plan.steps;
    steps.sort_by_key(|step| step.at);
    steps
}

struct Plan<'a> {
    rng: &'a mut SmallRng,
    count: usize,
    steps: Vec<Step>,
}

impl Plan<'_> {
    fn draw_fault(&mut self, kinds: FaultKinds) {
        let instance = self.rng.random_range(0..self.count);
        match self.rng.random_range(0..12) {
            0 | 1 => self.interrupt(instance, Action::Kill, Action::Start, 2000),
            2 => self.kill_in_series(instance),
            3 | 4 => self.add(instance, Action::Terminate),
            5 | 6 => self.interrupt(instance, Action::Suspend, Action::Resume, 4000),
            7 => self.reload_in_series(instance),
            8 => self.kill_control(),
            9 if kinds.stray_signals => {
                let signal = *STRAY_SIGNALS.choose(self.rng).expect("a signal");
                self.add(instance, Action::Send(signal));
            }
            10 if kinds.file_limits => self.limit(),
            11 if kinds.file_limits => self.limit_in_turn(),
            _ => self.interrupt(instance, Action::Kill, Action::Start, 200),
        }
    }

    fn lose_disk(&mut self) {
        let instance = self.rng.random_range(0..CONTROL_COUNT);
        let at = self.moment();
        self.push(at, instance, Action::Kill);
        self.push(at, instance, Action::LoseDisk);
        let pause = self.duration(1500);
        self.push(at + pause, instance, Action::Start);
    }

    /// An action and its end at most this many ms later.
    fn interrupt(&mut self, instance: usize, begin: Action, end: Action, max_ms: u64) {
        let at = self.moment();
        self.push(at, instance, begin);
        let pause = self.duration(max_ms);
        self.push(at + pause, instance, end);
    }

    fn kill_in_series(&mut self, instance: usize) {
        let mut at = self.moment();
        for _ in 0..self.rng.random_range(2..6) {
            self.push(at, instance, Action::Kill);
            at += self.duration(200);
            self.push(at, instance, Action::Start);
            at += self.duration(600);
        }
    }

    fn reload_in_series(&mut self, instance: usize) {
        let mut at = self.moment();
        for _ in 0..self.rng.random_range(2..12) {
            self.push(at, instance, Action::Reload);
            at += self.duration(100);
        }
    }

    /// Kills all instances that serve control; each is back within a second.
    fn kill_control(&mut self) {
        let at = self.moment();
        for instance in 0..CONTROL_COUNT {
            self.push(at, instance, Action::Kill);
            let pause = self.duration(1000);
            self.push(at + pause, instance, Action::Start);
        }
    }

    /// A full disk: nothing more at all, or some more bytes.
    fn limit(&mut self) {
        let instance = self.rng.random_range(0..CONTROL_COUNT);
        let size = self.limit_size();
        self.interrupt(instance, Action::Limit(size), Action::LiftLimit, 4000);
    }

    /// Full disks of the instances that serve control, one after another.
    fn limit_in_turn(&mut self) {
        let mut instances: Vec<usize> = (0..CONTROL_COUNT).collect();
        instances.shuffle(self.rng);
        let mut at = Duration::ZERO;
        for instance in instances {
            let size = self.limit_size();
            self.push(at, instance, Action::Limit(size));
            at += self.duration(4000);
            self.push(at, instance, Action::LiftLimit);
        }
    }

    fn limit_size(&mut self) -> u64 {
        match self.rng.random_range(0..3) {
            0 => 0,
            1 => self.rng.random_range(1..4096),
            _ => self.rng.random_range(4096..2 << 20),
        }
    }

    fn add(&mut self, instance: usize, action: Action) {
        let at = self.moment();
        self.push(at, instance, action);
    }

    fn push(&mut self, at: Duration, instance: usize, action: Action) {
        self.steps.push(Step {
            at,
            instance,
            action,
        });
    }

    fn moment(&mut self) -> Duration {
        SPAN.mul_f64(self.rng.random())
    }

    fn duration(&mut self, max_ms: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(0..=max_ms))
    }
}
