//! Instances that follow: cold starts, cuts from control, cuts from all.

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
use jaylock_tests::SyncOnly;
use jaylock_types::Revision;
use tempfile::TempDir;
use tonic::Status;

use crate::commands::create;
use crate::fleet::{Node, client, listeners, members, start};
use crate::group::PATIENCE;

/// An instance that follows, without a replica.
struct Router {
    view: ConfigView,
    lease: InstanceLease,
    cut: Rc<Cell<bool>>,
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

/// Starts an instance that knows control by one address.
async fn router(name: &str, control: &Node) -> Router {
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
    let (lease, cut) = (follower.lease(), Rc::new(Cell::new(false)));
    let (service, is_cut) = (
        local_value(PeerService::new(view.clone(), lease.clone())),
        local_value(cut.clone()),
    );
    let sync = move |request: &SyncRequest| {
        if is_cut.get() {
            return Err(Status::unavailable("cut"));
        }
        Ok(service.sync(request))
    };
    let routes = Routes::default().with(Access::Instances, PeerServer::new(SyncOnly(sync)));
    let serving = serve(listener, routes, ServerSettings::default());
    Router {
        view,
        lease,
        cut,
        _tasks: [
            compio::runtime::spawn(serving),
            compio::runtime::spawn(follower.run()),
        ],
    }
}

async fn control() -> (Node, TempDir) {
    let folder = tempfile::tempdir().expect("a folder");
    let listener = listeners(1).await.remove(0);
    let members = members(std::slice::from_ref(&listener));
    let node = start(listener, members[0].clone(), &members, folder.path()).await;
    (node, folder)
}

async fn until(what: &str, wanted: impl Fn() -> bool) {
    let started = Instant::now();
    while !wanted() {
        assert!(
            started.elapsed() < PATIENCE,
            "not within {PATIENCE:?}: {what}"
        );
        compio::time::sleep(Duration::from_millis(10)).await;
    }
}

jaylock_tests::cases! {
    async a_cold_follower_catches_up_after_hundreds_of_changes => {
        let (control, _folder) = control().await;
        let client = client(std::slice::from_ref(&control.member));
        for round in 0..300 {
            client.propose(create(&format!("o{round}"), Some(round))).await.expect("an answer");
        }
        let cold = router("cold", &control).await;
        until("the newest revision", || cold.view.revision() == Revision(300)).await;
        until("a lease", || cold.lease.is_valid() && cold.view.is_connected()).await;
    };

    async followers_go_on_without_control_and_tell_each_other => {
        let (control, _folder) = control().await;
        let client = client(std::slice::from_ref(&control.member));
        let routers = [
            router("a", &control).await,
            router("b", &control).await,
            router("c", &control).await,
        ];
        let all_known = || routers.iter().all(|r| r.view.current().instances.len() == 3);
        until("three instances", all_known).await;
        client.propose(create("o", Some(0))).await.expect("an answer");
        until("the change", || routers.iter().all(|r| r.view.revision() == Revision(1))).await;
        control.replica.clone().close().await;
        until("no lease", || routers.iter().all(|r| !r.lease.is_valid())).await;
        compio::time::sleep(settings().gossip_interval * 4).await;
        expect_true!(routers.iter().all(|r| r.view.is_connected()));

        // One hears of a newer configuration, by whatever way: the others learn it from it.
        let mut newer = (*routers[0].view.current()).clone();
        (newer.revision, newer.index) = (2, newer.index + 1);
        expect_true!(routers[0].view.update(newer));
        until("gossip", || routers.iter().all(|r| r.view.revision() == Revision(2))).await;

        // Cut off from all, an instance knows that it is.
        routers[1].cut.set(true);
        routers[2].cut.set(true);
        until("cut off", || !routers[0].view.is_connected()).await;
        routers[1].cut.set(false);
        until("back", || routers[0].view.is_connected()).await;
    };
}
