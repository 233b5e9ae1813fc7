//! Replicas that are killed, isolated, lose their disks or are lost permanently.

use std::cell::Cell;
use std::time::Duration;

use futures_util::{FutureExt, StreamExt};
use googletest::prelude::*;
use jaylock_control::{Error, rescue};
use jaylock_rpc::v1::control_server::Control;
use jaylock_rpc::v1::replica_server::Replica;
use jaylock_rpc::v1::{Configuration, Instance, VoteRequest, WatchRequest};

use crate::commands::create_organisation;
use crate::group::Group;

pub fn is_voter(configuration: &Configuration, instance: &str) -> bool {
    let voters = configuration.members.iter().filter(|m| m.voter);
    voters.into_iter().any(|m| m.instance == instance)
}

pub fn voters(configuration: &Configuration) -> usize {
    configuration.members.iter().filter(|m| m.voter).count()
}

/// Renews the leases of the instances on all running machines.
async fn renew_leases(group: &Group) {
    loop {
        for machine in group.machines() {
            if machine.replica().is_none() || machine.is_isolated.get() {
                continue;
            }
            let instance = Instance {
                id: machine.member.instance.clone(),
                incarnation: 1,
                domain: machine.member.domain.clone(),
                peer_address: machine.member.peer_address.clone(),
                disk: true,
                ..Instance::default()
            };
            for leader in group.leaders() {
                let _ = group.renew_at(leader, &instance, &[]).await;
            }
        }
        compio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Runs a test while every running machine renews its lease.
pub async fn while_renewing_leases(group: &Group, test: impl Future<Output = ()>) {
    futures_util::future::select(std::pin::pin!(renew_leases(group)), std::pin::pin!(test)).await;
}

jaylock_tests::cases! {
    async elects_a_new_leader_after_a_kill => {
        let group = Group::new(3, 3).await;
        for round in 0..4 {
            group.propose(create_organisation(&format!("a{round}"), Some(round))).await;
            let leader = group.leader().await;
            group.machine(leader).kill();
            expect_that!(group.read().await.revision, eq(round + 1));
            group.start(leader).await.expect("a replica");
        }
    };

    async keeps_its_vote_across_a_restart => {
        let group = Group::new(1, 1).await;
        group.propose(create_organisation("a", Some(0))).await;
        let machine = group.machine(0);
        let vote = async |candidate: &str| {
            let request = VoteRequest {
                term: 50,
                candidate: candidate.into(),
                generation: 1,
                last_index: 1000,
                last_term: 40,
                handover: true,
                ..VoteRequest::default()
            };
            let service = machine.replica().expect("a replica").replica_service();
            let reply = service.vote(tonic::Request::new(request)).await;
            reply.expect("a reply").into_inner().granted
        };
        expect_true!(vote("x").await);
        machine.kill();
        group.start(0).await.expect("a replica");
        expect_false!(vote("y").await);
        expect_true!(vote("x").await);
    };

    async isolated_leader_steps_down_within_its_lease => {
        let group = Group::new(3, 3).await;
        group.propose(create_organisation("a", Some(0))).await;
        let old_leader = group.leader().await;
        group.machine(old_leader).is_isolated.set(true);
        compio::time::sleep(group.settings.leader_lease).await;
        expect_false!(group.machine(old_leader).replica().expect("a replica").is_leader());
        group.propose(create_organisation("b", Some(1))).await;
        let new_leader = group.leader().await;
        group.machine(old_leader).is_isolated.set(false);
        compio::time::sleep(group.settings.election_timeout * 4).await;
        expect_that!(group.leader().await, eq(new_leader));
        expect_that!(group.read().await.revision, eq(2));
    };

    async disconnected_replica_ends_watches => {
        let group = Group::new(5, 5).await;
        group.propose(create_organisation("a", Some(0))).await;
        let index = group.read().await.index;
        let leader = group.leader().await;
        let isolated: Vec<usize> = (0..5).filter(|at| *at != leader).take(2).collect();
        for at in &isolated {
            group.machine(*at).is_isolated.set(true);
        }
        compio::time::sleep(group.settings.election_timeout * 6).await;
        for at in isolated {
            let service = group.machine(at).replica().expect("a replica").control_service();
            let request = WatchRequest { index, whole: false };
            let reply = service.watch(tonic::Request::new(request)).await;
            let mut stream = reply.expect("a stream").into_inner();
            // The stream ends immediately, so that the follower watches another replica.
            let first = stream.next().now_or_never();
            expect_that!(first.map(|reply| reply.is_none()), some(eq(true)));
        }
    };

    async replica_with_a_lost_disk_votes_only_after_catching_up => {
        let group = Group::new(3, 3).await;
        for at in 0..60 {
            group.propose(create_organisation(&format!("a{at}"), Some(at))).await;
        }
        let leader = group.leader().await;
        let lost = (leader + 1) % 3;
        let machine = group.machine(lost);
        machine.kill();
        machine.disk.wipe();
        group.start(lost).await.expect("a replica");
        let name = machine.member.instance.as_str();
        let condition = |c: &Configuration| {
            is_voter(c, name) && c.members.iter().any(|m| m.instance == name && m.generation > 1)
        };
        group.wait_until("the new generation votes", condition).await;
        let other = (leader + 2) % 3;
        group.machine(other).kill();
        expect_that!(group.read().await.revision, eq(60));
        group.propose(create_organisation("b", Some(60))).await;
    };

    async two_lost_disks_of_three_form_no_new_group => {
        let group = Group::new(3, 3).await;
        group.propose(create_organisation("a", Some(0))).await;
        let leader = group.leader().await;
        group.machine(leader).kill();
        for at in (0..3).filter(|at| *at != leader) {
            group.machine(at).kill();
            group.machine(at).disk.wipe();
            group.start(at).await.expect("a replica");
        }
        compio::time::sleep(group.settings.election_timeout * 6).await;
        expect_that!(group.leaders(), is_empty());
        group.start(leader).await.expect("a replica");
        compio::time::sleep(group.settings.election_timeout * 6).await;
        for at in 0..3 {
            expect_that!(group.read_from(at).await, none());
        }
    };

    async rescues_the_last_of_three_disks => {
        let group = Group::new(3, 3).await;
        for at in 0..50 {
            group.propose(create_organisation(&format!("a{at}"), Some(at))).await;
        }
        let remaining = group.leader().await;
        for machine in group.machines() {
            machine.kill();
        }
        for at in (0..3).filter(|at| *at != remaining) {
            group.machine(at).disk.wipe();
        }
        let before = group.machine(remaining).disk.open();
        let index = rescue(&group.machine(remaining).member, before).await.expect("an index");
        for at in 0..3 {
            group.start(at).await.expect("a replica");
        }
        while_renewing_leases(&group, async {
            let repaired = group.wait_until("three voters", |c| voters(c) == 3).await;
            expect_that!(repaired.revision, eq(50));
            expect_that!(repaired.index, gt(index.0));
            group.machine(remaining).kill();
            group.propose(create_organisation("b", Some(50))).await;
        }).await;
        group.machine(remaining).kill();
        group.machine(remaining).disk.wipe();
        let error = rescue(&group.machine(remaining).member, group.machine(remaining).disk.open()).await;
        expect_that!(error, err(matches_pattern!(Error::Empty { .. })));
    };

    async spare_replaces_a_lost_replica => {
        let group = Group::new(6, 3).await;
        while_renewing_leases(&group, async {
            group.propose(create_organisation("a", Some(0))).await;
            group.wait_until("instances", |c| c.instances.len() == 6).await;
            // The lost replica is not in the domain of the first spare by name, so that a choice
            // by name alone would pick the wrong spare.
            let lost = if group.leader().await == 2 { 1 } else { 2 };
            group.machine(lost).kill();
            let name = group.machine(lost).member.instance.clone();
            let condition = |c: &Configuration| {
                voters(c) == 3 && c.members.iter().all(|m| m.instance != name)
            };
            let repaired = group.wait_until("three voters", condition).await;
            let mut domains: Vec<_> = repaired.members.iter().map(|m| &m.domain).collect();
            domains.sort();
            expect_that!(domains, elements_are![eq(&"d0"), eq(&"d1"), eq(&"d2")]);
            // Once repaired, the members no longer change.
            compio::time::sleep(group.settings.replace_after).await;
            let before = group.read().await.members;
            let events = group.count_member_changes().await;
            compio::time::sleep(group.settings.replace_after).await;
            expect_that!(group.count_member_changes().await, eq(events));
            expect_that!(group.read().await.members, eq(&before));
        }).await;
    };

    async three_repaired_losses_of_five_replicas_lose_no_change => {
        let group = Group::new(8, 5).await;
        let revision = Cell::new(0);
        while_renewing_leases(&group, async {
            group.wait_until("instances", |c| c.instances.len() == 8).await;
            for loss in 0..3 {
                for _ in 0..10 {
                    let at = revision.get();
                    group.propose(create_organisation(&format!("a{at}"), Some(at))).await;
                    revision.set(at + 1);
                }
                let lost = if loss == 1 { group.leader().await } else {
                    let leader = group.leader().await;
                    let members = group.read().await.members;
                    let is_member = |at: &usize| members.iter().any(|m| m.instance == format!("r{at}"));
                    (0..8).find(|at| is_member(at) && *at != leader).expect("a follower")
                };
                group.machine(lost).kill();
                let name = group.machine(lost).member.instance.clone();
                let condition = |c: &Configuration| {
                    voters(c) == 5 && c.members.iter().all(|m| m.instance != name)
                };
                group.wait_until("five voters", condition).await;
                expect_that!(group.read().await.revision, eq(revision.get()));
            }
            group.propose(create_organisation("last", Some(30))).await;
        }).await;
        expect_that!(revision.get(), eq(30));
    };

    async step_down_transfers_leadership => {
        let group = Group::new(3, 3).await;
        for _ in 0..3 {
            let old_leader = group.leader().await;
            let replica = group.machine(old_leader).replica().expect("a replica");
            replica.step_down().await;
            expect_false!(replica.is_leader());
            group.read().await;
            expect_that!(group.leader().await, not(eq(old_leader)));
        }
    };
}
