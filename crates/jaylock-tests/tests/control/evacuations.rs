//! Evacuations of failure domains: late and repeated orders, races, and losses of replicas.

use std::time::Duration;

use googletest::prelude::*;
use jaylock_control::{ConfigView, find_evacuation, is_evacuated};
use jaylock_rpc::v1::applied::Result as Outcome;
use jaylock_rpc::v1::command::Body;
use jaylock_rpc::v1::replica_server::Replica as Peer;
use jaylock_rpc::v1::{
    Change, Command, Configuration, Evacuation, InstallRequest, Instance, InstanceGone,
    SetEvacuation, WatchReply,
};
use prost::Message;
use tonic::Request;

use crate::commands::command;
use crate::group::{Group, Machine};

const DOMAIN: &str = "east";

/// A snapshot as an earlier release writes it, without results, claims and events.
#[derive(Clone, PartialEq, Message)]
struct EarlierSnapshot {
    #[prost(uint64, tag = "1")]
    index: u64,
    #[prost(uint64, tag = "2")]
    term: u64,
    #[prost(message, optional, tag = "4")]
    configuration: Option<Configuration>,
}

fn order(evacuated: bool, prior_index: u64) -> Command {
    command(Body::SetEvacuation(SetEvacuation {
        domain: DOMAIN.into(),
        evacuated,
        prior_index,
    }))
}

fn registration(domain: &str) -> Command {
    command(Body::PutInstance(Instance {
        id: format!("i-{domain}"),
        incarnation: 1,
        domain: domain.into(),
        ..Instance::default()
    }))
}

/// A group in which an instance of the domain has registered.
async fn group(size: usize) -> Group {
    let group = Group::new(size, size).await;
    group.propose(registration(DOMAIN)).await;
    group
}

fn entry(configuration: &Configuration) -> Evacuation {
    find_evacuation(configuration, DOMAIN)
        .cloned()
        .unwrap_or_default()
}

/// Sends an order that is based on the newest entry and returns the log index of its result.
async fn set(group: &Group, evacuated: bool) -> u64 {
    let prior_index = entry(&group.read().await).index;
    let applied = group.propose(order(evacuated, prior_index)).await;
    assert_that!(applied.result, some(matches_pattern!(Outcome::Done(_))));
    applied.index
}

/// Texts of the events about evacuations.
async fn events(group: &Group) -> Vec<String> {
    let mut events = group.events().await;
    events.retain(|text| text.starts_with("domain "));
    events
}

/// Kills all machines, takes the disks of the first `lost`, cuts the power of the others and starts these again.
async fn lose_disks_and_power(group: &Group, lost: usize) {
    for (at, machine) in group.machines().iter().enumerate() {
        machine.kill();
        if at < lost {
            machine.remove();
        } else {
            machine.disk.lose_power();
        }
    }
    for at in lost..group.machines().len() {
        group.start(at).await.expect("a replica");
    }
}

jaylock_tests::cases! {
    async evacuation_and_restoration_are_recorded => {
        let group = group(1).await;
        let before = group.read().await;
        let evacuated = set(&group, true).await;
        let during = group.read().await;
        let first = entry(&during);
        expect_that!((first.index, during.index, first.restored_ms), eq((evacuated, evacuated, 0)));
        expect_that!(first.since_ms, gt(0));
        let restored = set(&group, false).await;
        let last = entry(&group.read().await);
        expect_that!((last.index, last.since_ms), eq((restored, 0)));
        expect_that!(last.restored_ms, ge(first.since_ms));
        // Routers take a revision to mean that the routes are known.
        expect_that!(group.read().await.revision, eq(before.revision));
        let texts = ["domain east is evacuated", "domain east is restored"];
        expect_that!(events(&group).await, elements_are![eq(texts[0]), eq(texts[1])]);
    };

    // Guards against an order held back in a suspended instance that undoes what was acknowledged meanwhile.
    async late_order_with_an_old_index_changes_nothing => {
        let group = group(1).await;
        for late in [order(true, 0), order(true, 1)] {
            set(&group, true).await;
            set(&group, false).await;
            let before = group.read().await;
            let applied = group.propose(late).await;
            expect_that!(applied.result, some(matches_pattern!(Outcome::Conflict(_))));
            expect_that!(group.read().await, eq(&before));
        }
    };

    // Guards against a repeated order that fails, changes its entry, or looks like a new one to watchers.
    async repeated_order_succeeds_and_changes_nothing => {
        let group = group(1).await;
        let first = order(true, 0);
        let applied = group.propose(first.clone()).await;
        let before = group.read().await;
        expect_that!(group.propose(first.clone()).await, eq(&applied));
        for prior_index in [0, 7, applied.index] {
            let repeated = group.propose(order(true, prior_index)).await;
            expect_that!(repeated.result, some(matches_pattern!(Outcome::Done(_))));
        }
        expect_that!(group.read().await, eq(&before));
        set(&group, false).await;
        // Under its own id, the order gets its first result and is not carried out again.
        expect_that!(group.propose(first).await, eq(&applied));
        expect_that!(is_evacuated(&group.read().await, DOMAIN), eq(false));
    };

    // Guards against a misspelt name that is accepted, and against a domain that is forgotten with its last instance.
    async only_domains_that_were_ever_seen_are_evacuated => {
        let group = group(1).await;
        let gone = InstanceGone { id: format!("i-{DOMAIN}"), incarnation: 1, reason: "test".into() };
        group.propose(command(Body::RemoveInstance(gone))).await;
        let unknown = SetEvacuation { domain: "esat".into(), evacuated: true, prior_index: 0 };
        for evacuated in [true, false] {
            let body = Body::SetEvacuation(SetEvacuation { evacuated, ..unknown.clone() });
            let applied = group.propose(command(body)).await;
            expect_that!(applied.result, some(matches_pattern!(Outcome::Refused(contains_substring("esat")))));
        }
        set(&group, true).await;
        let configuration = group.read().await;
        expect_that!(configuration.instances, is_empty());
        expect_that!(configuration.evacuations, len(eq(1)));
        expect_that!(configuration.domains, elements_are![eq(DOMAIN)]);
    };

    // Guards against a configuration that grows with every name that an instance ever had.
    async number_of_domains_is_bounded => {
        let group = group(1).await;
        for at in 0..1030 {
            group.propose(registration(&format!("d{at:04}"))).await;
        }
        let domains = group.read().await.domains;
        expect_that!(domains, len(eq(1024)));
        expect_that!(domains.is_sorted(), eq(true));
    };

    // Guards against a state other than the one acknowledged last when two operators act at once.
    async last_of_two_simultaneous_orders_prevails => {
        let group = group(3).await;
        for _ in 0..10 {
            set(&group, true).await;
            let prior_index = set(&group, false).await;
            let (evacuation, restoration) = futures_util::join!(
                group.propose(order(true, prior_index)),
                group.propose(order(false, prior_index)),
            );
            expect_that!(evacuation.result, some(matches_pattern!(Outcome::Done(_))));
            let is_done = matches!(restoration.result, Some(Outcome::Done(_)));
            // A restoration that came second is a conflict, as it did not know the evacuation.
            expect_that!(is_done, eq(restoration.index < evacuation.index));
            expect_that!(is_evacuated(&group.read().await, DOMAIN), eq(true));
        }
    };

    // Guards against an order that is lost, made twice or refused when the leader is killed before the reply.
    async order_is_made_once_although_the_leader_is_killed_before_its_reply => {
        for delay_us in [200, 1000, 2000, 4000] {
            let group = group(3).await;
            let first = order(true, 0);
            let leader = group.leader().await;
            let cut = Duration::from_micros(delay_us);
            let reply = compio::time::timeout(cut, group.propose_to(leader, first.clone())).await;
            group.machine(leader).kill();
            // The caller sends it again: under its id, and as a new order that is based on the entry.
            let again = group.propose(first).await;
            expect_that!(again.result, some(matches_pattern!(Outcome::Done(_))), "{reply:?}");
            set(&group, true).await;
            expect_that!(is_evacuated(&group.read().await, DOMAIN), eq(true));
            expect_that!(events(&group).await, len(eq(1)), "after {delay_us} us");
        }
    };

    // Guards against an acknowledged order that was on too few disks, or on none durably.
    async acknowledged_order_survives_lost_disks_and_a_power_loss_of_the_others => {
        for evacuated in [true, false] {
            let group = group(5).await;
            if !evacuated {
                set(&group, true).await;
            }
            set(&group, evacuated).await;
            lose_disks_and_power(&group, 2).await;
            let configuration = group.read().await;
            expect_that!(is_evacuated(&configuration, DOMAIN), eq(evacuated));
            expect_that!(configuration.domains, contains(eq(DOMAIN)));
        }
    };

    // Guards against snapshots without the orders, as replaced replicas and restarts get them.
    async orders_outlast_snapshots_and_restarts => {
        let group = group(3).await;
        set(&group, true).await;
        // More entries than a snapshot waits for.
        for at in 0..80 {
            group.propose(command(Body::DrainBackend(format!("b{at}")))).await;
        }
        let before = entry(&group.read().await);
        group.machines().iter().for_each(Machine::kill);
        for at in 0..3 {
            group.start(at).await.expect("a replica");
        }
        let after = group.read().await;
        expect_that!(entry(&after), eq(&before));
        expect_that!(after.domains, elements_are![eq(DOMAIN)]);
    };

    // Guards against domains that can't be evacuated after an update, as an earlier release recorded none.
    async snapshot_of_an_earlier_release_gets_the_domains_of_its_instances => {
        let group = group(1).await;
        group.propose(registration("west")).await;
        let mut configuration = group.read().await;
        configuration.domains.clear();
        let member = configuration.members[0].clone();
        let (index, term) = (configuration.index + 10, 50);
        configuration.index = index;
        let snapshot = EarlierSnapshot { index, term, configuration: Some(configuration) };
        let request = InstallRequest {
            term,
            leader: "r9".into(),
            last_index: index,
            last_term: term,
            chunk: snapshot.encode_to_vec(),
            last: true,
            generation: member.generation,
            ..InstallRequest::default()
        };
        let replica = group.machine(0).replica().expect("a replica");
        replica.replica_service().install(Request::new(request)).await.expect("a reply");
        let restored = group.wait_until("the snapshot", |c| c.index >= index).await;
        expect_that!(restored.domains, elements_are![eq(DOMAIN), eq("west")]);
        set(&group, true).await;
    };

    // Guards against instances that follow the changes and don't learn of an order.
    followers_apply_orders_and_domains => {
        let view = ConfigView::default();
        let start = Configuration { index: 1, ..Configuration::default() };
        let mut reply = WatchReply { whole: Some(start.encode_to_vec().into()), ..WatchReply::default() };
        let commands = [registration(DOMAIN), order(true, 0), order(false, 3)];
        for (prior_index, command) in (1..).zip(commands) {
            let change = Change {
                prior_index,
                index: prior_index + 1,
                revision: 0,
                at_ms: 100 + prior_index,
                command: Some(command),
            };
            reply.changes.push(change.encode_to_vec().into());
            expect_that!(view.apply_changes(reply.clone()), eq(true));
            expect_that!(is_evacuated(&view.current(), DOMAIN), eq(prior_index == 2));
        }
        let last = Evacuation { domain: DOMAIN.into(), index: 4, since_ms: 0, restored_ms: 103 };
        expect_that!(entry(&view.current()), eq(&last));
    };
}
