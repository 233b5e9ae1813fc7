//! Messages whose replies take a large part of the leader lease, as between processes that are short of processor time.

use googletest::prelude::*;
use jaylock_control::ReplicaSettings;

use crate::commands::create_organisation;
use crate::group::Group;

const REPLICAS: usize = 5;
/// Changes that are made one after the other.
const CHANGES: u64 = 5;

async fn check_changes(round_trip_ms: u64) {
    let mut group = Group::absent(REPLICAS, REPLICAS);
    group.settings = ReplicaSettings {
        voters: REPLICAS,
        ..ReplicaSettings::default()
    };
    for machine in group.machines() {
        machine.message_delay_ms.set(round_trip_ms / 2);
    }
    for at in 0..REPLICAS {
        group.add(at).await;
    }
    for at in 0..CHANGES {
        let name = format!("o{at}");
        group.propose(create_organisation(&name, Some(at))).await;
    }
    assert_that!(group.read().await.revision, eq(CHANGES));
}

jaylock_tests::cases! {
    // Guards against leaders that step down, one after the other, before the first entry of their terms is committed.
    async commits_changes_while_replies_take_half_of_the_leader_lease => {
        check_changes(200).await;
    };
    async commits_changes_while_replies_take_three_quarters_of_the_leader_lease => {
        check_changes(300).await;
    };
}
