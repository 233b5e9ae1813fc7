//! Disks that are full, corrupt or have torn writes.

use googletest::prelude::*;
use jaylock_control::{Error, FileName};

use crate::commands::create_organisation;
use crate::group::Group;

async fn group_with_entries() -> Group {
    let group = Group::new(1, 1).await;
    for at in 0..20 {
        group
            .propose(create_organisation(&format!("o{at}"), Some(at)))
            .await;
    }
    group.machine(0).kill();
    group
}

jaylock_tests::cases! {
    async removes_a_torn_write_at_the_end_of_the_log => {
        let group = group_with_entries().await;
        let disk = &group.machine(0).disk;
        disk.edit(FileName::Log, |bytes| {
            let torn = bytes[..40].to_vec();
            bytes.extend(torn);
        });
        group.start(0).await.expect("a replica");
        expect_that!(group.read().await.revision, eq(20));
        group.propose(create_organisation("after", Some(20))).await;
        group.machine(0).kill();
        group.start(0).await.expect("a replica");
        expect_that!(group.read().await.revision, eq(21));
    };

    async refuses_a_log_with_a_corrupt_middle => {
        let group = group_with_entries().await;
        group.machine(0).disk.edit(FileName::Log, |bytes| {
            let middle = bytes.len() / 2;
            bytes[middle] ^= 1;
        });
        let error = group.start(0).await.expect_err("a refusal");
        expect_that!(error, matches_pattern!(Error::Corrupt { .. }));
        expect_that!(error.to_string(), contains_substring("memory/log"));
        expect_that!(error.to_string(), contains_substring("move the data folder away"));
    };

    async refuses_a_corrupt_snapshot => {
        let group = group_with_entries().await;
        group.machine(0).disk.edit(FileName::Snapshot, |bytes| bytes[20] ^= 1);
        let error = group.start(0).await.expect_err("a refusal");
        expect_that!(error, matches_pattern!(Error::Corrupt { .. }));
    };

    async accepts_no_command_while_the_disk_is_full => {
        let group = Group::new(1, 1).await;
        group.propose(create_organisation("before", Some(0))).await;
        let machine = group.machine(0);
        machine.disk.is_full.set(true);
        expect_that!(group.propose_to(0, create_organisation("lost", Some(1))).await, none());
        expect_that!(group.read_from(0).await, none());
        let halted = machine.replica().expect("a replica").halt_reason();
        expect_that!(halted, some(contains_substring("free space")));
        machine.kill();
        machine.disk.is_full.set(false);
        group.start(0).await.expect("a replica");
        expect_that!(group.read().await.revision, eq(1));
    };

    async resumes_once_the_disk_has_space_again => {
        let group = Group::new(1, 1).await;
        group.propose(create_organisation("before", Some(0))).await;
        let machine = group.machine(0);
        machine.disk.is_full.set(true);
        expect_that!(group.propose_to(0, create_organisation("lost", Some(1))).await, none());
        machine.disk.is_full.set(false);
        group.propose(create_organisation("after", Some(1))).await;
        expect_that!(group.read().await.revision, eq(2));
        machine.kill();
        group.start(0).await.expect("a replica");
        expect_that!(group.read().await.revision, eq(2));
    };

    async loses_no_change_when_two_of_three_disks_fill_up => {
        let group = Group::new(3, 3).await;
        group.propose(create_organisation("before", Some(0))).await;
        for at in [0, 1] {
            group.machine(at).disk.is_full.set(true);
        }
        for at in 0..3 {
            expect_that!(group.propose_to(at, create_organisation("lost", Some(1))).await, none());
        }
        for at in [0, 1] {
            group.machine(at).disk.is_full.set(false);
        }
        group.propose(create_organisation("after", None)).await;
        // The two replicas whose disks were full now form the majority.
        group.machine(2).kill();
        group.propose(create_organisation("last", None)).await;
        let organisations = group.read().await.organisations;
        let names: Vec<&str> = organisations.iter().map(|o| o.id.as_str()).collect();
        expect_that!(names, contains(eq(&"before")));
        expect_that!(names, contains(eq(&"after")));
        expect_that!(names, contains(eq(&"last")));
    };

    async changes_the_leader_when_its_disk_is_full => {
        let group = Group::new(3, 3).await;
        let leader = group.leader().await;
        group.machine(leader).disk.is_full.set(true);
        group.propose(create_organisation("a", Some(0))).await;
        expect_that!(group.leader().await, not(eq(leader)));
        expect_that!(group.read().await.revision, eq(1));
    };
}
