//! Commands of operators: retries, races, and the limits of stored results and claims.

use googletest::prelude::*;
use jaylock_rpc::v1::applied::Result as Outcome;
use jaylock_rpc::v1::claim_state::Kind;
use jaylock_rpc::v1::command::Body;
use jaylock_rpc::v1::{
    Applied, Claim, Command, CrashCause, Instance, InstanceGone, Organisation, Quarantine,
    ReleaseClaim, Settle,
};

use crate::group::Group;

/// A command that creates an organisation.
pub fn create_organisation(id: &str, expected: Option<u64>) -> Command {
    Command {
        id: format!("create-{id}"),
        expected_revision: expected,
        body: Some(Body::PutOrganisation(Organisation {
            id: id.into(),
            weight: 1,
            ..Organisation::default()
        })),
    }
}

pub fn command(body: Body) -> Command {
    Command {
        id: uuid::Uuid::now_v7().to_string(),
        expected_revision: None,
        body: Some(body),
    }
}

fn claim(router: &str, incarnation: u64, request: &str, key: &str) -> Command {
    command(Body::Claim(Claim {
        organisation: "shop".into(),
        key: key.into(),
        fingerprint: vec![1; 32],
        router: router.into(),
        incarnation,
        request: request.into(),
        at_ms: 0,
    }))
}

fn claim_kind(applied: &Applied) -> Option<Kind> {
    match &applied.result {
        Some(Outcome::Claim(state)) => Some(state.kind()),
        _ => None,
    }
}

fn instance(id: &str, incarnation: u64) -> Instance {
    Instance {
        id: id.into(),
        incarnation,
        ..Instance::default()
    }
}

/// Renews the leases of instances until the future is dropped.
async fn keep_renewing(group: &Group, instances: &[Instance]) {
    loop {
        for instance in instances {
            for at in 0..group.machines().len() {
                let _ = group.renew_at(at, instance, &[]).await;
            }
        }
    }
}

jaylock_tests::cases! {
    async retry_after_restart_of_all_replicas_gets_the_first_result => {
        let group = Group::new(3, 3).await;
        let first = group.propose(create_organisation("a", Some(0))).await;
        expect_that!(first.result, some(matches_pattern!(Outcome::Done(_))));
        for round in 0..100 {
            group.propose(create_organisation(&format!("more{round}"), None)).await;
        }
        for machine in group.machines() {
            machine.kill();
        }
        for at in 0..3 {
            group.start(at).await.expect("a replica");
        }
        expect_that!(group.propose(create_organisation("a", Some(0))).await, eq(&first));
        expect_that!(group.read().await.revision, eq(101));
    };

    async accepts_one_of_two_commands_at_the_same_revision => {
        let group = Group::new(3, 3).await;
        group.leader().await;
        for round in 0..10 {
            let (a, b) = (format!("a{round}"), format!("b{round}"));
            let (a, b) = futures_util::join!(
                group.propose(create_organisation(&a, Some(round))),
                group.propose(create_organisation(&b, Some(round))),
            );
            let is_done = |applied: &&Applied| matches!(applied.result, Some(Outcome::Done(_)));
            expect_that!([&a, &b].into_iter().filter(is_done).count(), eq(1));
            let lost = Outcome::Conflict(round + 1);
            let conflict = some(eq(&lost));
            expect_that!([a.result, b.result], contains(conflict));
        }
    };

    async grants_a_claim_once => {
        let group = Group::new(1, 1).await;
        let instances = [instance("x", 1), instance("y", 1)];
        let renewing = keep_renewing(&group, &instances);
        let test = async {
            group.wait_until("instances", |c| c.instances.len() == 2).await;
            let claim_kind_of = async |command| claim_kind(&group.propose(command).await);
            expect_that!(claim_kind_of(claim("x", 1, "q1", "key")).await, some(eq(Kind::Granted)));
            expect_that!(claim_kind_of(claim("x", 1, "q1", "key")).await, some(eq(Kind::Granted)));
            expect_that!(claim_kind_of(claim("x", 1, "q2", "key")).await, some(eq(Kind::Pending)));
            expect_that!(claim_kind_of(claim("y", 1, "q3", "key")).await, some(eq(Kind::Pending)));
            let settle = Settle {
                organisation: "shop".into(),
                key: "key".into(),
                router: "x".into(),
                incarnation: 1,
                known: true,
                status: 200,
                body: b"done".to_vec(),
                ..Settle::default()
            };
            group.propose(command(Body::Settle(settle))).await;
            expect_that!(claim_kind_of(claim("y", 1, "q3", "key")).await, some(eq(Kind::Settled)));

            expect_that!(claim_kind_of(claim("y", 1, "q4", "other")).await, some(eq(Kind::Granted)));
            let gone = InstanceGone {
                id: "y".into(),
                incarnation: 1,
                reason: "test".into(),
            };
            group.propose(command(Body::RemoveInstance(gone))).await;
            expect_that!(claim_kind_of(claim("x", 1, "q5", "other")).await, some(eq(Kind::Unknown)));
            expect_that!(claim_kind_of(claim("y", 1, "q4", "other")).await, some(eq(Kind::Unknown)));
            let old = "01800000-0000-7000-8000-000000000000";
            expect_that!(claim_kind_of(claim("x", 1, "q6", old)).await, some(eq(Kind::Expired)));
        };
        futures_util::future::select(std::pin::pin!(renewing), std::pin::pin!(test)).await;
    };

    async repeated_release_keeps_a_later_claim => {
        let group = Group::new(1, 1).await;
        let instances = [instance("x", 1)];
        let renewing = keep_renewing(&group, &instances);
        let test = async {
            group.wait_until("an instance", |c| c.instances.len() == 1).await;
            let claim_kind_of = async |request| claim_kind(&group.propose(claim("x", 1, request, "k")).await);
            let release = command(Body::ReleaseClaim(ReleaseClaim {
                organisation: "shop".into(),
                key: "k".into(),
                router: "x".into(),
                incarnation: 1,
                request: "q1".into(),
            }));
            expect_that!(claim_kind_of("q1").await, some(eq(Kind::Granted)));
            group.propose(release.clone()).await;
            expect_that!(claim_kind_of("q2").await, some(eq(Kind::Granted)));
            // The router repeats the release, as if the reply to the first one was lost.
            group.propose(release).await;
            expect_that!(claim_kind_of("q3").await, some(eq(Kind::Pending)));
        };
        futures_util::future::select(std::pin::pin!(renewing), std::pin::pin!(test)).await;
    };

    async suspicions_of_two_crashes_become_a_quarantine => {
        let group = Group::new(1, 1).await;
        let put = async |request: &str, backend: &str, until_ms: u64, suspect: bool| {
            let quarantine = Quarantine {
                fingerprint: vec![1; 32],
                request: request.into(),
                backend: backend.into(),
                until_ms,
                suspect,
                ..Quarantine::default()
            };
            group.propose(command(Body::PutQuarantine(quarantine))).await;
            let quarantines = group.read().await.quarantines;
            quarantines.first().map(|q| (q.suspect, q.until_ms))
        };
        let (soon, late) = (u64::MAX - 1, u64::MAX);
        expect_that!(put("q1", "e1", soon, true).await, some(eq((true, soon))));
        expect_that!(put("q2", "", 0, true).await, some(eq((true, soon))));
        expect_that!(put("q1", "", 0, true).await, none());
        expect_that!(put("q1", "e1", soon, true).await, some(eq((true, soon))));
        expect_that!(put("q2", "e1", soon, true).await, some(eq((true, soon))));
        expect_that!(put("q3", "e2", soon, true).await, some(eq((false, soon))));
        expect_that!(put("q4", "e1", soon, true).await, some(eq((false, soon))));
        expect_that!(put("q4", "", 0, true).await, some(eq((false, soon))));
        expect_that!(put("q3", "e2", late, false).await, some(eq((false, late))));
    };

    async late_or_older_cause_of_crashes_shortens_a_quarantine => {
        let group = Group::new(1, 1).await;
        let put = async |hash: u64, quarantines: u32, until_ms: u64| {
            let cause = CrashCause { pool: "chat".into(), hash, quarantines, until_ms, ..CrashCause::default() };
            group.propose(command(Body::PutCrashCause(cause))).await;
            let causes = group.read().await.crash_causes;
            causes.iter().map(|c| (c.hash, c.quarantines, c.until_ms)).collect::<Vec<_>>()
        };
        let (soon, late) = (u64::MAX - 1, u64::MAX);
        expect_that!(put(7, 1, soon).await, elements_are![eq(&(7, 1, soon))]);
        expect_that!(put(7, 1, 1000).await, elements_are![eq(&(7, 1, soon))]);
        expect_that!(put(7, 2, late).await, elements_are![eq(&(7, 2, late))]);
        expect_that!(put(7, 1, soon).await, elements_are![eq(&(7, 2, late))]);
        expect_that!(put(3, 1, soon).await, elements_are![eq(&(3, 1, soon)), eq(&(7, 2, late))]);
        expect_that!(put(7, 0, 0).await, elements_are![eq(&(3, 1, soon))]);
        expect_that!(put(7, 0, 0).await, elements_are![eq(&(3, 1, soon))]);
    };

    async causes_of_crashes_grow_without_bound => {
        let group = Group::new(1, 1).await;
        for first in (0..1100).step_by(100) {
            let causes = (first..first + 100).map(|hash| CrashCause {
                pool: "chat".into(),
                hash,
                quarantines: 1,
                until_ms: u64::MAX / 2 + hash,
                ..CrashCause::default()
            });
            let puts = causes.map(|cause| group.propose(command(Body::PutCrashCause(cause))));
            futures_util::future::join_all(puts).await;
        }
        let causes = group.read().await.crash_causes;
        expect_that!(causes.len(), eq(1024));
        expect_that!(causes.first().map(|c| c.hash), some(eq(76)));
    };

    async refuses_a_retry_whose_result_was_evicted => {
        let group = Group::new(1, 1).await;
        let old = command(create_organisation("a", None).body.expect("a body"));
        group.propose(old.clone()).await;
        let make = |at: usize| create_organisation(&format!("n{at}"), None);
        // 100 commands more than the 10,000 whose results are stored.
        for batch in 0..101 {
            let batch = (batch * 100..batch * 100 + 100).map(|at| group.propose(make(at)));
            futures_util::future::join_all(batch).await;
        }
        let again = group.propose(old).await;
        expect_that!(again.result, some(matches_pattern!(Outcome::Refused(_))));
        let again = group.propose(create_organisation("n0", Some(1))).await;
        expect_that!(again.result, some(matches_pattern!(Outcome::Conflict(_))));
    };
}
