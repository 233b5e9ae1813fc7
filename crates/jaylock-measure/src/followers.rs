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

/// Port of every follower; each follower has its own loopback address.
const FOLLOWER_PORT: u16 = 7999;
/// Interval between checks whether a change is active.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Instances in this process that follow the configuration and renew their leases.
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
            let client =
                ControlClient::new(seeds.clone(), channel.clone(), ClientSettings::default());
            let instance = instance(number, address);
            let follower =
                Follower::new(client, view.clone(), instance, FollowerSettings::default());
            let peer = PeerService::new(view.clone(), follower.lease());
            serve_peer(address, peer, secret.clone()).await?;
            compio::runtime::spawn(follower.run()).detach();
            views.push(view);
        }
        Ok(Self { views, client })
    }

    /// Waits until every follower has a configuration with all followers.
    pub async fn wait_until_ready(&self) {
        let is_ready = |v: &ConfigView| {
            let configuration = v.current();
            let followers = configuration
                .instances
                .iter()
                .filter(|i| i.id.starts_with(ID_PREFIX));
            followers.count() >= self.views.len()
        };
        while !self.views.iter().all(is_ready) {
            compio::time::sleep(POLL_INTERVAL * 10).await;
        }
    }

    /// Commits a change and returns the time until the change is active on all followers.
    ///
    /// # Errors
    /// The control replicas did not accept the change.
    pub async fn time_change(&self, number: u32) -> Result<Duration> {
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
            .context("the control replicas did not accept the change")?;
        let revision = Revision(applied.revision);
        while self.views.iter().any(|v| v.revision() < revision) {
            compio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(start.elapsed())
    }
}

/// Prefix of the id of every follower.
const ID_PREFIX: &str = "measured-";

fn address(number: u16) -> SocketAddr {
    let [high, low] = number.to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 77, high, low)), FOLLOWER_PORT)
}

fn instance(number: u16, address: SocketAddr) -> Instance {
    Instance {
        id: format!("{ID_PREFIX}{number:04}"),
        incarnation: unix_ms(),
        domain: format!("domain-{}", number % 5),
        caller_address: address.to_string(),
        peer_address: address.to_string(),
        disk: false,
        leaving: false,
        capacity: 0,
        relay_address: String::new(),
    }
}

async fn serve_peer(address: SocketAddr, peer: PeerService, secret: Secret) -> Result<()> {
    let listener = TcpListener::bind(address)
        .await
        .with_context(|| format!("bind {address}"))?;
    let endpoint = PeerEndpoint::new(peer, Observer::default());
    let routes = Routes::default().with(Access::Instances, PeerServer::new(endpoint));
    let settings = ServerSettings {
        peer_secret: secret,
        ..Default::default()
    };
    compio::runtime::spawn(serve(listener, routes, settings)).detach();
    Ok(())
}
