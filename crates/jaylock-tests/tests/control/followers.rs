//! Instances that follow the configuration: first start, loss of control, isolation.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::TcpListener;
use compio::runtime::JoinHandle;
use googletest::prelude::*;
use jaylock_control::{ConfigView, Follower, FollowerSettings, InstanceLease, PeerService};
use jaylock_rpc::v1::peer_server::PeerServer;
use jaylock_rpc::v1::{Instance, SyncRequest};
use jaylock_rpc::{Access, Routes, ServerSettings, local_value, serve};
use jaylock_tests::SyncOnlyPeer;
use jaylock_types::Revision;
use tempfile::TempDir;
use tonic::Status;

use crate::commands::create_organisation;
use crate::group::TIMEOUT;
use crate::nodes::{Node, client, listeners, members, start};

/// An instance that follows the configuration and runs no replica.
struct FollowerNode {
    view: ConfigView,
    lease: InstanceLease,
    is_isolated: Rc<Cell<bool>>,
    _tasks: [JoinHandle<()>; 2],
}

fn settings() -> FollowerSettings {
    FollowerSettings {
        renew_interval: Duration::from_millis(50),
        gossip_interval: Duration::from_millis(50),
        reply_timeout: Duration::from_millis(500),
        ..FollowerSettings::default()
    }
}

/// Starts an instance that knows one address of control.
async fn start_follower(name: &str, control: &Node) -> FollowerNode {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let view = ConfigView::default();
    let instance = Instance {
        id: name.into(),
        incarnation: 1,
        domain: "d0".into(),
        peer_address: listener.local_addr().expect("an address").to_string(),
        ..Instance::default()
    };
    let client = client(std::slice::from_ref(&control.member));
    let follower = Follower::new(client, view.clone(), instance, settings());
    let (lease, is_isolated) = (follower.lease(), Rc::new(Cell::new(false)));
    let (service, server_is_isolated) = (
        local_value(PeerService::new(view.clone(), lease.clone())),
        local_value(is_isolated.clone()),
    );
    let sync = move |request: &SyncRequest| {
        if server_is_isolated.get() {
            return Err(Status::unavailable("isolated"));
        }
        Ok(service.sync(request))
    };
    let routes = Routes::default().with(Access::Instances, PeerServer::new(SyncOnlyPeer(sync)));
    let serving = serve(listener, routes, ServerSettings::default());
    FollowerNode {
        view,
        lease,
        is_isolated,
        _tasks: [
            compio::runtime::spawn(serving),
            compio::runtime::spawn(follower.run()),
        ],
    }
}

async fn start_control() -> (Node, TempDir) {
    let folder = tempfile::tempdir().expect("a folder");
    let listener = listeners(1).await.remove(0);
    let members = members(std::slice::from_ref(&listener));
    let node = start(listener, members[0].clone(), &members, folder.path()).await;
    (node, folder)
}

async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < TIMEOUT,
            "not within {TIMEOUT:?}: {what}"
        );
        compio::time::sleep(Duration::from_millis(10)).await;
    }
}

jaylock_tests::cases! {
    async new_follower_catches_up_after_hundreds_of_changes => {
        let (control, _folder) = start_control().await;
        let client = client(std::slice::from_ref(&control.member));
        for round in 0..300 {
            client.propose(create_organisation(&format!("o{round}"), Some(round))).await.expect("a reply");
        }
        let follower = start_follower("follower", &control).await;
        wait_until("the newest revision", || follower.view.revision() == Revision(300)).await;
        wait_until("a lease", || follower.lease.is_valid() && follower.view.is_connected()).await;
    };

    async followers_stay_connected_and_gossip_without_control => {
        let (control, _folder) = start_control().await;
        let client = client(std::slice::from_ref(&control.member));
        let followers = [
            start_follower("a", &control).await,
            start_follower("b", &control).await,
            start_follower("c", &control).await,
        ];
        let all_known = || followers.iter().all(|r| r.view.current().instances.len() == 3);
        wait_until("three instances", all_known).await;
        client.propose(create_organisation("o", Some(0))).await.expect("a reply");
        wait_until("the change", || followers.iter().all(|r| r.view.revision() == Revision(1))).await;
        control.replica.clone().close().await;
        wait_until("no lease", || followers.iter().all(|r| !r.lease.is_valid())).await;
        compio::time::sleep(settings().gossip_interval * 4).await;
        expect_true!(followers.iter().all(|r| r.view.is_connected()));

        // A newer configuration at one instance spreads to the others by gossip.
        let mut newer = (*followers[0].view.current()).clone();
        (newer.revision, newer.index) = (2, newer.index + 1);
        expect_true!(followers[0].view.update(newer));
        wait_until("gossip", || followers.iter().all(|r| r.view.revision() == Revision(2))).await;

        // An instance that reaches no other one counts as disconnected.
        followers[1].is_isolated.set(true);
        followers[2].is_isolated.set(true);
        wait_until("disconnected", || !followers[0].view.is_connected()).await;
        followers[1].is_isolated.set(false);
        wait_until("connected again", || followers[0].view.is_connected()).await;
    };
}
