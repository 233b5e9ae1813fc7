//! A group of replicas over gRPC and files, end to end.

use std::time::Duration;

use googletest::prelude::*;
use jaylock_control::{ConfigView, Follower, FollowerSettings};
use jaylock_rpc::v1::applied::Result as Outcome;
use jaylock_rpc::v1::command::Body;
use jaylock_rpc::v1::{Command, Instance, Organisation};
use jaylock_types::Index;

use crate::nodes::{client, listeners, members, start};

fn create_organisation(id: &str, expected: Option<u64>) -> Command {
    Command {
        id: format!("make-{id}"),
        expected_revision: expected,
        body: Some(Body::PutOrganisation(Organisation {
            id: id.into(),
            weight: 1,
            ..Organisation::default()
        })),
    }
}

async fn check_group(size: usize) {
    let folders: Vec<_> = (0..size)
        .map(|_| tempfile::tempdir().expect("a folder"))
        .collect();
    let listeners = listeners(size).await;
    let members = members(&listeners);
    let mut nodes = Vec::new();
    for (at, listener) in listeners.into_iter().enumerate() {
        let folder = folders[at].path();
        nodes.push(start(listener, members[at].clone(), &members, folder).await);
    }
    let client = client(&members);

    let applied = client
        .propose(create_organisation("shop", Some(0)))
        .await
        .expect("a reply");
    expect_that!(applied.revision, eq(1));
    expect_that!(applied.result, some(matches_pattern!(Outcome::Done(_))));
    let retry = client
        .propose(create_organisation("shop", Some(0)))
        .await
        .expect("a reply");
    expect_that!(retry, eq(&applied));
    let outdated = client
        .propose(create_organisation("other", Some(0)))
        .await
        .expect("a reply");
    expect_that!(outdated.result, some(eq(&Outcome::Conflict(1))));

    let view = ConfigView::default();
    let instance = Instance {
        id: "r0".into(),
        incarnation: 1,
        disk: true,
        domain: "d0".into(),
        peer_address: members[0].peer_address.clone(),
        ..Instance::default()
    };
    let settings = FollowerSettings {
        renew_interval: Duration::from_millis(100),
        ..FollowerSettings::default()
    };
    let follower = Follower::new(client.clone(), view.clone(), instance, settings);
    let (lease, handle) = (follower.lease(), follower.handle());
    handle.set_unserved_pools(vec!["pool".parse().expect("a name")]);
    let _following = compio::runtime::spawn(follower.run());
    while view.current().pools.is_empty() {
        let newer = view.wait_newer_than(view.index());
        compio::time::timeout(Duration::from_secs(10), newer)
            .await
            .expect("a change");
    }
    expect_that!(view.current().pools[0].epoch, eq(1));
    expect_that!(view.current().pools[0].instance.as_str(), eq("r0"));
    expect_that!(view.index(), gt(Index(applied.index)));
    expect_true!(lease.is_valid());
    expect_true!(view.is_connected());
    let read = client.read().await.expect("a configuration");
    expect_that!(read.members.len(), eq(size));
    let lag = client.lag().await.expect("a reply");
    expect_that!(lag.instances.len(), eq(1));
    expect_that!(
        nodes.iter().filter(|n| n.replica.is_leader()).count(),
        eq(1)
    );
}

jaylock_tests::cases! {
    async group_of_one_serves_clients_and_followers => {
        check_group(1).await;
    };
    async group_of_three_serves_clients_and_followers => {
        check_group(3).await;
    };
}
