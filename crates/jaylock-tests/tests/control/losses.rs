//! Replicas that are killed, isolated, lose their disks or are lost for good.

use std::cell::Cell;
use std::time::Duration;

use futures_util::{FutureExt, StreamExt};
use googletest::prelude::*;
use jaylock_control::{Error, rescue};
use jaylock_rpc::v1::control_server::Control;
use jaylock_rpc::v1::replica_server::Replica;
use jaylock_rpc::v1::{Configuration, Instance, VoteRequest, WatchRequest};

use crate::commands::create;
use crate::group::Group;

fn is_voter(configuration: &Configuration, instance: &str) -> bool {
    let voters = configuration.members.iter().filter(|m| m.voter);
    voters.into_iter().any(|m| m.instance == instance)
}

fn voters(configuration: &Configuration) -> usize {
    configuration.members.iter().filter(|m| m.voter).count()
}

/// Renews the leases of every machine that runs, as its instance would.
async fn live(group: &Group) {
    loop {
        for machine in group.machines() {
            if machine.replica().is_none() || machine.cut.get() {
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
async fn alongside(group: &Group, test: impl Future<Output = ()>) {
    futures_util::future::select(std::pin::pin!(live(group)), std::pin::pin!(test)).await;
}

jaylock_tests::cases! {
    async a_killed_leader_is_followed_by_another => {
        let group = Group::new(3, 3).await;
        for round in 0..4 {
            group.propose(create(&format!("a{round}"), Some(round))).await;
            let leader = group.leader().await;
            group.machine(leader).kill();
            expect_that!(group.read().await.revision, eq(round + 1));
            group.start(leader).await.expect("a replica");
        }
    };

    async a_vote_is_remembered_over_a_restart => {
        let group = Group::new(1, 1).await;
        group.propose(create("a", Some(0))).await;
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

    async an_isolated_leader_stops_within_its_lease => {
        let group = Group::new(3, 3).await;
        group.propose(create("a", Some(0))).await;
        let old = group.leader().await;
        group.machine(old).cut.set(true);
        compio::time::sleep(group.settings.leader_lease).await;
        expect_false!(group.machine(old).replica().expect("a replica").is_leader());
        group.propose(create("b", Some(1))).await;
        let new = group.leader().await;
        group.machine(old).cut.set(false);
        compio::time::sleep(group.settings.election_timeout * 4).await;
        expect_that!(group.leader().await, eq(new));
        expect_that!(group.read().await.revision, eq(2));
    };

    async a_replica_that_is_cut_off_takes_no_watch => {
        let group = Group::new(5, 5).await;
        group.propose(create("a", Some(0))).await;
        let index = group.read().await.index;
        let leader = group.leader().await;
        let cut: Vec<usize> = (0..5).filter(|at| *at != leader).take(2).collect();
        for at in &cut {
            group.machine(*at).cut.set(true);
        }
        compio::time::sleep(group.settings.election_timeout * 6).await;
        for at in cut {
            let service = group.machine(at).replica().expect("a replica").control_service();
            let request = WatchRequest { index, whole: false };
            let reply = service.watch(tonic::Request::new(request)).await;
            let mut stream = reply.expect("a stream").into_inner();
            // It ends at once, so that the follower goes elsewhere.
            let first = stream.next().now_or_never();
            expect_that!(first.map(|reply| reply.is_none()), some(eq(true)));
        }
    };

    async a_lost_disk_counts_only_after_it_caught_up => {
        let group = Group::new(3, 3).await;
        for at in 0..60 {
            group.propose(create(&format!("a{at}"), Some(at))).await;
        }
        let leader = group.leader().await;
        let lost = (leader + 1) % 3;
        let machine = group.machine(lost);
        machine.kill();
        machine.medium.wipe();
        group.start(lost).await.expect("a replica");
        let name = machine.member.instance.as_str();
        let wanted = |c: &Configuration| {
            is_voter(c, name) && c.members.iter().any(|m| m.instance == name && m.generation > 1)
        };
        group.until("the new generation votes", wanted).await;
        let other = (leader + 2) % 3;
        group.machine(other).kill();
        expect_that!(group.read().await.revision, eq(60));
        group.propose(create("b", Some(60))).await;
    };

    async two_lost_disks_of_three_make_no_new_group => {
        let group = Group::new(3, 3).await;
        group.propose(create("a", Some(0))).await;
        let leader = group.leader().await;
        group.machine(leader).kill();
        for at in (0..3).filter(|at| *at != leader) {
            group.machine(at).kill();
            group.machine(at).medium.wipe();
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

    async the_last_disk_of_three_is_rescued => {
        let group = Group::new(3, 3).await;
        for at in 0..50 {
            group.propose(create(&format!("a{at}"), Some(at))).await;
        }
        let left = group.leader().await;
        for machine in group.machines() {
            machine.kill();
        }
        for at in (0..3).filter(|at| *at != left) {
            group.machine(at).medium.wipe();
        }
        let before = group.machine(left).medium.open();
        let index = rescue(&group.machine(left).member, before).await.expect("an index");
        for at in 0..3 {
            group.start(at).await.expect("a replica");
        }
        alongside(&group, async {
            let whole = group.until("three voters", |c| voters(c) == 3).await;
            expect_that!(whole.revision, eq(50));
            expect_that!(whole.index, gt(index.0));
            group.machine(left).kill();
            group.propose(create("b", Some(50))).await;
        }).await;
        group.machine(left).kill();
        group.machine(left).medium.wipe();
        let error = rescue(&group.machine(left).member, group.machine(left).medium.open()).await;
        expect_that!(error, err(matches_pattern!(Error::Empty { .. })));
    };

    async a_spare_takes_the_place_of_a_lost_replica => {
        let group = Group::new(6, 3).await;
        alongside(&group, async {
            group.propose(create("a", Some(0))).await;
            group.until("instances", |c| c.instances.len() == 6).await;
            // Not of the first spare's domain, which a choice by name alone would take.
            let lost = if group.leader().await == 2 { 1 } else { 2 };
            group.machine(lost).kill();
            let name = group.machine(lost).member.instance.clone();
            let wanted = |c: &Configuration| {
                voters(c) == 3 && c.members.iter().all(|m| m.instance != name)
            };
            let repaired = group.until("three voters", wanted).await;
            let mut domains: Vec<_> = repaired.members.iter().map(|m| &m.domain).collect();
            domains.sort();
            expect_that!(domains, elements_are![eq(&"d0"), eq(&"d1"), eq(&"d2")]);
            // The repaired group comes to rest.
            compio::time::sleep(group.settings.replace_after).await;
            let before = group.read().await.members;
            let events = group.members_changed().await;
            compio::time::sleep(group.settings.replace_after).await;
            expect_that!(group.members_changed().await, eq(events));
            expect_that!(group.read().await.members, eq(&before));
        }).await;
    };

    async three_losses_of_five_with_repair_between_lose_nothing => {
        let group = Group::new(8, 5).await;
        let revision = Cell::new(0);
        alongside(&group, async {
            group.until("instances", |c| c.instances.len() == 8).await;
            for loss in 0..3 {
                for _ in 0..10 {
                    let at = revision.get();
                    group.propose(create(&format!("a{at}"), Some(at))).await;
                    revision.set(at + 1);
                }
                let lost = if loss == 1 { group.leader().await } else {
                    let leader = group.leader().await;
                    let members = group.read().await.members;
                    let named = |at: &usize| members.iter().any(|m| m.instance == format!("r{at}"));
                    (0..8).find(|at| named(at) && *at != leader).expect("a follower")
                };
                group.machine(lost).kill();
                let name = group.machine(lost).member.instance.clone();
                let wanted = |c: &Configuration| {
                    voters(c) == 5 && c.members.iter().all(|m| m.instance != name)
                };
                group.until("five voters", wanted).await;
                expect_that!(group.read().await.revision, eq(revision.get()));
            }
            group.propose(create("last", Some(30))).await;
        }).await;
        expect_that!(revision.get(), eq(30));
    };

    async stepping_down_hands_over_at_once => {
        let group = Group::new(3, 3).await;
        for _ in 0..3 {
            let old = group.leader().await;
            let replica = group.machine(old).replica().expect("a replica");
            replica.step_down().await;
            expect_false!(replica.is_leader());
            group.read().await;
            expect_that!(group.leader().await, not(eq(old)));
        }
    };
}
