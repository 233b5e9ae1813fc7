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
    // Guards against a snapshot whose receiver has a slow disk, so that the leader loses its lease again and again.
    async snapshot_reaches_a_voter_whose_writes_take_a_second => {
        let mut group = Group::absent(3, 3);
        group.settings = ReplicaSettings {
            voters: 3,
            snapshot_entries: 40,
            retained_entries: 10,
            ..ReplicaSettings::default()
        };
        for at in 0..3 {
            group.add(at).await;
        }
        group.propose(create_organisation("first", None)).await;
        let leader = group.leader().await;
        let [lagging, third] = [(leader + 1) % 3, (leader + 2) % 3];
        group.machine(lagging).is_isolated.set(true);
        for at in 0..80 {
            let change = create_organisation(&format!("o{at}"), None);
            expect_that!(group.propose_to(leader, change).await, some(anything()));
        }
        group.machine(third).kill();
        group.machine(lagging).disk.write_delay_ms.set(1000);
        group.machine(lagging).is_isolated.set(false);
        group.propose(create_organisation("after", None)).await;
        assert_that!(group.read().await.revision, eq(82));
    };
    // Guards against a leader that steps down when the entries that its disk lacks would be in its next snapshot.
    async leader_with_a_slow_disk_follows_after_it_applied_more_than_a_snapshot_holds => {
        let group = Group::new(3, 3).await;
        group.propose(create_organisation("first", None)).await;
        let leader = group.leader().await;
        group.machine(leader).disk.write_delay_ms.set(2000);
        for at in 0..80 {
            let change = create_organisation(&format!("o{at}"), None);
            expect_that!(group.propose_to(leader, change).await, some(anything()));
        }
        group.machine(leader).replica().expect("a replica").step_down().await;
        group.machine(leader).disk.write_delay_ms.set(0);
        let successor = group.leader().await;
        let third = (0..3).find(|at| *at != leader && *at != successor).expect("a machine");
        group.machine(third).kill();
        group.propose(create_organisation("after", None)).await;
        assert_that!(group.read().await.revision, eq(82));
        group.machine(leader).kill();
        group.start(leader).await.expect("a replica");
        group.propose(create_organisation("last", None)).await;
        assert_that!(group.read().await.revision, eq(83));
    };
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
