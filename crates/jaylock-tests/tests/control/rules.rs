//! Rules that hold the group together, each brought about on its own.

use std::time::Instant;

use googletest::prelude::*;
use jaylock_control::ConfigView;
use jaylock_rpc::v1::replica_server::Replica;
use jaylock_rpc::v1::{Configuration, Instance, VoteRequest};

use crate::commands::create;
use crate::group::{Group, PATIENCE};

fn instance(id: &str, disk: bool) -> Instance {
    Instance {
        id: id.into(),
        incarnation: 1,
        disk,
        ..Instance::default()
    }
}

jaylock_tests::cases! {
    async an_acknowledged_change_survives_a_crash_of_all => {
        for _ in 0..6 {
            let group = Group::new(3, 3).await;
            group.propose(create("a", Some(0))).await;
            group.propose(create("b", Some(1))).await;
            let leader = group.leader().await;
            for at in (0..3).filter(|at| *at != leader) {
                group.machine(at).medium.slow.set(30);
            }
            group.propose(create("c", Some(2))).await;
            for machine in group.machines() {
                machine.kill();
            }
            for at in (0..3).filter(|at| *at != leader) {
                group.start(at).await.expect("a replica");
            }
            expect_that!(group.read().await.revision, eq(3));
        }
    };

    async a_lost_disk_helps_no_replica_that_is_behind => {
        let group = Group::new(3, 3).await;
        let leader = group.leader().await;
        let (behind, lost) = ((leader + 1) % 3, (leader + 2) % 3);
        group.propose(create("a", Some(0))).await;
        group.machine(behind).kill();
        group.propose(create("b", Some(1))).await;
        group.machine(leader).kill();
        group.machine(lost).kill();
        group.machine(lost).medium.wipe();
        group.start(behind).await.expect("a replica");
        group.start(lost).await.expect("a replica");
        compio::time::sleep(group.settings.election_timeout * 8).await;
        expect_that!(group.leaders(), is_empty());
        group.start(leader).await.expect("a replica");
        expect_that!(group.read().await.revision, eq(2));
    };

    async whoever_hears_a_leader_votes_for_no_other => {
        let group = Group::new(3, 3).await;
        group.propose(create("a", Some(0))).await;
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

    async a_new_leader_waits_for_the_leases_of_the_old_one => {
        let group = Group::new(3, 3).await;
        let (x, y) = (instance("x", true), instance("y", false));
        group.propose(create("a", Some(0))).await;
        let old = group.leader().await;
        group.renew_at(old, &y, &[]).await.expect("a lease");
        group.renew_at(old, &x, &["pool"]).await.expect("a lease");
        let holder = |c: &Configuration| c.pools.first().map(|p| p.instance.clone());
        group.until("a holder", |c| holder(c).as_deref() == Some("x")).await;
        let sent = Instant::now();
        let reply = group.renew_at(old, &x, &[]).await.expect("a lease");
        let lease = std::time::Duration::from_millis(reply.lease_ms.into());
        group.machine(old).replica().expect("a replica").step_down().await;
        while holder(&group.read().await).as_deref() == Some("x") {
            let _ = group.renew_at(group.leader().await, &y, &[]).await;
            assert!(sent.elapsed() < PATIENCE, "the pool has no new holder");
        }
        expect_that!(sent.elapsed(), ge(lease));
    };

    async an_instance_whose_time_of_day_went_back_is_taken_after_one_lease => {
        let group = Group::new(1, 1).await;
        // Answers once the first entry of the leader's term is committed; a lease needs that too.
        group.read().await;
        let ahead = Instance { incarnation: 600_000, ..instance("x", false) };
        group.renew_at(0, &ahead, &[]).await.expect("a lease");
        let behind = Instance { incarnation: 7, ..ahead };
        expect_that!(group.renew_at(0, &behind, &[]).await, none());
        let started = Instant::now();
        while group.renew_at(0, &behind, &[]).await.is_none() {
            assert!(started.elapsed() < PATIENCE, "it is refused for good");
            compio::time::sleep(group.settings.instance_lease / 10).await;
        }
        let known = group.read().await.instances;
        expect_that!(known[0].incarnation, eq(7));
    };

    a_view_never_goes_back => {
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
