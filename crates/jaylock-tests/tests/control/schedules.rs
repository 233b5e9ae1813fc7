//! Concurrent callers under random faults, held against the history.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use compio::time::sleep;
use futures_util::StreamExt;
use googletest::prelude::*;
use jaylock_control::ConfigView;
use jaylock_rpc::v1::control_server::Control;
use jaylock_rpc::v1::{Configuration, Instance, WatchRequest};
use jaylock_tests::seeded;
use proptest::prelude::*;
use proptest::test_runner::{Config, TestError, TestRunner};

use crate::commands::create;
use crate::group::{Group, PATIENCE};
use crate::history::History;

const MACHINES: usize = 4;
const REPLICAS: usize = 3;
const POOL: &str = "pool";
/// Calls that a mended group must answer.
const ANSWERS: usize = 30;

#[derive(Debug, Clone, Copy)]
enum Fault {
    Kill,
    Start,
    Cut,
    Freeze,
    Mend,
    Wipe,
    StepDown,
    FreezeInstance,
}

/// A fault at a machine, and the pause before it in ms.
type Step = (u64, usize, Fault);

fn schedule() -> impl Strategy<Value = Vec<Step>> {
    let fault = prop_oneof![
        3 => Just(Fault::Kill),
        4 => Just(Fault::Start),
        2 => Just(Fault::Cut),
        2 => Just(Fault::Freeze),
        4 => Just(Fault::Mend),
        1 => Just(Fault::Wipe),
        1 => Just(Fault::StepDown),
        2 => Just(Fault::FreezeInstance),
    ];
    prop::collection::vec((5_u64..140, 0..MACHINES, fault), 10..25)
}

/// One run: the machines, and the instances that renew leases and follow.
struct Run {
    group: Group,
    history: History,
    instances: Vec<Follower>,
    wiped: RefCell<Option<(String, u64)>>,
    stop: Cell<bool>,
}

#[derive(Default)]
struct Follower {
    view: ConfigView,
    lease_end: Cell<Option<Instant>>,
    frozen: Cell<bool>,
}

impl Run {
    async fn faults(&self, steps: &[Step]) {
        for (pause, at, fault) in steps {
            sleep(Duration::from_millis(*pause)).await;
            self.fault(*at, *fault).await;
        }
        for at in 0..MACHINES {
            self.mend(at).await;
        }
        self.recover().await;
        sleep(self.group.settings.instance_lease).await;
        self.stop.set(true);
    }

    /// Waits until the mended group has answered calls again.
    async fn recover(&self) {
        let wanted = self.history.length() + ANSWERS;
        let started = Instant::now();
        while self.history.length() < wanted {
            if started.elapsed() > PATIENCE {
                let answered = ANSWERS + self.history.length() - wanted;
                self.history.fault(format!(
                    "only {answered} calls were answered after the faults"
                ));
                return;
            }
            sleep(Duration::from_millis(5)).await;
        }
    }

    async fn fault(&self, at: usize, fault: Fault) {
        let machine = self.group.machine(at);
        match fault {
            Fault::Kill => machine.kill(),
            Fault::Start => self.group.start(at).await.expect("a replica"),
            Fault::Cut => machine.cut.set(true),
            Fault::Freeze => machine.medium.frozen.set(true),
            Fault::Mend => self.mend(at).await,
            Fault::Wipe => self.wipe(at).await,
            Fault::FreezeInstance => {
                let frozen = &self.instances[at].frozen;
                frozen.set(!frozen.get());
            }
            Fault::StepDown => {
                if let Some(replica) = machine.replica() {
                    replica.step_down().await;
                }
            }
        }
    }

    async fn mend(&self, at: usize) {
        let machine = self.group.machine(at);
        machine.cut.set(false);
        machine.medium.frozen.set(false);
        self.instances[at].frozen.set(false);
        self.group.start(at).await.expect("a replica");
    }

    /// Loses a disk, once the loss before is repaired: two at once may lose a majority.
    async fn wipe(&self, at: usize) {
        for other in 0..MACHINES {
            if let Some(configuration) = self.group.read_from(other).await {
                return self.wipe_under(at, &configuration).await;
            }
        }
    }

    async fn wipe_under(&self, at: usize, configuration: &Configuration) {
        let voters = configuration.members.iter().filter(|m| m.voter);
        let repaired = match &*self.wiped.borrow() {
            Some((name, old)) => {
                let back =
                    |m: &&jaylock_rpc::v1::Member| m.instance == *name && m.generation != *old;
                voters.clone().any(|m| back(&m))
            }
            None => true,
        };
        let machine = self.group.machine(at);
        let name = &machine.member.instance;
        let Some(member) = voters.clone().find(|m| m.instance == *name) else {
            return;
        };
        if repaired && voters.count() == REPLICAS {
            *self.wiped.borrow_mut() = Some((name.clone(), member.generation));
            machine.kill();
            machine.medium.wipe();
            self.group.start(at).await.expect("a replica");
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
            let applied = self.group.propose(create(&id, Some(expected))).await;
            self.history.note_write(start, &id, &applied);
            expected = match applied.result {
                Some(jaylock_rpc::v1::applied::Result::Conflict(revision)) => revision,
                _ => applied.revision,
            };
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Reads from one machine after another, so that a stale leader would be asked too.
    async fn read(&self) {
        while !self.stop.get() {
            for at in 0..MACHINES {
                let start = self.history.tick();
                if let Some(configuration) = self.group.read_from(at).await {
                    self.history.note_read(start, &configuration);
                }
            }
            sleep(Duration::from_millis(5)).await;
        }
    }

    async fn follow(&self, at: usize) {
        let own = &self.instances[at];
        for turn in at.. {
            if self.stop.get() {
                return;
            }
            sleep(Duration::from_millis(10)).await;
            let Some(replica) = self.group.machine(turn % MACHINES).replica() else {
                continue;
            };
            let index = own.view.index().0;
            let request = tonic::Request::new(WatchRequest {
                index,
                whole: false,
            });
            let mut stream = replica
                .control_service()
                .watch(request)
                .await
                .expect("a stream")
                .into_inner();
            let pause = Duration::from_millis(100);
            while let Ok(Some(Ok(reply))) = compio::time::timeout(pause, stream.next()).await {
                if own.frozen.get() {
                    break;
                }
                let before = own.view.revision();
                if !own.view.apply_changes(&reply) {
                    self.history
                        .fault(format!("changes do not fit index {index}"));
                }
                self.history.note_content(&own.view.current());
                if own.view.revision() < before {
                    self.history.fault(format!("a revision fell from {before}"));
                }
            }
        }
    }

    async fn renew(&self, at: usize) {
        let instance = Instance {
            incarnation: 1,
            disk: true,
            id: self.group.machine(at).member.instance.clone(),
            peer_address: self.group.machine(at).member.peer_address.clone(),
            domain: self.group.machine(at).member.domain.clone(),
            ..Instance::default()
        };
        while !self.stop.get() {
            sleep(Duration::from_millis(20)).await;
            if self.instances[at].frozen.get() {
                continue;
            }
            for machine in 0..MACHINES {
                let sent = Instant::now();
                let renewed = self.group.renew_at(machine, &instance, &[POOL]).await;
                if let Some(reply) = renewed {
                    let end = sent + Duration::from_millis(reply.lease_ms.into());
                    self.hold(at, reply.index, end).await;
                }
            }
        }
    }

    /// Holds a lease once the configuration it was renewed under is in force.
    async fn hold(&self, at: usize, index: u64, end: Instant) {
        let own = &self.instances[at];
        while Instant::now() < end && !self.stop.get() {
            if own.view.index().0 >= index {
                own.lease_end.set(Some(end));
                return;
            }
            sleep(Duration::from_millis(1)).await;
        }
    }

    /// Watches that no lease is held twice.
    async fn guard(&self) {
        while !self.stop.get() {
            let leaders = self.group.leaders();
            if leaders.len() > 1 {
                self.history.fault(format!("{leaders:?} lead at once"));
            }
            let holds = |at: &usize| {
                let own = &self.instances[*at];
                let configuration = own.view.current();
                let name = &self.group.machine(*at).member.instance;
                let named = configuration
                    .pools
                    .iter()
                    .any(|p| p.pool == POOL && p.instance == *name);
                named && own.lease_end.get().is_some_and(|end| Instant::now() < end)
            };
            let holders: Vec<usize> = (0..MACHINES).filter(holds).collect();
            if holders.len() > 1 {
                self.history
                    .fault(format!("{holders:?} hold the pool at once"));
            }
            sleep(Duration::from_millis(1)).await;
        }
    }

    async fn run(&self, steps: &[Step]) {
        let followers = (0..MACHINES).map(|at| self.follow(at));
        let renewals = (0..MACHINES).map(|at| self.renew(at));
        futures_util::join!(
            self.faults(steps),
            self.guard(),
            self.read(),
            self.read(),
            self.write("a"),
            self.write("b"),
            futures_util::future::join_all(followers),
            futures_util::future::join_all(renewals),
        );
    }
}

async fn violations(steps: &[Step]) -> Vec<String> {
    let mut group = Group::new(MACHINES, REPLICAS).await;
    group.settings.snapshot_entries = 60;
    let run = Run {
        group,
        history: History::default(),
        instances: (0..MACHINES).map(|_| Follower::default()).collect(),
        wiped: RefCell::default(),
        stop: Cell::new(false),
    };
    run.run(steps).await;
    run.history.violations()
}

/// Runs random schedules and fails with the first that breaks a promise.
fn hold(cases: u32, kept: impl Fn(&Fault) -> bool) {
    let config = Config {
        max_shrink_iters: 10,
        ..seeded(cases)
    };
    let steps = schedule().prop_map(|mut steps| {
        steps.retain(|(_, _, fault)| kept(fault));
        steps
    });
    let outcome = TestRunner::new(config).run(&steps, |steps| {
        let runtime = compio::runtime::Runtime::new().expect("a runtime");
        let found = runtime.block_on(violations(&steps));
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

/// The leader restarts when it has written a new generation of a replica but knows of no commit.
const REBORN: [Step; 8] = [
    (127, 0, Fault::Start),
    (31, 1, Fault::Kill),
    (96, 2, Fault::Wipe),
    (26, 2, Fault::Mend),
    (98, 0, Fault::Start),
    (6, 1, Fault::Start),
    (55, 0, Fault::Start),
    (14, 0, Fault::Kill),
];

jaylock_tests::cases! {
    async a_new_generation_learns_the_first_members => {
        for _ in 0..4 {
            expect_that!(violations(&REBORN).await, is_empty());
        }
    };
    kills_and_lost_disks_break_no_promise => {
        hold(6, |fault| !matches!(fault, Fault::Cut | Fault::Freeze | Fault::FreezeInstance));
    };
    cuts_and_freezes_break_no_promise => {
        hold(6, |fault| !matches!(fault, Fault::Kill | Fault::Wipe));
    };
    all_faults_together_break_no_promise => {
        hold(8, |_| true);
    };
}
