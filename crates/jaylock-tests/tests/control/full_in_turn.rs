//! Disks that are full in turn, as operators reported: long after the last has room, changes were still refused.

use std::time::Duration;

use googletest::prelude::*;
use jaylock_rpc::v1::Configuration;

use crate::commands::create_organisation;
use crate::failures::{voters, while_renewing_leases};
use crate::group::{Group, TIMEOUT};

/// Time without contact after which a lost voter is removed.
const REPLACE_AFTER: Duration = Duration::from_millis(300);

/// Changes that must be confirmed long after the last disk has room again.
const LATE_CHANGES: u64 = 20;

/// A group of the platform's size: five replicas of the nine that are wanted.
async fn group(replicas: usize) -> Group {
    let mut group = Group::absent(replicas, replicas);
    group.settings.voters = 9;
    group.settings.tolerated_losses = 1;
    group.settings.replace_after = REPLACE_AFTER;
    for at in 0..replicas {
        group.add(at).await;
    }
    group
}

/// Makes changes for some time.
async fn commit_for(group: &Group, name: &str, duration: Duration) {
    let _ = compio::time::timeout(duration, async {
        for at in 0.. {
            let id = format!("{name}-{at}");
            group.propose(create_organisation(&id, None)).await;
            compio::time::sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
}

/// Fills the disks one after the other, each for some time, the leader's first and once more last.
async fn check(replicas: usize, duration: Duration, times_each: usize) {
    let group = group(replicas).await;
    while_renewing_leases(&group, async {
        group
            .wait_until("instances", |c| c.instances.len() == replicas)
            .await;
        let first = group.leader().await;
        let mut order: Vec<usize> = (0..replicas).map(|at| (first + at) % replicas).collect();
        order.push(group.leader().await);
        for (turn, at) in order.into_iter().enumerate() {
            for time in 0..times_each {
                let disk = &group.machine(at).disk;
                disk.fill(turn * 100);
                commit_for(&group, &format!("full{turn}-{time}"), duration).await;
                disk.repair();
                commit_for(&group, &format!("pause{turn}-{time}"), REPLACE_AFTER / 4).await;
            }
        }
        let all_vote = |c: &Configuration| voters(c) == replicas;
        group.wait_until("all vote again", all_vote).await;
        for at in 0..LATE_CHANGES {
            group
                .propose(create_organisation(&format!("late{at}"), None))
                .await;
        }
        for at in 0..replicas {
            expect_that!(group.resumes(at).await, eq(true));
        }
    })
    .await;
}

jaylock_tests::cases! {
    async five_disks_are_full_in_turn_for_less_than_a_replacement_takes => {
        check(5, REPLACE_AFTER / 2, 1).await;
    };

    async five_disks_are_full_in_turn_for_longer_than_a_replacement_takes => {
        check(5, REPLACE_AFTER * 3, 1).await;
    };

    async three_disks_are_full_in_turn_twice_each => {
        check(3, REPLACE_AFTER * 2, 2).await;
    };

    async nine_disks_are_full_in_turn => {
        check(9, REPLACE_AFTER * 2, 1).await;
    };

    // The old leader must not be named as the leader once its disk has failed.
    async changes_pass_a_halted_leader_that_all_remember => {
        let group = group(3).await;
        group.propose(create_organisation("before", None)).await;
        let leader = group.leader().await;
        group.machine(leader).disk.fill(0);
        let change = create_organisation("refused", None);
        expect_that!(group.propose_to(leader, change).await, none());
        let started = std::time::Instant::now();
        while group.leaders().is_empty() {
            assert!(started.elapsed() < TIMEOUT, "no new leader");
            compio::time::sleep(Duration::from_millis(5)).await;
        }
        expect_that!(group.leader().await, not(eq(leader)));
        group.propose(create_organisation("after", None)).await;
    };
}
