//! Disks that fail at each step of each write of a replica, and are repaired.

use std::time::Duration;

use jaylock_control::FileName;

use crate::commands::create_organisation;
use crate::disk::FailingStep;
use crate::group::{Group, TIMEOUT};

/// Changes until a replica has certainly written a snapshot.
const SNAPSHOT_CHANGES: u64 = 40;
/// Time in which a halted replica retries its disk at least once.
const RETRY_TIME: Duration = Duration::from_millis(700);
/// Steps at which a file may fail while it is written.
const WRITE_STEPS: [FailingStep; 4] = [
    FailingStep::Open,
    FailingStep::Write,
    FailingStep::Sync,
    FailingStep::Close,
];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Role {
    Leader,
    Follower,
}

/// A group of three, one of which has a disk that fails.
struct Trial {
    group: Group,
    faulty: usize,
    revision: u64,
}

impl Trial {
    async fn new(role: Role) -> Self {
        let mut group = Group::absent(3, 3);
        group.settings.snapshot_entries = 10;
        group.settings.retained_entries = 5;
        group.settings.replace_after = TIMEOUT;
        for at in 0..3 {
            group.add(at).await;
        }
        let leader = group.leader().await;
        let faulty = match role {
            Role::Leader => leader,
            Role::Follower => (leader + 1) % 3,
        };
        let mut trial = Self {
            group,
            faulty,
            revision: 0,
        };
        trial.commit(5).await;
        trial
    }

    async fn commit(&mut self, count: u64) {
        for _ in 0..count {
            let id = format!("a{}", self.revision);
            self.group.propose(create_organisation(&id, None)).await;
            self.revision += 1;
        }
    }

    fn is_halted(&self) -> bool {
        let replica = self.group.machine(self.faulty).replica();
        replica.expect("a replica").halt_reason().is_some()
    }

    fn fail(&self, file: FileName, step: FailingStep) {
        self.group.machine(self.faulty).disk.fail(file, step);
    }

    /// Makes changes, and elections if the vote fails, until the replica halts.
    async fn provoke(&mut self, file: FileName) {
        for _ in 0..SNAPSHOT_CHANGES {
            self.commit(1).await;
            if file == FileName::Vote {
                let leader = self.group.leader().await;
                let replica = self.group.machine(leader).replica();
                replica.expect("a replica").step_down().await;
            }
            if self.is_halted() {
                return;
            }
        }
        panic!("the replica doesn't halt");
    }

    async fn repair(&self) {
        self.group.machine(self.faulty).disk.repair();
        let resumes = self.group.resumes(self.faulty).await;
        assert!(resumes, "the replica doesn't resume");
    }

    /// Checks that what the repaired replica confirms outlives a power loss.
    async fn check_durability(&mut self) {
        let others: Vec<usize> = (0..3).filter(|at| *at != self.faulty).collect();
        self.group.machine(others[0]).kill();
        self.commit(3).await;
        self.group.machine(others[1]).kill();
        self.group.machine(self.faulty).kill();
        self.group.machine(self.faulty).disk.lose_power();
        for at in [self.faulty, others[0]] {
            self.group.start(at).await.expect("a replica");
        }
        self.commit(1).await;
        assert_eq!(self.group.read().await.revision, self.revision);
    }
}

/// Lets a write fail in each way, one after the other, and repairs the disk.
async fn check_file(file: FileName, role: Role) {
    for step in WRITE_STEPS {
        println!("{file} fails: {step:?}");
        let mut trial = Trial::new(role).await;
        trial.fail(file, step);
        trial.provoke(file).await;
        trial.repair().await;
        trial.check_durability().await;
    }
}

/// Lets the attempts to resume fail in each way, one after the other.
async fn check_recovery(file: FileName, steps: &[FailingStep]) {
    for step in steps {
        println!("{file} fails while the replica resumes: {step:?}");
        let mut trial = Trial::new(Role::Follower).await;
        trial.fail(FileName::Log, FailingStep::Write);
        trial.provoke(FileName::Log).await;
        trial.fail(file, *step);
        compio::time::sleep(RETRY_TIME).await;
        trial.commit(1).await;
        trial.repair().await;
        trial.check_durability().await;
    }
}

/// Lets the installation of a snapshot fail in each way, one after the other, and repairs the disk.
async fn check_installation(file: FileName) {
    for step in WRITE_STEPS {
        println!("{file} fails while a snapshot is installed: {step:?}");
        let mut trial = Trial::new(Role::Follower).await;
        trial.group.machine(trial.faulty).kill();
        trial.commit(SNAPSHOT_CHANGES).await;
        trial.group.start(trial.faulty).await.expect("a replica");
        trial.fail(file, step);
        trial.provoke(file).await;
        trial.repair().await;
        trial.check_durability().await;
    }
}

jaylock_tests::cases! {
    async snapshot_fails_at_each_step_of_its_installation => {
        check_installation(FileName::Snapshot).await;
    };

    async log_fails_at_each_step_of_the_installation_of_a_snapshot => {
        check_installation(FileName::Log).await;
    };

    async log_of_a_leader_fails_at_each_step => {
        check_file(FileName::Log, Role::Leader).await;
    };

    async log_of_a_follower_fails_at_each_step => {
        check_file(FileName::Log, Role::Follower).await;
    };

    async vote_of_a_leader_fails_at_each_step => {
        check_file(FileName::Vote, Role::Leader).await;
    };

    async vote_of_a_follower_fails_at_each_step => {
        check_file(FileName::Vote, Role::Follower).await;
    };

    async snapshot_of_a_leader_fails_at_each_step => {
        check_file(FileName::Snapshot, Role::Leader).await;
    };

    async snapshot_of_a_follower_fails_at_each_step => {
        check_file(FileName::Snapshot, Role::Follower).await;
    };

    async log_fails_at_each_step_of_the_recovery => {
        check_recovery(FileName::Log, &WRITE_STEPS).await;
        check_recovery(FileName::Log, &[FailingStep::Truncate]).await;
    };

    async vote_fails_at_each_step_of_the_recovery => {
        check_recovery(FileName::Vote, &WRITE_STEPS).await;
    };

    async snapshot_fails_at_each_step_of_the_recovery => {
        check_recovery(FileName::Snapshot, &WRITE_STEPS).await;
    };
}
