use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use compio::net::TcpListener;
use jaylock_control::{
    ClientSettings, ConfigView, ControlClient, Follower, FollowerSettings, PeerService,
};
use jaylock_daemon::PeerEndpoint;
use jaylock_observe::Observer;
use jaylock_rpc::v1::peer_server::PeerServer;
use jaylock_rpc::v1::{Command, Instance, command};
use jaylock_rpc::{Access, ChannelSettings, Routes, ServerSettings, serve};
use jaylock_types::{Revision, Secret, unix_ms};

/// Port of every follower; each has a loopback address of its own.
const PORT: u16 = 7999;
/// Time between two looks at whether a change is in force.
const LOOK: Duration = Duration::from_millis(1);

/// Instances that follow the configuration and renew their leases, all in this process.
pub struct Followers {
    views: Vec<ConfigView>,
    client: ControlClient,
}

impl Followers {
    /// Starts `count` followers of the control replicas at `seeds`.
    ///
    /// # Errors
    /// A loopback address can't be bound.
    pub async fn start(count: u16, seeds: Vec<SocketAddr>, secret: Secret) -> Result<Self> {
        let channel = ChannelSettings {
            secret: secret.clone(),
            ..Default::default()
        };
        let client = ControlClient::new(seeds.clone(), channel.clone(), ClientSettings::default());
        let mut views = Vec::new();
        for number in 0..count {
            let view = ConfigView::default();
            let address = address(number);
            let own = ControlClient::new(seeds.clone(), channel.clone(), ClientSettings::default());
            let instance = instance(number, address);
            let follower = Follower::new(own, view.clone(), instance, FollowerSettings::default());
            let peer = PeerService::new(view.clone(), follower.lease());
            serve_peer(address, peer, secret.clone()).await?;
            compio::runtime::spawn(follower.run()).detach();
            views.push(view);
        }
        Ok(Self { views, client })
    }

    /// Waits until every follower has a configuration that names all of them.
    pub async fn ready(&self) {
        let complete = |v: &ConfigView| {
            let configuration = v.current();
            let own = configuration
                .instances
                .iter()
                .filter(|i| i.id.starts_with(PREFIX));
            own.count() >= self.views.len()
        };
        while !self.views.iter().all(complete) {
            compio::time::sleep(LOOK * 10).await;
        }
    }

    /// Makes a change and returns the time until it is in force at the last follower.
    ///
    /// # Errors
    /// Control did not accept it.
    pub async fn change(&self, number: u32) -> Result<Duration> {
        let start = Instant::now();
        let command = Command {
            id: format!("measure-{}-{number}", unix_ms()),
            expected_revision: None,
            body: Some(command::Body::DrainBackend(format!(
                "measured-{}",
                number % 10
            ))),
        };
        let applied = self
            .client
            .propose(command)
            .await
            .context("the change was not accepted")?;
        let revision = Revision(applied.revision);
        while self.views.iter().any(|v| v.revision() < revision) {
            compio::time::sleep(LOOK).await;
        }
        Ok(start.elapsed())
    }
}

/// Start of every follower's name.
const PREFIX: &str = "measured-";

fn address(number: u16) -> SocketAddr {
    let [high, low] = number.to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 77, high, low)), PORT)
}

fn instance(number: u16, address: SocketAddr) -> Instance {
    Instance {
        id: format!("{PREFIX}{number:04}"),
        incarnation: unix_ms(),
        domain: format!("domain-{}", number % 5),
        caller_address: address.to_string(),
        peer_address: address.to_string(),
        disk: false,
        leaving: false,
    }
}

async fn serve_peer(address: SocketAddr, peer: PeerService, secret: Secret) -> Result<()> {
    let listener = TcpListener::bind(address)
        .await
        .with_context(|| format!("bind {address}"))?;
    let notes = PeerEndpoint::new(peer, Observer::default());
    let routes = Routes::default().with(Access::Instances, PeerServer::new(notes));
    let settings = ServerSettings {
        peer_secret: secret,
        ..Default::default()
    };
    compio::runtime::spawn(serve(listener, routes, settings)).detach();
    Ok(())
}
