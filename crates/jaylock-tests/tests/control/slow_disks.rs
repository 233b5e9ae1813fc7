//! Groups in which all disks are slow at the same time.

use googletest::prelude::*;
use jaylock_control::ReplicaSettings;
use jaylock_rpc::v1::Document;
use jaylock_rpc::v1::command::Body;

use crate::commands::command;
use crate::group::Group;

/// Duration of a write, in ms: shorter than a reply may take, two of them are longer.
const WRITE_MS: u64 = 250;

/// A group with default settings whose leader was killed when all disks became slow, and that leader.
async fn group_without_leader() -> (Group, usize) {
    let mut group = Group::absent(3, 3);
    group.settings = ReplicaSettings::default();
    for at in 0..3 {
        group.add(at).await;
    }
    let leader = group.leader().await;
    for machine in group.machines() {
        machine.disk.write_delay_ms.set(WRITE_MS);
    }
    group.machine(leader).kill();
    (group, leader)
}

jaylock_tests::cases! {
    // Guards against a group that has no leader for good, while all its processes run, because a vote takes as long as two writes.
    async vote_on_slow_disks_never_arrives_in_time => {
        let (group, killed) = group_without_leader().await;
        expect_that!(group.leader().await, not(eq(killed)));
    };

    // Guards against a leader that steps down again and again because its first entry takes longer than its lease.
    async leader_on_slow_disks_steps_down_before_its_first_entry => {
        let (group, _) = group_without_leader().await;
        let document = Document { version: 1, ..Document::default() };
        group.propose(command(Body::PutDocument(document))).await;
        expect_that!(group.read().await.document_version, eq(1));
    };
}
