//! Invariants of the group, each tested on its own.

use std::time::Instant;

use googletest::prelude::*;
use jaylock_control::ConfigView;
use jaylock_rpc::v1::replica_server::Replica;
use jaylock_rpc::v1::{Configuration, Instance, VoteRequest};

use crate::commands::create_organisation;
use crate::group::{Group, TIMEOUT};

fn instance(id: &str, disk: bool) -> Instance {
    Instance {
        id: id.into(),
        incarnation: 1,
        disk,
        ..Instance::default()
    }
}

jaylock_tests::cases! {
    async acknowledged_change_survives_a_crash_of_all_replicas => {
        for _ in 0..6 {
            let group = Group::new(3, 3).await;
            group.propose(create_organisation("a", Some(0))).await;
            group.propose(create_organisation("b", Some(1))).await;
            let leader = group.leader().await;
            for at in (0..3).filter(|at| *at != leader) {
                group.machine(at).disk.write_delay_ms.set(30);
            }
            group.propose(create_organisation("c", Some(2))).await;
            for machine in group.machines() {
                machine.kill();
            }
            // Only the slow followers restart, so a change that none of them had synced would be lost.
            for at in (0..3).filter(|at| *at != leader) {
                group.start(at).await.expect("a replica");
            }
            expect_that!(group.read().await.revision, eq(3));
        }
    };

    async replica_with_a_lost_disk_elects_no_lagging_replica => {
        let group = Group::new(3, 3).await;
        let leader = group.leader().await;
        let (lagging, lost) = ((leader + 1) % 3, (leader + 2) % 3);
        group.propose(create_organisation("a", Some(0))).await;
        group.machine(lagging).kill();
        group.propose(create_organisation("b", Some(1))).await;
        group.machine(leader).kill();
        group.machine(lost).kill();
        group.machine(lost).disk.wipe();
        group.start(lagging).await.expect("a replica");
        group.start(lost).await.expect("a replica");
        compio::time::sleep(group.settings.election_timeout * 8).await;
        expect_that!(group.leaders(), is_empty());
        group.start(leader).await.expect("a replica");
        expect_that!(group.read().await.revision, eq(2));
    };

    async refuses_votes_while_in_contact_with_a_leader => {
        let group = Group::new(3, 3).await;
        group.propose(create_organisation("a", Some(0))).await;
        let leader = group.leader().await;
        for poll in [true, false] {
            for machine in group.machines() {
                let request = VoteRequest {
                    term: 1000,
                    candidate: "x".into(),
                    generation: 1,
                    last_index: 1000,
                    last_term: 999,
                    poll,
                    ..VoteRequest::default()
                };
                let service = machine.replica().expect("a replica").replica_service();
                let reply = service.vote(tonic::Request::new(request)).await;
                let reply = reply.expect("a reply").into_inner();
                expect_false!(reply.granted);
                expect_that!(reply.term, lt(1000));
            }
        }
        expect_that!(group.leaders(), elements_are![eq(&leader)]);
    };

    async new_leader_waits_for_the_leases_of_the_old_leader => {
        let group = Group::new(3, 3).await;
        let (x, y) = (instance("x", true), instance("y", false));
        group.propose(create_organisation("a", Some(0))).await;
        let old_leader = group.leader().await;
        group.renew_at(old_leader, &y, &[]).await.expect("a lease");
        group.renew_at(old_leader, &x, &["pool"]).await.expect("a lease");
        let holder = |c: &Configuration| c.pools.first().map(|p| p.instance.clone());
        group.wait_until("a holder", |c| holder(c).as_deref() == Some("x")).await;
        let sent = Instant::now();
        let reply = group.renew_at(old_leader, &x, &[]).await.expect("a lease");
        let lease = std::time::Duration::from_millis(reply.lease_ms.into());
        group.machine(old_leader).replica().expect("a replica").step_down().await;
        while holder(&group.read().await).as_deref() == Some("x") {
            let _ = group.renew_at(group.leader().await, &y, &[]).await;
            assert!(sent.elapsed() < TIMEOUT, "the pool has no new holder");
        }
        expect_that!(sent.elapsed(), ge(lease));
    };

    async accepts_a_lower_incarnation_after_one_lease => {
        let group = Group::new(1, 1).await;
        // Returns once the first entry of the term is committed, which a lease requires as well.
        group.read().await;
        let higher = Instance { incarnation: 600_000, ..instance("x", false) };
        group.renew_at(0, &higher, &[]).await.expect("a lease");
        // An incarnation decreases when the clock of the machine is set back.
        let lower = Instance { incarnation: 7, ..higher };
        expect_that!(group.renew_at(0, &lower, &[]).await, none());
        let started = Instant::now();
        while group.renew_at(0, &lower, &[]).await.is_none() {
            assert!(started.elapsed() < TIMEOUT, "the instance is still refused");
            compio::time::sleep(group.settings.instance_lease / 10).await;
        }
        let instances = group.read().await.instances;
        expect_that!(instances[0].incarnation, eq(7));
    };

    view_ignores_older_configurations => {
        let view = ConfigView::default();
        let at = |revision, index| Configuration {
            revision,
            index,
            ..Configuration::default()
        };
        expect_true!(view.update(at(2, 9)));
        expect_false!(view.update(at(1, 8)));
        expect_false!(view.update(at(2, 9)));
        expect_that!(view.revision().0, eq(2));
        expect_true!(view.update(at(2, 10)));
    };
}
