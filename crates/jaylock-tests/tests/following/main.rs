//! Instances that follow the configuration by its changes converge to the state of control.

mod stuck_watch;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};
use std::time::{Duration, Instant};

use compio::net::TcpListener;
use googletest::prelude::*;
use jaylock_control::{
    ClientSettings, ConfigView, ControlClient, FileDisk, Follower, FollowerHandle,
    FollowerSettings, InstanceLease, Replica, ReplicaSettings,
};
use jaylock_rpc::v1::command::Body;
use jaylock_rpc::v1::peer_server::PeerServer;
use jaylock_rpc::v1::{
    Adapter, Command, Instance, Member, Model, Order, Organisation, Service, SyncReply, SyncRequest,
};
use jaylock_rpc::{Access, ChannelSettings, Routes, ServerSettings, serve, traffic};
use jaylock_tests::{SyncOnlyPeer, cases};
use jaylock_types::{Index, KeyHash, Secret};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Number of instances whose exchanges are counted.
const FOLLOWERS: u32 = 12;
/// Time during which exchanges are counted.
const MEASURED_SECONDS: u32 = 5;
/// Seed of the commands.
const SEED: u64 = 4;
/// Number of names that random commands use for each kind of item.
const NAMES_PER_KIND: u32 = 12;
/// Time for which control allows a withdrawal that is not asked for again.
const WITHDRAWAL_TIME: Duration = Duration::from_millis(2500);
/// Held by all cases, by one that counts the traffic of this process alone.
static TRAFFIC: RwLock<()> = RwLock::new(());
/// Maximum time for followers to catch up.
const TIMEOUT: Duration = Duration::from_secs(20);

cases! {
    async followers_converge_to_the_configuration_of_control => {
        let group = Group::start().await;
        let early_follower = group.follow("early");
        let mut rng = SmallRng::seed_from_u64(SEED);
        for number in 0..400 {
            group.propose(number, random_body(&mut rng)).await;
        }
        let late_follower = group.follow("late");
        let newest = group.wait_for_newest(&[&early_follower, &late_follower]).await;
        expect_that!(*early_follower.current(), eq(&newest));
        expect_that!(*late_follower.current(), eq(&newest));
    };

    async traffic_of_a_change_does_not_grow_with_the_configuration => {
        let group = Group::start_with(Traffic::alone()).await;
        let view = group.follow("one");
        for number in 0..200 {
            group.propose(number, organisation(number)).await;
        }
        group.wait_for_newest(&[&view]).await;
        let configuration_bytes = prost::Message::encoded_len(&*view.current()) as u64;
        let before = traffic().received;
        for number in 200..210 {
            group.propose(number, organisation(0)).await;
        }
        group.wait_for_newest(&[&view]).await;
        // Sending the full configuration ten times would take five times this limit.
        expect_that!(traffic().received - before, lt(configuration_bytes * 2));
    };

    async instances_with_a_lease_gossip_at_most_once_a_second => {
        let group = Group::start().await;
        let views: Vec<_> = (0..FOLLOWERS).map(|n| group.follow(&format!("follower-{n}"))).collect();
        group.wait_for_newest(&views.iter().collect::<Vec<_>>()).await;
        compio::time::sleep(Duration::from_secs(2)).await;
        let before = group.exchanges.load(Ordering::Relaxed);
        compio::time::sleep(Duration::from_secs(u64::from(MEASURED_SECONDS))).await;
        let exchanges = group.exchanges.load(Ordering::Relaxed) - before;
        expect_that!(exchanges, le(FOLLOWERS * MEASURED_SECONDS));
    };

    async leaving_instance_is_reported_before_its_next_renewal_is_due => {
        let group = Group::start().await;
        let settings = FollowerSettings { renew_interval: TIMEOUT * 2, ..FollowerSettings::default() };
        let (view, handle) = group.follow_with("leaving", settings);
        let state = || view.current().instances.iter().find(|i| i.id == "leaving").map(|i| i.leaving);
        wait_until(|| state() == Some(false)).await;
        handle.set_leaving();
        wait_until(|| state() == Some(true)).await;
    };

    async overloaded_instance_asks_to_withdraw_only_when_its_next_renewal_is_due => {
        let group = Group::start().await;
        let _other = group.follow("other");
        let settings = FollowerSettings { renew_interval: TIMEOUT * 2, ..FollowerSettings::default() };
        let (view, handle, lease) = group.follow_leased("overloaded", settings);
        wait_until(|| view.current().instances.len() == 2).await;
        // A new leader allows no withdrawal for so long.
        compio::time::sleep(WITHDRAWAL_TIME).await;
        expect_that!(lease.allows_withdrawal(), eq(false));
        handle.set_overloaded(true);
        wait_until(|| lease.allows_withdrawal()).await;
    };

    async withdrawal_ends_while_the_instance_is_overloaded => {
        let group = Group::start().await;
        let _other = group.follow("other");
        let (view, handle, lease) = group.follow_leased("overloaded", FollowerSettings::default());
        wait_until(|| view.current().instances.len() == 2).await;
        handle.set_overloaded(true);
        wait_until(|| lease.allows_withdrawal()).await;
        let started = Instant::now();
        while started.elapsed() < WITHDRAWAL_TIME * 2 {
            assert!(lease.allows_withdrawal(), "ended after {:?}", started.elapsed());
            compio::time::sleep(Duration::from_millis(20)).await;
        }
        handle.set_overloaded(false);
        wait_until(|| !lease.allows_withdrawal()).await;
    };

    async instance_without_control_stays_withdrawn => {
        let group = Group::start().await;
        let _other = group.follow("other");
        let (view, handle, lease) = group.follow_leased("overloaded", FollowerSettings::default());
        wait_until(|| view.current().instances.len() == 2).await;
        handle.set_overloaded(true);
        wait_until(|| lease.allows_withdrawal()).await;
        group.replica.clone().close().await;
        compio::time::sleep(WITHDRAWAL_TIME).await;
        expect_that!(lease.allows_withdrawal(), eq(false));
    };
}

/// Waits until a condition holds.
async fn wait_until(condition: impl Fn() -> bool) {
    for _ in 0..TIMEOUT.as_millis() / 20 {
        if condition() {
            return;
        }
        compio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the condition did not hold after {TIMEOUT:?}");
}

/// A group of one replica on the loopback interface.
struct Group {
    /// Number of exchanges between instances; all followers have the address of this group.
    exchanges: Arc<AtomicU32>,
    address: SocketAddr,
    client: ControlClient,
    replica: Replica,
    _folder: tempfile::TempDir,
    _traffic: Traffic,
}

/// Whether other cases send and receive at the same time.
enum Traffic {
    Shared {
        _guard: RwLockReadGuard<'static, ()>,
    },
    Alone {
        _guard: RwLockWriteGuard<'static, ()>,
    },
}

impl Traffic {
    fn shared() -> Self {
        Self::Shared {
            _guard: TRAFFIC.read().unwrap_or_else(PoisonError::into_inner),
        }
    }

    /// Waits until no other case runs, and keeps the others waiting.
    fn alone() -> Self {
        Self::Alone {
            _guard: TRAFFIC.write().unwrap_or_else(PoisonError::into_inner),
        }
    }
}

impl Group {
    async fn start() -> Self {
        Self::start_with(Traffic::shared()).await
    }

    async fn start_with(traffic: Traffic) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let member = Member {
            instance: "one".into(),
            generation: 1,
            peer_address: address.to_string(),
            domain: "here".into(),
            voter: true,
        };
        let disk = FileDisk::open(folder.path()).await.expect("a data folder");
        let settings = ReplicaSettings::default();
        let replica = Replica::open(member.clone(), vec![member], disk, settings).await;
        let replica = replica.expect("a replica");
        let (log, control) = replica.services();
        let exchanges = Arc::<AtomicU32>::default();
        let counter = exchanges.clone();
        let count = move |request: &SyncRequest| {
            counter.fetch_add(1, Ordering::Relaxed);
            let index = request.index;
            Ok(SyncReply {
                index,
                ..Default::default()
            })
        };
        let routes = Routes::default()
            .with(Access::Instances, log)
            .with(Access::Instances, control)
            .with(Access::Instances, PeerServer::new(SyncOnlyPeer(count)));
        let settings = ServerSettings {
            peer_secret: Secret::new(""),
            ..Default::default()
        };
        compio::runtime::spawn(serve(listener, routes, settings)).detach();
        compio::runtime::spawn(replica.clone().run()).detach();
        Self {
            exchanges,
            address,
            client: client(address),
            replica,
            _folder: folder,
            _traffic: traffic,
        }
    }

    fn follow(&self, name: &str) -> ConfigView {
        self.follow_with(name, FollowerSettings::default()).0
    }

    fn follow_with(&self, name: &str, settings: FollowerSettings) -> (ConfigView, FollowerHandle) {
        let (view, handle, _) = self.follow_leased(name, settings);
        (view, handle)
    }

    fn follow_leased(
        &self,
        name: &str,
        settings: FollowerSettings,
    ) -> (ConfigView, FollowerHandle, InstanceLease) {
        let view = ConfigView::default();
        let instance = Instance {
            id: name.into(),
            incarnation: 1,
            domain: "here".into(),
            peer_address: self.address.to_string(),
            caller_address: self.address.to_string(),
            ..Default::default()
        };
        let follower = Follower::new(client(self.address), view.clone(), instance, settings);
        let (handle, lease) = (follower.handle(), follower.lease());
        compio::runtime::spawn(follower.run()).detach();
        (view, handle, lease)
    }

    async fn propose(&self, number: u32, body: Body) {
        let command = Command {
            id: format!("command-{number}"),
            expected_revision: None,
            body: Some(body),
        };
        self.client
            .propose(command)
            .await
            .expect("a reply from control");
    }

    /// Waits until the views have the newest configuration, and returns the configuration.
    async fn wait_for_newest(&self, views: &[&ConfigView]) -> jaylock_rpc::v1::Configuration {
        for _ in 0..TIMEOUT.as_millis() / 20 {
            let newest = self.client.read().await.expect("a reply from control");
            if views.iter().all(|v| v.index() == Index(newest.index)) {
                return newest;
            }
            compio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("the followers did not catch up");
    }
}

fn client(address: SocketAddr) -> ControlClient {
    let channel = ChannelSettings {
        secret: Secret::new(""),
        ..Default::default()
    };
    ControlClient::new(vec![address], channel, ClientSettings::default())
}

fn organisation(number: u32) -> Body {
    Body::PutOrganisation(Organisation {
        id: format!("organisation-{number}"),
        weight: 1 + number % 3,
        key_hashes: vec![KeyHash::from_key(&number.to_string()).0.to_vec().into()],
        ..Organisation::default()
    })
}

/// A random command, which control may refuse.
fn random_body(rng: &mut SmallRng) -> Body {
    let number = rng.random_range(0..NAMES_PER_KIND);
    let name = |kind: &str| format!("{kind}-{number}");
    match rng.random_range(0..10) {
        0 | 1 => organisation(number),
        2 => Body::RemoveOrganisation(name("organisation")),
        3 => Body::PutModel(Model {
            id: name("model"),
            version: rng.random_range(1..4).to_string(),
            pool: name("pool"),
            copies: number,
        }),
        4 => Body::RemoveModel(name("model")),
        5 => Body::PutAdapter(Adapter {
            id: name("adapter"),
            model: name("model"),
            version: "1".into(),
            copies: 1,
        }),
        6 => Body::PutService(Service {
            id: name("service"),
            ..Service::default()
        }),
        7 => Body::DrainBackend(name("backend")),
        8 => Body::UndrainBackend(name("backend")),
        _ => Body::IssueOrder(Order {
            backend: name("backend"),
            ..Default::default()
        }),
    }
}
