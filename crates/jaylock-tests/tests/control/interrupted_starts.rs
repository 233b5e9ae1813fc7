//! Checks the history of concurrent callers under random interruptions of the first start.

use std::cell::Cell;
use std::time::{Duration, Instant};

use compio::time::sleep;
use jaylock_tests::seeded_config;
use proptest::prelude::*;
use proptest::test_runner::{Config, TestError, TestRunner};

use crate::commands::create_organisation;
use crate::failures::{voters, while_renewing_leases};
use crate::first_starts::{SEEDS, first_start, later_start, stopped_group};
use crate::group::{Group, TIMEOUT};
use crate::history::History;

/// Machines with a disk, the first of which are the seeds.
const MACHINES: usize = 5;
/// Number of changes that must be acknowledged after all interruptions.
const LAST_CHANGES: u64 = 10;

#[derive(Debug, Clone, Copy)]
enum Interruption {
    /// Starts a machine; a restart is told so, and gets other seeds, as the flags say.
    Start {
        is_told: bool,
        has_other_seeds: bool,
    },
    Kill,
    /// Loses the disk of a machine, the same one each time, as a second loss may take a majority.
    Wipe,
    Isolate,
    Suspend,
    SlowDisk,
    Repair,
}

/// The pause before an interruption in ms, the machine, and the interruption.
type Step = (u64, usize, Interruption);

fn schedule() -> impl Strategy<Value = Vec<Step>> {
    let start = any::<(bool, bool)>().prop_map(|(is_told, has_other_seeds)| Interruption::Start {
        is_told,
        has_other_seeds,
    });
    let interruption = prop_oneof![
        8 => start,
        4 => Just(Interruption::Kill),
        1 => Just(Interruption::Wipe),
        1 => Just(Interruption::Isolate),
        1 => Just(Interruption::Suspend),
        2 => Just(Interruption::SlowDisk),
        3 => Just(Interruption::Repair),
    ];
    prop::collection::vec((0_u64..40, 0..MACHINES, interruption), 5..30)
}

/// One run of a schedule.
struct Run {
    group: Group,
    history: History,
    /// Whether each machine has been started before.
    was_started: [Cell<bool>; MACHINES],
    /// The only machine whose disk may be lost, and that may be told of a restart before it has written anything.
    lost: Cell<Option<usize>>,
    is_over: Cell<bool>,
}

impl Run {
    async fn interrupt(&self, at: usize, interruption: Interruption) {
        let machine = self.group.machine(at);
        match interruption {
            Interruption::Start {
                is_told,
                has_other_seeds,
            } => self.start(at, is_told, has_other_seeds).await,
            Interruption::Kill => machine.kill(),
            Interruption::Wipe => {
                if self.may_lose(at) && self.was_started[at].get() {
                    machine.kill();
                    machine.disk.wipe();
                    self.start(at, true, false).await;
                }
            }
            Interruption::Isolate => machine.is_isolated.set(true),
            Interruption::Suspend => machine.disk.is_suspended.set(true),
            Interruption::SlowDisk => machine.disk.write_delay_ms.set(60),
            Interruption::Repair => self.repair(at),
        }
    }

    fn repair(&self, at: usize) {
        let machine = self.group.machine(at);
        machine.is_isolated.set(false);
        machine.disk.is_suspended.set(false);
        machine.disk.write_delay_ms.set(0);
    }

    /// Whether a machine is the one whose disk may be lost, which the first one to ask becomes.
    fn may_lose(&self, at: usize) -> bool {
        let lost = self.lost.get().unwrap_or(at);
        self.lost.set(Some(lost));
        lost == at
    }

    async fn start(&self, at: usize, is_told: bool, has_other_seeds: bool) {
        // No process starts on a suspended machine.
        if self.group.machine(at).disk.is_suspended.get() {
            return;
        }
        let was_started = self.was_started[at].replace(true);
        let has_written = self.group.machine(at).disk.has_vote();
        let is_later = was_started && is_told && (has_written || self.may_lose(at))
            || self.lost.get() == Some(at);
        let bootstrap = match (is_later, has_other_seeds) {
            (true, true) => later_start(&[at, (at + 1) % MACHINES, (at + 2) % MACHINES]),
            (true, false) => later_start(&SEEDS),
            (false, _) => first_start(&SEEDS),
        };
        self.group.start_as(at, bootstrap).await.expect("a replica");
    }

    async fn inject(&self, steps: &[Step]) {
        for (pause, at, interruption) in steps {
            sleep(Duration::from_millis(*pause)).await;
            self.interrupt(*at, *interruption).await;
        }
        for at in 0..MACHINES {
            self.repair(at);
            self.start(at, true, false).await;
        }
        let started = Instant::now();
        let before = self.history.len();
        while self.history.len() < before + 10 && started.elapsed() < TIMEOUT {
            sleep(Duration::from_millis(5)).await;
        }
        self.is_over.set(true);
    }

    /// Changes and reads the configuration until the schedule is over.
    async fn call(&self, name: &str) {
        let mut revision = 0;
        for turn in 0.. {
            if self.is_over.get() {
                return;
            }
            for at in 0..MACHINES {
                let start = self.history.tick();
                let id = format!("{name}{turn}-{at}");
                let command = create_organisation(&id, Some(revision));
                if let Some(applied) = self.group.propose_to(at, command).await {
                    self.history.record_write(start, &id, &applied);
                    revision = match applied.result {
                        Some(jaylock_rpc::v1::applied::Result::Conflict(newest)) => newest,
                        _ => applied.revision,
                    };
                }
                let start = self.history.tick();
                if let Some(configuration) = self.group.read_from(at).await {
                    self.history.record_read(start, &configuration);
                }
            }
            sleep(Duration::from_millis(2)).await;
        }
    }

    async fn check_leaders(&self) {
        while !self.is_over.get() {
            let leaders = self.group.leaders();
            if leaders.len() > 1 {
                self.history
                    .add_violation(format!("machines {leaders:?} are leaders at the same time"));
            }
            sleep(Duration::from_millis(1)).await;
        }
    }

    /// Commits the last changes with all machines and waits until as many voters as there were seeds are left.
    async fn finish(&self) {
        let mut revision = self.group.read().await.revision;
        for _ in 0..LAST_CHANGES {
            let id = format!("last{revision}");
            let command = create_organisation(&id, Some(revision));
            revision = self.group.propose(command).await.revision;
        }
        let newest = self
            .group
            .wait_until("three replicas vote", |c| voters(c) == SEEDS.len());
        let newest = newest.await.revision;
        if newest != revision {
            self.history
                .add_violation(format!("revision {newest} follows {revision}"));
        }
    }

    async fn run(&self, steps: &[Step]) {
        while_renewing_leases(&self.group, async {
            futures_util::join!(
                self.inject(steps),
                self.check_leaders(),
                self.call("a"),
                self.call("b"),
            );
            self.finish().await;
        })
        .await;
    }
}

async fn violations(steps: &[Step]) -> Vec<String> {
    let run = Run {
        group: stopped_group(MACHINES),
        history: History::default(),
        was_started: std::array::from_fn(|_| Cell::default()),
        lost: Cell::default(),
        is_over: Cell::default(),
    };
    run.run(steps).await;
    run.history.violations()
}

jaylock_tests::cases! {
    one_group_forms_whatever_interrupts_the_first_start => {
        let config = Config {
            max_shrink_iters: 10,
            ..seeded_config(24)
        };
        let outcome = TestRunner::new(config).run(&schedule(), |steps| {
            let runtime = compio::runtime::Runtime::new().expect("a runtime");
            let found = runtime.block_on(violations(&steps));
            prop_assert!(found.is_empty(), "{} violations, first {:?}", found.len(), &found[..found.len().min(5)]);
            Ok(())
        });
        if let Err(TestError::Fail(reason, steps)) = outcome {
            panic!("{reason} under {steps:?}");
        }
        outcome.expect("a run");
    };
}
