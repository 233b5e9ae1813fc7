//! Machines that are removed for good and replaced by empty ones at other addresses.

use std::time::Duration;

use googletest::prelude::*;
use jaylock_rpc::v1::Configuration;

use crate::commands::create_organisation;
use crate::failures::{is_voter, voters, while_renewing_leases};
use crate::group::Group;

/// Time between the loss of a machine and the start of its successor.
const SUCCESSOR_DELAY: Duration = Duration::from_millis(60);
/// Time that a successor has until the next machine is lost.
const CATCH_UP_TIME: Duration = Duration::from_millis(600);
/// Time without contact after which a replica is replaced.
const REPLACE_AFTER: Duration = Duration::from_millis(300);

/// A group whose first machines are running, and that takes up to nine replicas.
async fn group(size: usize, first: usize, tolerated_losses: usize) -> Group {
    let mut group = Group::absent(size, first);
    group.settings.voters = 9;
    group.settings.tolerated_losses = tolerated_losses;
    group.settings.replace_after = REPLACE_AFTER;
    for at in 0..first {
        group.add(at).await;
    }
    group
}

/// Commits changes, each of which must be acknowledged.
async fn commit(group: &Group, revision: &mut u64, count: u64) {
    for _ in 0..count {
        let id = format!("a{revision}");
        group
            .propose(create_organisation(&id, Some(*revision)))
            .await;
        *revision += 1;
    }
}

fn has_member(configuration: &Configuration, at: usize) -> bool {
    let name = format!("r{at}");
    configuration.members.iter().any(|m| m.instance == name)
}

/// Replaces each of the first machines, `at_once` at a time, and checks that nothing is lost.
async fn replace_all(first: usize, tolerated_losses: usize, at_once: usize) {
    let group = group(first * 2, first, tolerated_losses).await;
    while_renewing_leases(&group, async {
        let mut revision = 0;
        group
            .wait_until("instances", |c| c.instances.len() == first)
            .await;
        for start in (0..first).step_by(at_once) {
            let replaced = start..(start + at_once).min(first);
            commit(&group, &mut revision, 5).await;
            for at in replaced.clone() {
                group.machine(at).remove();
            }
            compio::time::sleep(SUCCESSOR_DELAY).await;
            for at in replaced {
                group.add(first + at).await;
            }
            commit(&group, &mut revision, 5).await;
            compio::time::sleep(CATCH_UP_TIME).await;
        }
        let newest = group.wait_until("only successors are members", |c| {
            (0..first).all(|at| !has_member(c, at)) && voters(c) == first
        });
        expect_that!(newest.await.revision, eq(revision));
    })
    .await;
}

jaylock_tests::cases! {
    async five_replicas_are_replaced_one_after_the_other => {
        replace_all(5, 1, 1).await;
    };

    async nine_replicas_are_replaced_two_at_a_time => {
        replace_all(9, 2, 2).await;
    };

    // The successor comes first and votes, and the machine that goes leaves an even number of voters behind.
    async planned_replacement_leaves_no_lost_voter => {
        let group = group(4, 3, 1).await;
        while_renewing_leases(&group, async {
            let mut revision = 0;
            commit(&group, &mut revision, 5).await;
            group.add(3).await;
            group.wait_until("the successor votes", |c| is_voter(c, "r3")).await;
            group.machine(0).remove();
            let only_running = |c: &Configuration| voters(c) == 3 && !has_member(c, 0);
            let newest = group.wait_until("the lost machine is no member", only_running).await;
            expect_that!(newest.revision, eq(revision));
        }).await;
    };

    // The lost replica may return, while another disk is lost: two voters would be too few for that.
    async successor_votes_before_the_lost_replica_is_removed => {
        let mut group = Group::absent(4, 3);
        group.settings.replace_after = REPLACE_AFTER;
        for at in 0..4 {
            group.add(at).await;
        }
        while_renewing_leases(&group, async {
            let mut revision = 0;
            commit(&group, &mut revision, 5).await;
            let leader = group.leader().await;
            let lost = (0..3).find(|at| *at != leader).expect("a follower");
            group.machine(lost).is_isolated.set(true);
            let mut fewest = 3;
            loop {
                compio::time::sleep(Duration::from_millis(2)).await;
                let Some(newest) = group.read_from(leader).await else { continue };
                fewest = fewest.min(voters(&newest));
                if !has_member(&newest, lost) && is_voter(&newest, "r3") {
                    break;
                }
            }
            expect_that!(fewest, eq(3));
        }).await;
    };

    // With fewer replicas, the loss of as many disks as are tolerated could lose changes.
    async lost_voters_stay_members_while_the_group_would_be_too_small => {
        let group = group(5, 5, 2).await;
        while_renewing_leases(&group, async {
            let mut revision = 0;
            commit(&group, &mut revision, 5).await;
            group.machine(0).remove();
            group.machine(1).remove();
            compio::time::sleep(REPLACE_AFTER * 4).await;
            commit(&group, &mut revision, 5).await;
            expect_that!(voters(&group.read().await), eq(5));
        }).await;
    };

    async returned_machine_with_an_old_disk_loses_nothing => {
        let group = group(6, 5, 1).await;
        while_renewing_leases(&group, async {
            let mut revision = 0;
            commit(&group, &mut revision, 5).await;
            group.machine(0).kill();
            group.add(5).await;
            let is_replaced = |c: &Configuration| !has_member(c, 0) && is_voter(c, "r5");
            group.wait_until("the machine is replaced", is_replaced).await;
            commit(&group, &mut revision, 60).await;
            group.start(0).await.expect("a replica");
            let is_back = |c: &Configuration| is_voter(c, "r0");
            group.wait_until("the machine votes again", is_back).await;
            commit(&group, &mut revision, 5).await;
            for at in 0..6 {
                if let Some(read) = group.read_from(at).await {
                    expect_that!(read.revision, eq(revision));
                }
            }
        }).await;
    };
}
