use std::process::ExitStatus;
use std::thread;
use std::time::{Duration, Instant};

use std::os::unix::process::ExitStatusExt;

use rustix::process::Signal;

use super::plan::{Action, Step};
use super::world::{Counts, World};
use super::{CONTROL_COUNT, STOP_TIME};
use crate::harness::TestFleet;

/// Time between two checks of all instances.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Pause before an instance that has ended is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(500);
/// Time after its start in which an instance may not know what SIGHUP means.
const START_TIME: Duration = Duration::from_secs(1);

/// Plays faults, starts instances again and notices those that end by themselves.
pub struct Injector<'a> {
    fleet: &'a mut TestFleet,
    world: &'a World,
    instances: Vec<InstanceState>,
}

struct InstanceState {
    phase: Phase,
    is_suspended: bool,
    /// Limit on the size of files, in bytes.
    limit: Option<u64>,
}

#[derive(Debug, Clone, Copy)]
enum Phase {
    Running {
        since: Instant,
    },
    Terminating {
        since: Instant,
    },
    /// Down until a step starts it.
    Down,
    /// Down until it is started again.
    Restarting {
        at: Instant,
    },
}

impl<'a> Injector<'a> {
    /// Takes over a fleet whose instances all run.
    pub fn new(fleet: &'a mut TestFleet, world: &'a World) -> Self {
        let count = world.controls.len() + world.routers.len();
        let since = Instant::now();
        let instances = (0..count).map(|_| InstanceState {
            phase: Phase::Running { since },
            is_suspended: false,
            limit: None,
        });
        Self {
            fleet,
            world,
            instances: instances.collect(),
        }
    }

    /// Plays the steps of a span.
    pub fn play(&mut self, steps: &[Step]) {
        self.world.set_calm(false);
        let started = Instant::now();
        for step in steps {
            while started.elapsed() < step.at {
                self.poll();
                thread::sleep(POLL_INTERVAL);
            }
            self.poll();
            self.apply(*step);
        }
    }

    /// Ends all faults and waits until all instances run.
    pub fn repair(&mut self) {
        for at in 0..self.instances.len() {
            for action in [Action::LiftLimit, Action::Resume, Action::Start] {
                self.apply_action(at, action);
            }
        }
        while !self.instances.iter().all(InstanceState::is_running) {
            self.poll();
            thread::sleep(POLL_INTERVAL);
        }
        self.world.note("fault: all are repaired");
    }

    /// Lets the fleet run without faults.
    pub fn stay_calm(&mut self, time: Duration) {
        self.world.set_calm(true);
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.poll();
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn apply(&mut self, step: Step) {
        let Step {
            instance, action, ..
        } = step;
        if self.apply_action(instance, action) {
            Counts::add(&self.world.counts.faults);
        }
    }

    /// Applies an action; returns false where the state of the instance doesn't allow it.
    fn apply_action(&mut self, at: usize, action: Action) -> bool {
        let is_applied = match (action, self.instances[at].phase) {
            (Action::Start, Phase::Down) => self.start(at),
            (Action::LoseDisk, Phase::Down) => self.lose_disk(at),
            (Action::LiftLimit, Phase::Down | Phase::Restarting { .. }) => {
                self.instances[at].limit.take().is_some()
            }
            (Action::Start | Action::LoseDisk, _) | (_, Phase::Down | Phase::Restarting { .. }) => {
                false
            }
            (Action::Kill, _) => self.kill(at),
            (Action::Terminate, Phase::Running { .. }) => self.terminate(at),
            (Action::Terminate, _) => false,
            (Action::Suspend | Action::Resume, _) => {
                self.set_suspended(at, matches!(action, Action::Suspend))
            }
            (Action::Reload, Phase::Running { since }) if since.elapsed() < START_TIME => false,
            (Action::Reload, _) => self.send(at, Signal::HUP),
            (Action::Send(signal), _) => self.send(at, signal),
            (Action::Limit(size), _) => self.limit(at, Some(size)),
            (Action::LiftLimit, _) => self.instances[at].limit.is_some() && self.limit(at, None),
        };
        if is_applied {
            self.world.note(&format!("fault: n{at} {action:?}"));
        }
        is_applied
    }

    fn start(&mut self, at: usize) -> bool {
        self.fleet.start_instance(at, false);
        if let Some(limit) = self.instances[at].limit {
            self.fleet.process(at).limit_files(Some(limit));
        }
        let since = Instant::now();
        self.instances[at].phase = Phase::Running { since };
        true
    }

    fn kill(&mut self, at: usize) -> bool {
        self.fleet.kill(at);
        self.set_down(at, Phase::Down);
        true
    }

    fn lose_disk(&mut self, at: usize) -> bool {
        if at < CONTROL_COUNT {
            self.fleet.lose_disk(at);
        }
        at < CONTROL_COUNT
    }

    fn terminate(&mut self, at: usize) -> bool {
        let since = Instant::now();
        self.instances[at].phase = Phase::Terminating { since };
        self.send(at, Signal::TERM)
    }

    fn set_suspended(&mut self, at: usize, is_suspended: bool) -> bool {
        if self.instances[at].is_suspended == is_suspended {
            return false;
        }
        self.instances[at].is_suspended = is_suspended;
        let signal = if is_suspended {
            Signal::STOP
        } else {
            Signal::CONT
        };
        self.send(at, signal)
    }

    fn limit(&mut self, at: usize, size: Option<u64>) -> bool {
        self.instances[at].limit = size;
        self.fleet.process(at).limit_files(size);
        true
    }

    /// Sends a signal, unless the process has just ended.
    fn send(&mut self, at: usize, signal: Signal) -> bool {
        let process = self.fleet.process(at);
        let is_running = !process.has_ended();
        if is_running {
            process.send(signal);
        }
        is_running
    }

    fn set_down(&mut self, at: usize, phase: Phase) {
        self.instances[at].phase = phase;
        self.instances[at].is_suspended = false;
    }

    /// Notices ends and starts instances again.
    fn poll(&mut self) {
        for at in 0..self.instances.len() {
            match self.instances[at].phase {
                Phase::Running { .. } => self.poll_running(at),
                Phase::Terminating { since } => self.poll_terminating(at, since),
                Phase::Restarting { at: moment } if Instant::now() >= moment => {
                    self.world.note(&format!("fault: n{at} starts again"));
                    self.start(at);
                }
                Phase::Restarting { .. } | Phase::Down => {}
            }
        }
    }

    fn poll_running(&mut self, at: usize) {
        if let Some(status) = self.fleet.process(at).exit_status() {
            self.world
                .report(format!("n{at} ended by itself: {status}"));
            self.restart(at);
        }
    }

    fn poll_terminating(&mut self, at: usize, since: Instant) {
        match self.fleet.process(at).exit_status() {
            Some(status) if !is_planned(status) => {
                self.world
                    .report(format!("n{at} ended after SIGTERM: {status}"));
                self.restart(at);
            }
            Some(_) => self.restart(at),
            None if since.elapsed() > STOP_TIME => {
                self.world
                    .note(&format!("fault: n{at} is killed after SIGTERM"));
                self.restart(at);
            }
            None => {}
        }
    }

    fn restart(&mut self, at: usize) {
        self.fleet.kill(at);
        let moment = Instant::now() + RESTART_PAUSE;
        self.set_down(at, Phase::Restarting { at: moment });
    }
}

impl InstanceState {
    fn is_running(&self) -> bool {
        matches!(self.phase, Phase::Running { .. })
    }
}

/// Whether SIGTERM alone explains an end.
fn is_planned(status: ExitStatus) -> bool {
    status.success() || status.signal() == Some(Signal::TERM.as_raw())
}
