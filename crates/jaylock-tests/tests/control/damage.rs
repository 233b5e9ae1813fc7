//! Disks that are torn, corrupt, full or gone.

use googletest::prelude::*;
use jaylock_control::{Error, FileName};

use crate::commands::create;
use crate::group::Group;

async fn group_with_entries() -> Group {
    let group = Group::new(1, 1).await;
    for at in 0..20 {
        group.propose(create(&format!("o{at}"), Some(at))).await;
    }
    group.machine(0).kill();
    group
}

jaylock_tests::cases! {
    async a_torn_tail_is_cut => {
        let group = group_with_entries().await;
        let medium = &group.machine(0).medium;
        medium.edit(FileName::Log, |bytes| {
            let torn = bytes[..40].to_vec();
            bytes.extend(torn);
        });
        group.start(0).await.expect("a replica");
        expect_that!(group.read().await.revision, eq(20));
        group.propose(create("after", Some(20))).await;
        group.machine(0).kill();
        group.start(0).await.expect("a replica");
        expect_that!(group.read().await.revision, eq(21));
    };

    async a_corrupt_middle_is_refused => {
        let group = group_with_entries().await;
        group.machine(0).medium.edit(FileName::Log, |bytes| {
            let middle = bytes.len() / 2;
            bytes[middle] ^= 1;
        });
        let error = group.start(0).await.expect_err("a refusal");
        expect_that!(error, matches_pattern!(Error::Corrupt { .. }));
        expect_that!(error.to_string(), contains_substring("memory/log"));
        expect_that!(error.to_string(), contains_substring("move the data folder away"));
    };

    async a_corrupt_snapshot_is_refused => {
        let group = group_with_entries().await;
        group.machine(0).medium.edit(FileName::Snapshot, |bytes| bytes[20] ^= 1);
        let error = group.start(0).await.expect_err("a refusal");
        expect_that!(error, matches_pattern!(Error::Corrupt { .. }));
    };

    async a_full_disk_stops_acceptance => {
        let group = Group::new(1, 1).await;
        group.propose(create("before", Some(0))).await;
        let machine = group.machine(0);
        machine.medium.full.set(true);
        expect_that!(group.propose_to(0, create("lost", Some(1))).await, none());
        expect_that!(group.read_from(0).await, none());
        let halted = machine.replica().expect("a replica").halt_reason();
        expect_that!(halted, some(contains_substring("free space")));
        machine.kill();
        machine.medium.full.set(false);
        group.start(0).await.expect("a replica");
        expect_that!(group.read().await.revision, eq(1));
    };

    async a_replica_takes_part_again_once_its_disk_has_room => {
        let group = Group::new(1, 1).await;
        group.propose(create("before", Some(0))).await;
        let machine = group.machine(0);
        machine.medium.full.set(true);
        expect_that!(group.propose_to(0, create("lost", Some(1))).await, none());
        machine.medium.full.set(false);
        group.propose(create("after", Some(1))).await;
        expect_that!(group.read().await.revision, eq(2));
        machine.kill();
        group.start(0).await.expect("a replica");
        expect_that!(group.read().await.revision, eq(2));
    };

    async two_disks_of_three_fill_up_and_no_change_is_lost => {
        let group = Group::new(3, 3).await;
        group.propose(create("before", Some(0))).await;
        for at in [0, 1] {
            group.machine(at).medium.full.set(true);
        }
        for at in 0..3 {
            expect_that!(group.propose_to(at, create("lost", Some(1))).await, none());
        }
        for at in [0, 1] {
            group.machine(at).medium.full.set(false);
        }
        group.propose(create("after", None)).await;
        // The two whose disks were full are the majority now.
        group.machine(2).kill();
        group.propose(create("last", None)).await;
        let organisations = group.read().await.organisations;
        let names: Vec<&str> = organisations.iter().map(|o| o.id.as_str()).collect();
        expect_that!(names, contains(eq(&"before")));
        expect_that!(names, contains(eq(&"after")));
        expect_that!(names, contains(eq(&"last")));
    };

    async a_full_disk_of_the_leader_moves_the_lead => {
        let group = Group::new(3, 3).await;
        let leader = group.leader().await;
        group.machine(leader).medium.full.set(true);
        group.propose(create("a", Some(0))).await;
        expect_that!(group.leader().await, not(eq(leader)));
        expect_that!(group.read().await.revision, eq(1));
    };
}
