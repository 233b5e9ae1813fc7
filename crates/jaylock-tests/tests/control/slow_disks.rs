//! Groups in which all disks are slow at the same time.

use googletest::prelude::*;
use jaylock_control::ReplicaSettings;
use jaylock_rpc::v1::Document;
use jaylock_rpc::v1::command::Body;

use crate::commands::command;
use crate::group::Group;

/// Duration of a write, in ms: shorter than a reply may take, two of them are longer.
const WRITE_MS: u64 = 250;

jaylock_tests::cases! {
    // Guards against a group that has no leader for good, while all its processes run, because a vote takes as long as two writes.
    async vote_on_slow_disks_never_arrives_in_time => {
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
        expect_that!(group.leader().await, not(eq(leader)));
        let document = Document { version: 1, ..Document::default() };
        group.propose(command(Body::PutDocument(document))).await;
        expect_that!(group.read().await.document_version, eq(1));
    };
}
