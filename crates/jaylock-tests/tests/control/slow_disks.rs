//! Disks of all machines whose writes outlast the times of an election.

use googletest::prelude::*;
use jaylock_control::ReplicaSettings;

use crate::commands::create_organisation;
use crate::group::Group;

const REPLICAS: usize = 5;

/// Starts machines whose writes take this long, with the settings of an instance.
async fn start_group(write_ms: u64) -> Group {
    let mut group = Group::absent(REPLICAS, REPLICAS);
    group.settings = ReplicaSettings {
        voters: REPLICAS,
        ..ReplicaSettings::default()
    };
    for machine in group.machines() {
        machine.disk.write_delay_ms.set(write_ms);
    }
    for at in 0..REPLICAS {
        group.add(at).await;
    }
    group
}

async fn check_changes(write_ms: u64) {
    let group = start_group(write_ms).await;
    for at in 0..3 {
        let name = format!("o{at}");
        group.propose(create_organisation(&name, Some(at))).await;
    }
    for machine in group.machines() {
        machine.kill();
    }
    for at in 0..REPLICAS {
        group.start(at).await.expect("a replica");
    }
    group.propose(create_organisation("after", Some(3))).await;
    assert_that!(group.read().await.revision, eq(4));
}

jaylock_tests::cases! {
    // Guards against a group that never has a leader, as its heartbeats and votes wait for slow disks.
    async commits_changes_while_every_write_takes_a_fifth_of_a_second => {
        check_changes(200).await;
    };
    async commits_changes_while_every_write_takes_half_a_second => {
        check_changes(500).await;
    };
    async commits_changes_while_every_write_takes_a_second => {
        check_changes(1000).await;
    };
}
