//! Checks the history of concurrent callers under random schedules of faults.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use compio::time::sleep;
use futures_util::StreamExt;
use googletest::prelude::*;
use jaylock_control::ConfigView;
use jaylock_rpc::v1::control_server::Control;
use jaylock_rpc::v1::{Configuration, Instance, Member, WatchRequest};
use jaylock_tests::seeded_config;
use proptest::prelude::*;
use proptest::test_runner::{Config, TestError, TestRunner};

use crate::commands::create_organisation;
use crate::group::{Group, TIMEOUT};
use crate::history::History;

/// Machines that are there at the same time.
const MACHINES: usize = 4;
/// Machines that are there one after the other, so that each can be replaced twice.
const ALL_MACHINES: usize = 12;
const REPLICAS: usize = 3;
/// Duration of a write to a slow disk, longer than the leader lease and a reply timeout of the group.
const SLOW_WRITE_MS: u64 = 200;
const POOL: &str = "pool";
/// Number of calls that must succeed after all faults are repaired.
const RECOVERY_REPLIES: usize = 30;

#[derive(Debug, Clone, Copy)]
enum Fault {
    Kill,
    Start,
    Isolate,
    Suspend,
    Repair,
    Wipe,
    /// Removes the machine for good and adds an empty one at another address.
    Replace,
    StepDown,
    SuspendInstance,
    /// Makes each write last longer than the leader lease.
    SlowDisk,
}

/// The pause before a fault in ms, the machine, and the fault.
type Step = (u64, usize, Fault);

fn schedule() -> impl Strategy<Value = Vec<Step>> {
    let fault = prop_oneof![
        3 => Just(Fault::Kill),
        4 => Just(Fault::Start),
        2 => Just(Fault::Isolate),
        2 => Just(Fault::Suspend),
        4 => Just(Fault::Repair),
        1 => Just(Fault::Wipe),
        2 => Just(Fault::Replace),
        1 => Just(Fault::StepDown),
        2 => Just(Fault::SuspendInstance),
        3 => Just(Fault::SlowDisk),
    ];
    prop::collection::vec((5_u64..140, 0..MACHINES, fault), 10..25)
}

/// One run of a schedule: the machines, and the instances that renew leases and follow.
struct Run {
    group: Group,
    history: History,
    instances: Vec<FollowerState>,
    // Machines that are there.
    present: RefCell<Vec<usize>>,
    // The replica that the last lost disk held or its successor holds, and the generation that is lost.
    wiped: RefCell<Option<(String, u64)>>,
    stop: Cell<bool>,
}

#[derive(Default)]
struct FollowerState {
    view: ConfigView,
    lease_end: Cell<Option<Instant>>,
    is_suspended: Cell<bool>,
}

impl Run {
    async fn inject_faults(&self, steps: &[Step]) {
        for (pause, at, fault) in steps {
            sleep(Duration::from_millis(*pause)).await;
            self.inject_fault(*at, *fault).await;
        }
        let present = self.present.borrow().clone();
        for at in present {
            self.repair(at).await;
        }
        self.recover().await;
        sleep(self.group.settings.instance_lease).await;
        self.stop.set(true);
    }

    /// Waits until the repaired group has replied to further calls.
    async fn recover(&self) {
        let target = self.history.len() + RECOVERY_REPLIES;
        let started = Instant::now();
        while self.history.len() < target {
            if started.elapsed() > TIMEOUT {
                let replies = RECOVERY_REPLIES + self.history.len() - target;
                self.history
                    .add_violation(format!("only {replies} calls got a reply after the faults"));
                return;
            }
            sleep(Duration::from_millis(5)).await;
        }
    }

    async fn inject_fault(&self, position: usize, fault: Fault) {
        let at = self.present.borrow()[position];
        let machine = self.group.machine(at);
        match fault {
            Fault::Kill => machine.kill(),
            Fault::Start => self.group.start(at).await.expect("a replica"),
            Fault::Isolate => machine.is_isolated.set(true),
            Fault::Suspend => machine.disk.is_suspended.set(true),
            Fault::SlowDisk => machine.disk.write_delay_ms.set(SLOW_WRITE_MS),
            Fault::Repair => self.repair(at).await,
            Fault::Wipe => self.lose_disk(position, false).await,
            Fault::Replace => self.lose_disk(position, true).await,
            Fault::SuspendInstance => {
                let is_suspended = &self.instances[at].is_suspended;
                is_suspended.set(!is_suspended.get());
            }
            Fault::StepDown => {
                if let Some(replica) = machine.replica() {
                    replica.step_down().await;
                }
            }
        }
    }

    async fn repair(&self, at: usize) {
        let machine = self.group.machine(at);
        machine.is_isolated.set(false);
        machine.disk.is_suspended.set(false);
        machine.disk.write_delay_ms.set(0);
        self.instances[at].is_suspended.set(false);
        self.group.start(at).await.expect("a replica");
    }

    /// Loses a disk if the previous loss is repaired, as two lost disks may lose a majority.
    async fn lose_disk(&self, position: usize, is_replaced: bool) {
        for other in 0..ALL_MACHINES {
            if let Some(configuration) = self.group.read_from(other).await {
                if self.is_repaired(&configuration) {
                    self.wipe(position, is_replaced, &configuration).await;
                }
                return;
            }
        }
    }

    fn is_repaired(&self, configuration: &Configuration) -> bool {
        let voters = configuration.members.iter().filter(|m| m.voter);
        let is_back = match &*self.wiped.borrow() {
            Some((name, old)) => {
                let has_new_generation = |m: &Member| m.instance == *name && m.generation != *old;
                voters.clone().any(has_new_generation)
            }
            None => true,
        };
        is_back && voters.clone().count() == REPLICAS && voters.clone().all(|m| self.has_vote(m))
    }

    /// Whether the disk of a voter holds its vote.
    ///
    /// A first member that was killed before it had stored its vote has lost its disk, too.
    fn has_vote(&self, member: &Member) -> bool {
        let mut machines = self.group.machines().iter();
        let found = machines.find(|machine| machine.member.instance == member.instance);
        found.is_some_and(|machine| machine.disk.has_vote())
    }

    async fn wipe(&self, position: usize, is_replaced: bool, configuration: &Configuration) {
        let at = self.present.borrow()[position];
        let machine = self.group.machine(at);
        let name = &machine.member.instance;
        let mut voters = configuration.members.iter().filter(|m| m.voter);
        let Some(member) = voters.find(|m| m.instance == *name) else {
            return;
        };
        if !is_replaced {
            *self.wiped.borrow_mut() = Some((name.clone(), member.generation));
            machine.kill();
            machine.disk.wipe();
            self.group.start(at).await.expect("a replica");
            return;
        }
        let successor = self.present.borrow().iter().max().expect("a machine") + 1;
        if successor == ALL_MACHINES {
            return;
        }
        *self.wiped.borrow_mut() = Some((self.group.machine(successor).member.instance.clone(), 0));
        machine.remove();
        self.present.borrow_mut()[position] = successor;
        self.group.add(successor).await;
    }

    async fn write(&self, name: &str) {
        let mut expected = 0;
        for turn in 0.. {
            if self.stop.get() {
                return;
            }
            let id = format!("{name}{turn}");
            let start = self.history.tick();
            let applied = self
                .group
                .propose(create_organisation(&id, Some(expected)))
                .await;
            self.history.record_write(start, &id, &applied);
            expected = match applied.result {
                Some(jaylock_rpc::v1::applied::Result::Conflict(revision)) => revision,
                _ => applied.revision,
            };
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Reads from one machine after another, so that a stale leader is read too.
    async fn read(&self) {
        while !self.stop.get() {
            for at in 0..ALL_MACHINES {
                let start = self.history.tick();
                if let Some(configuration) = self.group.read_from(at).await {
                    self.history.record_read(start, &configuration);
                }
            }
            sleep(Duration::from_millis(5)).await;
        }
    }

    async fn follow(&self, at: usize) {
        let follower = &self.instances[at];
        for turn in at.. {
            if self.stop.get() {
                return;
            }
            sleep(Duration::from_millis(10)).await;
            let Some(replica) = self.group.machine(turn % ALL_MACHINES).replica() else {
                continue;
            };
            let index = follower.view.index().0;
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
                if follower.is_suspended.get() {
                    break;
                }
                let before = follower.view.revision();
                if !follower.view.apply_changes(reply) {
                    self.history
                        .add_violation(format!("changes don't fit index {index}"));
                }
                self.history.record_content(&follower.view.current());
                if follower.view.revision() < before {
                    self.history
                        .add_violation(format!("the revision decreased from {before}"));
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
            let is_absent = self.group.machine(at).is_absent.get();
            if is_absent || self.instances[at].is_suspended.get() {
                continue;
            }
            for machine in 0..ALL_MACHINES {
                let sent = Instant::now();
                let renewed = self.group.renew_at(machine, &instance, &[POOL]).await;
                if let Some(reply) = renewed {
                    let end = sent + Duration::from_millis(reply.lease_ms.into());
                    self.extend_lease(at, reply.index, end).await;
                }
            }
        }
    }

    /// Extends a lease once the configuration under which it was renewed is active.
    async fn extend_lease(&self, at: usize, index: u64, end: Instant) {
        let follower = &self.instances[at];
        while Instant::now() < end && !self.stop.get() {
            if follower.view.index().0 >= index {
                follower.lease_end.set(Some(end));
                return;
            }
            sleep(Duration::from_millis(1)).await;
        }
    }

    /// Checks that there is at most one leader and one holder of the pool at a time.
    async fn check_exclusivity(&self) {
        while !self.stop.get() {
            let leaders = self.group.leaders();
            if leaders.len() > 1 {
                self.history
                    .add_violation(format!("machines {leaders:?} are leaders at the same time"));
            }
            let holds_pool = |at: &usize| {
                let follower = &self.instances[*at];
                let configuration = follower.view.current();
                let name = &self.group.machine(*at).member.instance;
                let is_scheduler = configuration
                    .pools
                    .iter()
                    .any(|p| p.pool == POOL && p.instance == *name);
                is_scheduler
                    && follower
                        .lease_end
                        .get()
                        .is_some_and(|end| Instant::now() < end)
            };
            let holders: Vec<usize> = (0..ALL_MACHINES).filter(holds_pool).collect();
            if holders.len() > 1 {
                self.history.add_violation(format!(
                    "instances {holders:?} hold the pool at the same time"
                ));
            }
            sleep(Duration::from_millis(1)).await;
        }
    }

    async fn run(&self, steps: &[Step]) {
        let followers = (0..ALL_MACHINES).map(|at| self.follow(at));
        let renewals = (0..ALL_MACHINES).map(|at| self.renew(at));
        futures_util::join!(
            self.inject_faults(steps),
            self.check_exclusivity(),
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
    let mut group = Group::absent(ALL_MACHINES, REPLICAS);
    group.settings.snapshot_entries = 60;
    for at in 0..MACHINES {
        group.add(at).await;
    }
    let run = Run {
        group,
        history: History::default(),
        instances: (0..ALL_MACHINES)
            .map(|_| FollowerState::default())
            .collect(),
        present: RefCell::new((0..MACHINES).collect()),
        wiped: RefCell::default(),
        stop: Cell::new(false),
    };
    run.run(steps).await;
    run.history.violations()
}

/// Runs random schedules and fails at the first one with a violation.
fn check_schedules(cases: u32, is_included: impl Fn(&Fault) -> bool) {
    let config = Config {
        max_shrink_iters: 10,
        ..seeded_config(cases)
    };
    let steps = schedule().prop_map(|mut steps| {
        steps.retain(|(_, _, fault)| is_included(fault));
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

/// The leader restarts after it appended a member with a new generation but before it knows of the
/// commit.
const NEW_GENERATION_SCHEDULE: [Step; 8] = [
    (127, 0, Fault::Start),
    (31, 1, Fault::Kill),
    (96, 2, Fault::Wipe),
    (26, 2, Fault::Repair),
    (98, 0, Fault::Start),
    (6, 1, Fault::Start),
    (55, 0, Fault::Start),
    (14, 0, Fault::Kill),
];

/// A first member is suspended before it has stored its vote, and killed; others are replaced meanwhile.
const KILLED_BEFORE_VOTE_SCHEDULE: [Step; 17] = [
    (12, 1, Fault::Suspend),
    (19, 0, Fault::Replace),
    (53, 0, Fault::StepDown),
    (18, 3, Fault::Kill),
    (65, 2, Fault::Replace),
    (22, 2, Fault::Repair),
    (31, 0, Fault::Repair),
    (60, 1, Fault::Start),
    (131, 1, Fault::Kill),
    (98, 1, Fault::Suspend),
    (44, 2, Fault::Repair),
    (109, 3, Fault::Replace),
    (37, 2, Fault::StepDown),
    (75, 1, Fault::Isolate),
    (105, 3, Fault::Kill),
    (92, 2, Fault::Kill),
    (134, 2, Fault::Suspend),
];

jaylock_tests::cases! {
    async group_survives_a_replacement_while_a_replica_is_down => {
        for _ in 0..4 {
            expect_that!(violations(&KILLED_BEFORE_VOTE_SCHEDULE).await, is_empty());
        }
    };
    async new_generation_receives_the_initial_members => {
        for _ in 0..4 {
            expect_that!(violations(&NEW_GENERATION_SCHEDULE).await, is_empty());
        }
    };
    stays_consistent_under_kills_and_lost_disks => {
        check_schedules(6, |fault| !matches!(
            fault,
            Fault::Isolate | Fault::Suspend | Fault::SuspendInstance | Fault::Replace
        ));
    };
    stays_consistent_under_isolation_and_suspensions => {
        check_schedules(6, |fault| !matches!(fault, Fault::Kill | Fault::Wipe | Fault::Replace));
    };
    stays_consistent_while_machines_are_replaced => {
        check_schedules(8, |fault| !matches!(fault, Fault::Wipe | Fault::SuspendInstance));
    };
    stays_consistent_under_all_faults => {
        check_schedules(8, |_| true);
    };
}
