//! Random schedules of disks that are full, fail or are slow.

use std::cell::Cell;
use std::time::{Duration, Instant};

use compio::time::sleep;
use jaylock_control::FileName;
use jaylock_rpc::v1::command::Body;
use jaylock_rpc::v1::{Command, Organisation};
use jaylock_tests::seeded_config;
use proptest::prelude::*;
use proptest::test_runner::{Config, TestError, TestRunner};

use crate::disk::FailingStep;
use crate::failures::while_renewing_leases;
use crate::group::{Group, TIMEOUT};
use crate::history::History;

/// Size of a change, so that some are larger than the space that a full disk has left.
const CHANGE_BYTES: usize = 2 << 10;
/// Number of calls that must succeed after all disks are repaired.
const RECOVERY_REPLIES: usize = 30;

/// A group and how many of its disks fail at the same time.
#[derive(Debug, Clone, Copy)]
struct Layout {
    replicas: usize,
    voters: usize,
    replace_after: Duration,
    most_faulty: usize,
}

#[derive(Debug, Clone, Copy)]
enum Fault {
    /// Leaves room for so many bytes.
    Fill(usize),
    Fail(FileName, FailingStep),
    /// Lets a write take so many ms.
    Slow(u64),
    Repair,
    Kill,
    LosePower,
    Start,
    StepDown,
}

/// The pause before a fault in ms, the machine, and the fault.
type Step = (u64, usize, Fault);

fn fault() -> impl Strategy<Value = Fault> {
    let file = prop::sample::select(FileName::ALL.to_vec());
    let step = prop::sample::select(vec![
        FailingStep::Open,
        FailingStep::Write,
        FailingStep::Sync,
        FailingStep::Close,
        FailingStep::Truncate,
    ]);
    prop_oneof![
        6 => (0..CHANGE_BYTES * 8).prop_map(Fault::Fill),
        3 => (file, step).prop_map(|(file, step)| Fault::Fail(file, step)),
        2 => (10_u64..120).prop_map(Fault::Slow),
        5 => Just(Fault::Repair),
        1 => Just(Fault::Kill),
        1 => Just(Fault::LosePower),
        2 => Just(Fault::Start),
        1 => Just(Fault::StepDown),
    ]
}

/// A run of one schedule.
struct Run {
    group: Group,
    layout: Layout,
    history: History,
    stop: Cell<bool>,
}

impl Run {
    async fn inject_faults(&self, steps: &[Step]) {
        for (pause, at, fault) in steps {
            sleep(Duration::from_millis(*pause)).await;
            self.inject_fault(at % self.layout.replicas, *fault).await;
        }
        for at in 0..self.layout.replicas {
            self.repair(at).await;
        }
        self.recover().await;
        self.stop.set(true);
    }

    async fn inject_fault(&self, at: usize, fault: Fault) {
        let machine = self.group.machine(at);
        match fault {
            Fault::Repair => self.repair(at).await,
            Fault::Start => self.group.start(at).await.expect("a replica"),
            Fault::StepDown => {
                if let Some(replica) = machine.replica() {
                    replica.step_down().await;
                }
            }
            _ if !self.may_fail(at) => {}
            Fault::Fill(free_bytes) => machine.disk.fill(free_bytes),
            Fault::Fail(file, step) => machine.disk.fail(file, step),
            Fault::Slow(ms) => machine.disk.write_delay_ms.set(ms),
            Fault::Kill => machine.kill(),
            Fault::LosePower => {
                machine.kill();
                machine.disk.lose_power();
            }
        }
    }

    fn is_faulty(&self, at: usize) -> bool {
        let machine = self.group.machine(at);
        let halted = machine.replica().map(|r| r.halt_reason().is_some());
        machine.disk.is_faulty() || halted != Some(false)
    }

    fn may_fail(&self, at: usize) -> bool {
        let others = (0..self.layout.replicas).filter(|other| *other != at);
        others.filter(|other| self.is_faulty(*other)).count() < self.layout.most_faulty
    }

    async fn repair(&self, at: usize) {
        let machine = self.group.machine(at);
        machine.disk.repair();
        machine.disk.write_delay_ms.set(0);
        self.group.start(at).await.expect("a replica");
    }

    /// Waits until the repaired group has replied to further calls and no replica is halted.
    async fn recover(&self) {
        let target = self.history.len() + RECOVERY_REPLIES;
        let started = Instant::now();
        while self.history.len() < target || (0..self.layout.replicas).any(|at| self.is_faulty(at))
        {
            if started.elapsed() > TIMEOUT {
                let replies = RECOVERY_REPLIES + self.history.len() - target;
                let faulty = (0..self.layout.replicas).filter(|at| self.is_faulty(*at));
                self.history.add_violation(format!(
                    "{replies} calls got a reply after the faults, {:?} are halted",
                    faulty.collect::<Vec<_>>()
                ));
                return;
            }
            sleep(Duration::from_millis(5)).await;
        }
    }

    async fn write(&self, name: &str) {
        let mut expected = 0;
        for turn in 0.. {
            if self.stop.get() {
                return;
            }
            let id = format!("{name}{turn}");
            let start = self.history.tick();
            let Some(applied) = self.propose(&id, expected).await else {
                return;
            };
            self.history.record_write(start, &id, &applied);
            expected = match applied.result {
                Some(jaylock_rpc::v1::applied::Result::Conflict(revision)) => revision,
                _ => applied.revision,
            };
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Sends a change to one replica after another until one has committed it or the run ends.
    async fn propose(&self, id: &str, expected: u64) -> Option<jaylock_rpc::v1::Applied> {
        let command = Command {
            id: format!("create-{id}"),
            expected_revision: Some(expected),
            body: Some(Body::PutOrganisation(Organisation {
                id: id.into(),
                weight: 1,
                key_hashes: (0..CHANGE_BYTES / 32)
                    .map(|at| key_hash(id, at).into())
                    .collect(),
                ..Organisation::default()
            })),
        };
        for at in (0..self.layout.replicas).cycle() {
            if self.stop.get() {
                return None;
            }
            if let Some(applied) = self.group.propose_to(at, command.clone()).await {
                return Some(applied);
            }
            sleep(Duration::from_millis(2)).await;
        }
        None
    }

    async fn read(&self) {
        while !self.stop.get() {
            for at in 0..self.layout.replicas {
                let start = self.history.tick();
                if let Some(configuration) = self.group.read_from(at).await {
                    self.history.record_read(start, &configuration);
                }
            }
            sleep(Duration::from_millis(10)).await;
        }
    }

    async fn check_leaders(&self) {
        while !self.stop.get() {
            let leaders = self.group.leaders();
            if leaders.len() > 1 {
                self.history
                    .add_violation(format!("machines {leaders:?} are leaders at the same time"));
            }
            sleep(Duration::from_millis(1)).await;
        }
    }
}

fn key_hash(id: &str, at: usize) -> Vec<u8> {
    let mut bytes = format!("{id}-{at}").into_bytes();
    bytes.resize(32, b' ');
    bytes
}

async fn violations(layout: Layout, steps: &[Step]) -> Vec<String> {
    let mut group = Group::absent(layout.replicas, layout.replicas);
    group.settings.voters = layout.voters;
    group.settings.replace_after = layout.replace_after;
    group.settings.snapshot_bytes = 16 << 10;
    group.settings.retained_bytes = 8 << 10;
    for at in 0..layout.replicas {
        group.add(at).await;
    }
    let run = Run {
        group,
        layout,
        history: History::default(),
        stop: Cell::new(false),
    };
    while_renewing_leases(&run.group, async {
        futures_util::join!(
            run.inject_faults(steps),
            run.check_leaders(),
            run.read(),
            run.write("a"),
            run.write("b"),
        );
    })
    .await;
    run.history.violations()
}

/// Number of schedules; the environment variable `JAYLOCK_SEEDS` sets another one.
fn case_count(default: u32) -> u32 {
    let count = std::env::var("JAYLOCK_SEEDS").ok();
    count
        .and_then(|count| count.parse().ok())
        .unwrap_or(default)
}

/// Runs random schedules and fails at the first one with a violation.
fn check_schedules(cases: u32, layout: Layout) {
    let config = Config {
        max_shrink_iters: 0,
        ..seeded_config(case_count(cases))
    };
    let steps = prop::collection::vec((5_u64..200, 0_usize..9, fault()), 10..25);
    let outcome = TestRunner::new(config).run(&steps, |steps| {
        let runtime = compio::runtime::Runtime::new().expect("a runtime");
        let found = runtime.block_on(violations(layout, &steps));
        prop_assert!(
            found.is_empty(),
            "{} violations, first {:?}",
            found.len(),
            &found[..found.len().min(5)]
        );
        Ok(())
    });
    if let Err(TestError::Fail(reason, steps)) = outcome {
        panic!("{reason} under {steps:?}");
    }
    outcome.expect("a run");
}

const THREE: Layout = Layout {
    replicas: 3,
    voters: 3,
    replace_after: TIMEOUT,
    most_faulty: 1,
};

/// Five replicas of nine that are wanted, whose lost voters are removed soon.
const FIVE: Layout = Layout {
    replicas: 5,
    voters: 9,
    replace_after: Duration::from_millis(150),
    most_faulty: 2,
};

jaylock_tests::cases! {
    three_replicas_confirm_changes_after_one_disk_at_a_time_fails => {
        check_schedules(4, THREE);
    };

    three_replicas_confirm_changes_after_all_disks_fail => {
        check_schedules(4, Layout { most_faulty: 3, ..THREE });
    };

    five_replicas_confirm_changes_after_one_disk_at_a_time_fails => {
        check_schedules(4, Layout { most_faulty: 1, ..FIVE });
    };

    five_replicas_confirm_changes_after_two_disks_at_a_time_fail => {
        check_schedules(4, FIVE);
    };

    five_replicas_confirm_changes_after_most_disks_fail => {
        check_schedules(4, Layout { most_faulty: 5, ..FIVE });
    };

    nine_replicas_confirm_changes_after_most_disks_fail => {
        check_schedules(2, Layout { replicas: 9, most_faulty: 6, ..FIVE });
    };
}
