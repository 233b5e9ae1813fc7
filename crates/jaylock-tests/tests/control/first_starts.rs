//! First starts of a whole fleet that are interrupted.

use std::net::SocketAddr;
use std::time::Duration;

use compio::time::sleep;
use googletest::prelude::*;
use jaylock_control::{Bootstrap, Error, FileName, rescue};
use jaylock_rpc::v1::replica_server::Replica;
use jaylock_rpc::v1::{GreetRequest, VoteRequest};
use tonic::Request;

use crate::commands::create_organisation;
use crate::disk::FailingStep;
use crate::failures::{voters, while_renewing_leases};
use crate::group::Group;

/// Machines whose addresses are the seeds.
pub const SEEDS: [usize; 3] = [0, 1, 2];
/// Time after which a running seed has stored that this is its first start.
const PAUSE: Duration = Duration::from_millis(100);

/// Settings of an instance in the first start of the fleet.
pub fn first_start(seeds: &[usize]) -> Bootstrap {
    bootstrap(seeds, true)
}

/// Settings of an instance after the first start of the fleet.
pub fn later_start(seeds: &[usize]) -> Bootstrap {
    bootstrap(seeds, false)
}

fn bootstrap(seeds: &[usize], is_first_start: bool) -> Bootstrap {
    let address = |at: &usize| -> SocketAddr {
        let text = format!("127.0.0.1:{}", at + 1);
        text.parse().expect("an address")
    };
    Bootstrap::Seeds {
        addresses: seeds.iter().map(address).collect(),
        is_first_start,
    }
}

/// A group of machines none of which is running.
pub fn stopped_group(size: usize) -> Group {
    let group = Group::absent(size, SEEDS.len());
    for machine in group.machines() {
        machine.is_absent.set(false);
    }
    group
}

async fn start(group: &Group, at: usize, bootstrap: Bootstrap) {
    group.start_as(at, bootstrap).await.expect("a replica");
}

/// Commits changes and waits until all seeds vote.
async fn expect_whole_group(group: &Group) {
    while_renewing_leases(group, async {
        group.propose(create_organisation("a", Some(0))).await;
        let newest = group.wait_until("all seeds vote", |c| voters(c) == SEEDS.len());
        expect_that!(newest.await.members, len(eq(SEEDS.len())));
    })
    .await;
}

jaylock_tests::cases! {
    // Guards against a vote and generation that are replaced by the record of a first start before the disk was read.
    async restart_as_a_first_start_keeps_the_votes_of_disks_that_can_not_be_read_yet => {
        let group = stopped_group(3);
        for at in SEEDS {
            start(&group, at, first_start(&SEEDS)).await;
        }
        expect_whole_group(&group).await;
        for at in SEEDS {
            group.machine(at).kill();
            group.machine(at).disk.fail(FileName::Log, FailingStep::Open);
        }
        let votes = SEEDS.map(|at| group.machine(at).disk.content(FileName::Vote));
        for at in SEEDS {
            start(&group, at, first_start(&SEEDS)).await;
        }
        sleep(PAUSE).await;
        expect_that!(SEEDS.map(|at| group.machine(at).disk.content(FileName::Vote)), eq(&votes));
        for at in SEEDS {
            group.machine(at).disk.repair();
        }
        expect_whole_group(&group).await;
    };
    // Guards against a seed with entries on a disk that fails that tells the others that it is empty.
    async restart_as_a_first_start_on_a_disk_that_fails_does_not_say_that_it_is_empty => {
        let group = stopped_group(3);
        for at in SEEDS {
            start(&group, at, first_start(&SEEDS)).await;
        }
        expect_whole_group(&group).await;
        group.machine(0).kill();
        group.machine(0).disk.fail(FileName::Vote, FailingStep::Open);
        start(&group, 0, first_start(&SEEDS)).await;
        sleep(PAUSE).await;
        let service = group.machine(0).replica().expect("a replica").replica_service();
        expect_that!(service.greet(Request::new(GreetRequest {})).await, err(anything()));
        let poll = VoteRequest {
            poll: true,
            ..VoteRequest::default()
        };
        expect_that!(service.vote(Request::new(poll)).await, err(anything()));
        group.machine(0).disk.repair();
        expect_whole_group(&group).await;
    };
    async seed_killed_and_restarted_before_the_others_start_keeps_no_group_from_forming => {
        let group = stopped_group(3);
        start(&group, 2, first_start(&SEEDS)).await;
        sleep(PAUSE).await;
        group.machine(2).kill();
        start(&group, 2, later_start(&SEEDS)).await;
        start(&group, 0, first_start(&SEEDS)).await;
        start(&group, 1, first_start(&SEEDS)).await;
        expect_whole_group(&group).await;
    };
    async seed_killed_before_it_wrote_anything_keeps_no_group_from_forming => {
        let group = stopped_group(3);
        start(&group, 2, later_start(&SEEDS)).await;
        sleep(PAUSE).await;
        start(&group, 0, first_start(&SEEDS)).await;
        start(&group, 1, first_start(&SEEDS)).await;
        expect_whole_group(&group).await;
    };
    async group_forms_after_all_seeds_were_killed_before_they_met => {
        let group = stopped_group(3);
        for at in SEEDS {
            start(&group, at, first_start(&SEEDS)).await;
            sleep(PAUSE).await;
            group.machine(at).kill();
        }
        for at in SEEDS {
            start(&group, at, later_start(&SEEDS)).await;
        }
        expect_whole_group(&group).await;
    };
    async group_forms_after_all_seeds_were_killed_between_their_snapshots_and_votes => {
        let group = stopped_group(3);
        for at in SEEDS {
            group.machine(at).disk.write_delay_ms.set(50);
            start(&group, at, first_start(&SEEDS)).await;
        }
        let has_snapshot = |at: &usize| group.machine(*at).disk.size(FileName::Snapshot) > 0;
        for at in SEEDS {
            while !has_snapshot(&at) {
                sleep(Duration::from_millis(1)).await;
            }
            group.machine(at).kill();
            group.machine(at).disk.write_delay_ms.set(0);
        }
        for at in SEEDS {
            start(&group, at, later_start(&SEEDS)).await;
        }
        expect_whole_group(&group).await;
    };
    async group_forms_without_a_seed_that_was_killed_after_it_was_heard => {
        let group = stopped_group(3);
        // A slow disk keeps the others from forming the group before the kill.
        for at in [0, 1] {
            group.machine(at).disk.write_delay_ms.set(200);
        }
        for at in SEEDS {
            start(&group, at, first_start(&SEEDS)).await;
        }
        sleep(PAUSE * 4).await;
        group.machine(2).kill();
        for at in [0, 1] {
            group.machine(at).disk.write_delay_ms.set(0);
        }
        group.propose(create_organisation("a", Some(0))).await;
        start(&group, 2, later_start(&SEEDS)).await;
        expect_whole_group(&group).await;
    };
    async group_forms_once_a_late_seed_has_started => {
        let group = stopped_group(3);
        start(&group, 0, first_start(&SEEDS)).await;
        start(&group, 1, first_start(&SEEDS)).await;
        sleep(group.settings.election_timeout * 8).await;
        expect_that!(group.leaders(), is_empty());
        start(&group, 2, first_start(&SEEDS)).await;
        expect_whole_group(&group).await;
    };
    async seeds_that_are_named_twice_are_members_once => {
        let group = stopped_group(3);
        for at in SEEDS {
            start(&group, at, first_start(&[0, 1, 1, 2, 0])).await;
        }
        expect_whole_group(&group).await;
    };
    async lost_disk_forms_no_group_while_its_settings_still_declare_the_first_start => {
        let group = stopped_group(3);
        for at in SEEDS {
            start(&group, at, first_start(&SEEDS)).await;
        }
        expect_whole_group(&group).await;
        let lost = group.leader().await;
        group.machine(lost).kill();
        group.machine(lost).disk.wipe();
        start(&group, lost, first_start(&SEEDS)).await;
        while_renewing_leases(&group, async {
            let newest = group.wait_until("the lost disk is replaced", |c| {
                c.members.iter().any(|m| m.generation > 1 && m.voter)
            });
            expect_that!(newest.await.revision, eq(1));
        })
        .await;
    };
    async single_seed_forms_a_group_after_an_interrupted_first_start => {
        let group = stopped_group(1);
        group.machine(0).disk.write_delay_ms.set(50);
        start(&group, 0, first_start(&[0])).await;
        sleep(PAUSE).await;
        group.machine(0).kill();
        group.machine(0).disk.write_delay_ms.set(0);
        start(&group, 0, later_start(&[0])).await;
        group.propose(create_organisation("a", Some(0))).await;
    };
    // Instances that can't agree on the first members must not form two groups.
    async seeds_with_different_lists_form_no_group => {
        let group = stopped_group(4);
        start(&group, 0, first_start(&[0, 1, 2])).await;
        start(&group, 1, first_start(&[0, 1, 3])).await;
        start(&group, 2, first_start(&[0, 1, 2])).await;
        start(&group, 3, first_start(&[0, 1, 3])).await;
        sleep(group.settings.election_timeout * 8).await;
        let formed = group.machines().iter().filter(|m| m.disk.size(FileName::Snapshot) > 0);
        expect_that!(formed.count(), eq(0));
    };
    async seed_of_an_interrupted_first_start_joins_the_group_that_formed_without_it => {
        let group = stopped_group(4);
        start(&group, 2, first_start(&SEEDS)).await;
        sleep(PAUSE).await;
        group.machine(2).kill();
        // Its machine has changed places with another one meanwhile.
        for at in [0, 1, 3] {
            start(&group, at, first_start(&[0, 1, 3])).await;
        }
        group.propose(create_organisation("a", Some(0))).await;
        start(&group, 2, later_start(&[3, 2])).await;
        while_renewing_leases(&group, async {
            group.machine(0).remove();
            group.wait_until("it takes the place of a lost replica", |c| {
                c.members.iter().any(|m| m.instance == "r2" && m.generation > 1 && m.voter)
            }).await;
        })
        .await;
    };

    // Guards against a group that is led by a replica whose process ended before it had joined one.
    async rescue_refuses_a_disk_that_ended_between_its_snapshot_and_its_vote => {
        let formed = Group::new(3, 3).await;
        formed.propose(create_organisation("a", None)).await;
        let snapshot = formed.machine(0).disk.content(FileName::Snapshot);
        let group = stopped_group(3);
        start(&group, 0, first_start(&SEEDS)).await;
        sleep(PAUSE).await;
        let machine = group.machine(0);
        machine.kill();
        machine.disk.edit(FileName::Snapshot, |bytes| *bytes = snapshot);
        let outcome = rescue(&machine.member, machine.disk.open()).await;
        expect_that!(outcome, err(matches_pattern!(Error::Empty { .. })));
    };
}
