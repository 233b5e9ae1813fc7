//! Releases of claims, including delayed ones.

use googletest::prelude::*;
use jaylock_rpc::v1::applied::Result as Outcome;
use jaylock_rpc::v1::claim_state::Kind;
use jaylock_rpc::v1::command::Body;
use jaylock_rpc::v1::{Claim, Command, Instance, ReleaseClaim};

use crate::group::Group;

fn command(body: Body) -> Command {
    Command {
        id: uuid::Uuid::now_v7().to_string(),
        expected_revision: None,
        body: Some(body),
    }
}

async fn claim(group: &Group, request: &str) -> Option<Kind> {
    let claim = Claim {
        organisation: "shop".into(),
        key: "key".into(),
        fingerprint: vec![1; 32],
        router: "x".into(),
        incarnation: 1,
        request: request.into(),
        at_ms: 0,
    };
    match group.propose(command(Body::Claim(claim))).await.result {
        Some(Outcome::Claim(state)) => Some(state.kind()),
        _ => None,
    }
}

async fn release(group: &Group, request: &str) {
    let release = ReleaseClaim {
        organisation: "shop".into(),
        key: "key".into(),
        router: "x".into(),
        incarnation: 1,
        request: request.into(),
    };
    group.propose(command(Body::ReleaseClaim(release))).await;
}

jaylock_tests::cases! {
    async delayed_release_keeps_the_claim_of_a_later_request => {
        let group = Group::new(1, 1).await;
        let instance = Instance {
            id: "x".into(),
            incarnation: 1,
            ..Instance::default()
        };
        let renewing = async {
            loop {
                let _ = group.renew_at(0, &instance, &[]).await;
            }
        };
        let test = async {
            group.wait_until("the instance", |c| c.instances.len() == 1).await;
            // The claim of q1 never reached the log, and its release arrives after the claim of q2.
            expect_that!(claim(&group, "q2").await, some(eq(Kind::Granted)));
            release(&group, "q1").await;
            expect_that!(claim(&group, "q3").await, some(eq(Kind::Pending)));
            release(&group, "q2").await;
            expect_that!(claim(&group, "q3").await, some(eq(Kind::Granted)));
        };
        futures_util::future::select(std::pin::pin!(renewing), std::pin::pin!(test)).await;
    };
}
