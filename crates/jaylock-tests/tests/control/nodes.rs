//! Replicas with real sockets and files.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use compio::net::TcpListener;
use compio::runtime::JoinHandle;
use jaylock_control::{ClientSettings, ControlClient, FileDisk, Replica, ReplicaSettings};
use jaylock_rpc::v1::Member;
use jaylock_rpc::{Access, ChannelSettings, Routes, ServerSettings, serve};

/// A replica that serves on a loopback socket.
pub struct Node {
    pub replica: Replica,
    pub member: Member,
    _tasks: [JoinHandle<()>; 2],
}

/// Short timers for quick tests.
pub fn settings() -> ReplicaSettings {
    ReplicaSettings {
        heartbeat_interval: Duration::from_millis(20),
        election_timeout: Duration::from_millis(150),
        leader_lease: Duration::from_millis(120),
        instance_lease: Duration::from_millis(600),
        replace_after: Duration::from_millis(800),
        ..ReplicaSettings::default()
    }
}

/// Binds listeners on free ports.
pub async fn listeners(count: usize) -> Vec<TcpListener> {
    let mut listeners = Vec::new();
    for _ in 0..count {
        listeners.push(TcpListener::bind("127.0.0.1:0").await.expect("a port"));
    }
    listeners
}

/// Member records `r0`, `r1`, ... for the listeners, each in its own failure domain.
pub fn members(listeners: &[TcpListener]) -> Vec<Member> {
    let member = |(at, listener): (usize, &TcpListener)| Member {
        instance: format!("r{at}"),
        peer_address: listener.local_addr().expect("an address").to_string(),
        domain: format!("d{at}"),
        ..Member::default()
    };
    listeners.iter().enumerate().map(member).collect()
}

/// Starts a replica with a data folder.
pub async fn start(
    listener: TcpListener,
    identity: Member,
    bootstrap: &[Member],
    folder: &Path,
) -> Node {
    let disk = FileDisk::open(folder).await.expect("a data folder");
    let replica = Replica::open(identity.clone(), bootstrap.to_vec(), disk, settings())
        .await
        .expect("a replica");
    let (peers, control) = replica.services();
    let routes = Routes::default()
        .with(Access::Instances, peers)
        .with(Access::Instances, control);
    let serving = serve(listener, routes, ServerSettings::default());
    Node {
        _tasks: [
            compio::runtime::spawn(serving),
            compio::runtime::spawn(replica.clone().run()),
        ],
        replica,
        member: identity,
    }
}

/// A client whose seeds are the given members.
pub fn client(members: &[Member]) -> ControlClient {
    let address = |m: &Member| -> SocketAddr { m.peer_address.parse().expect("an address") };
    let seeds = members.iter().map(address).collect();
    ControlClient::new(seeds, ChannelSettings::default(), ClientSettings::default())
}
