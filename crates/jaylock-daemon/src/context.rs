use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use jaylock_control::{
    Bootstrap, ClientSettings, ConfigView, ControlClient, Follower, FollowerSettings,
    InstanceLease, PeerService, Replica, ReplicaSettings,
};
use jaylock_observe::Observer;
use jaylock_operator::OperatorService;
use jaylock_orders::{HttpEngineClient, OrderReconciler, ReconcilerSettings};
use jaylock_router::{RelayProof, Router, RouterIdentity, RouterSettings};
use jaylock_rpc::v1::{Instance, Member};
use jaylock_rpc::{Channel, ChannelSettings};
use jaylock_settings::{ReplicaAddress, Settings};
use jaylock_share::{SchedulerClient, SchedulerClientSettings, SchedulerHost, SchedulerSettings};
use jaylock_types::{Incarnation, ProcessorShare, millis, unix_ms};

use crate::minute_replicator::MinuteReplicator;
use crate::observability::{objectives, observer};
use crate::occupied::open_folder;
use crate::peer::PeerEndpoint;
use crate::ports::{ControlLog, LocalPools, SchedulerPort};

/// Timeout of an order to an engine.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);

/// Settings and shared state from which the components of an instance are created.
pub struct InstanceContext {
    /// Settings of the instance.
    pub settings: Settings,
    /// Incarnation of this process: its start time in Unix ms.
    pub incarnation: Incarnation,
    /// Client of the replicated log.
    pub client: ControlClient,
    /// Configuration that is active in this instance.
    pub view: ConfigView,
    /// Observer that records requests and metrics.
    pub observer: Observer,
    channel: ChannelSettings,
}

impl InstanceContext {
    /// Creates the shared state; nothing is sent yet.
    pub fn new(settings: Settings) -> Self {
        let channel = ChannelSettings {
            secret: settings.security.peer_secret.clone(),
            ..ChannelSettings::default()
        };
        let control = &settings.control;
        let mut seeds = control.seed_peers();
        seeds.extend(control.replicas.iter().map(|r| r.peer_address));
        let incarnation = Incarnation(unix_ms());
        Self {
            incarnation,
            client: ControlClient::new(seeds, channel.clone(), ClientSettings::default()),
            view: ConfigView::default(),
            observer: observer(&settings, incarnation),
            channel,
            settings,
        }
    }

    /// Opens the replica of the log if the instance has a data folder, and waits while another process uses it.
    ///
    /// # Errors
    /// The folder can't be read.
    pub async fn open_replica(&self) -> anyhow::Result<Option<Replica>> {
        let Some(folder) = &self.settings.instance.data else {
            return Ok(None);
        };
        let disk = open_folder(Path::new(folder)).await?;
        let identity = identity(&self.settings);
        let bootstrap = self.bootstrap();
        let replica = Replica::open(identity, bootstrap, disk, self.replica_settings()).await?;
        Ok(Some(replica))
    }

    /// How the group of replicas is formed.
    fn bootstrap(&self) -> Bootstrap {
        let control = &self.settings.control;
        if control.replicas.is_empty() {
            return Bootstrap::Seeds {
                addresses: control.seed_peers(),
                is_first_start: control.first_start,
            };
        }
        Bootstrap::Members(control.replicas.iter().map(member).collect())
    }

    /// Creates the follower of the configuration, which also renews the instance's lease.
    pub fn follower(&self) -> Follower {
        let own = &self.settings.instance;
        let instance = Instance {
            id: own.id.to_string(),
            incarnation: self.incarnation.0,
            domain: own.domain.to_string(),
            caller_address: own
                .caller_address
                .map_or_else(String::new, |a| a.to_string()),
            peer_address: own.peer_address.to_string(),
            disk: own.data.is_some(),
            relay_address: own
                .relay_address
                .map_or_else(String::new, |a| a.to_string()),
            leaving: false,
            capacity: self
                .settings
                .limits
                .processor
                .map_or(0, ProcessorShare::thousandths),
        };
        let settings = FollowerSettings::default();
        Follower::new(self.client.clone(), self.view.clone(), instance, settings)
    }

    /// Creates the client of the schedulers.
    pub fn scheduler_client(&self) -> SchedulerClient {
        SchedulerClient::new(
            self.settings.instance.id.clone(),
            self.incarnation,
            self.settings.instance.domain.clone(),
            self.view.clone(),
            self.channel.clone(),
            SchedulerClientSettings::default(),
        )
    }

    /// Creates the host of the schedulers that run in this instance.
    pub fn scheduler_host(&self, lease: InstanceLease) -> SchedulerHost {
        let settings = SchedulerSettings {
            queue_limit: self.settings.limits.queue,
            backend_lease: self.settings.timeouts.backend,
            ..SchedulerSettings::default()
        };
        SchedulerHost::new(
            self.settings.instance.id.clone(),
            self.incarnation,
            self.view.clone(),
            move || lease.is_valid(),
            settings,
        )
        .with_cause_log(ControlLog(self.client.clone()))
    }

    /// Creates the router, which serves callers and backend servers.
    pub fn router(&self, schedulers: &SchedulerClient, lease: InstanceLease) -> Rc<Router> {
        let instance = &self.settings.instance;
        let identity = RouterIdentity {
            instance: instance.id.clone(),
            incarnation: self.incarnation,
            domain: instance.domain.clone(),
        };
        Rc::new(Router::new(
            identity,
            self.view.clone(),
            lease,
            SchedulerPort(schedulers.clone()),
            ControlLog(self.client.clone()),
            self.observer.clone(),
            self.router_settings(),
        ))
    }

    /// Creates the reconciler for the engines of the pools that are scheduled here.
    pub fn order_reconciler(
        &self,
        lease: InstanceLease,
    ) -> OrderReconciler<ControlLog, LocalPools, HttpEngineClient> {
        let pools = LocalPools {
            view: self.view.clone(),
            lease,
            instance: self.settings.instance.id.clone(),
            incarnation: self.incarnation,
            schedulers: Channel::new(self.settings.instance.peer_address, self.channel.clone()),
        };
        let engines = HttpEngineClient::new(ORDER_TIMEOUT);
        let log = ControlLog(self.client.clone());
        let settings = ReconcilerSettings::default();
        OrderReconciler::new(self.view.clone(), log, pools, engines, settings)
    }

    /// Creates the gRPC service for operators.
    pub fn operator_service(&self) -> OperatorService {
        OperatorService::with_objectives(
            self.client.clone(),
            self.view.clone(),
            self.channel.clone(),
            objectives(&self.observer),
        )
    }

    /// Creates the gRPC service for other instances.
    pub fn peer_endpoint(&self, lease: InstanceLease) -> PeerEndpoint {
        PeerEndpoint::new(
            PeerService::new(self.view.clone(), lease),
            self.observer.clone(),
        )
    }

    /// Creates the replicator of finished minutes.
    pub fn minute_replicator(&self) -> MinuteReplicator {
        MinuteReplicator {
            observer: self.observer.clone(),
            view: self.view.clone(),
            instance: self.settings.instance.id.clone(),
            domain: self.settings.instance.domain.clone(),
            channel: self.channel.clone(),
        }
    }

    fn replica_settings(&self) -> ReplicaSettings {
        let control = &self.settings.control;
        ReplicaSettings {
            channel: self.channel.clone(),
            heartbeat_interval: control.heartbeat,
            election_timeout: control.election,
            // The leader's lease must end before another leader may be elected.
            leader_lease: control.election * 4 / 5,
            voters: control.replicas.len().max(control.voters),
            tolerated_losses: control.tolerated_losses,
            replace_after: control.replace_after,
            instance_lease: control.lease,
            snapshot_entries: control.snapshot_entries,
            ..ReplicaSettings::default()
        }
    }

    fn router_settings(&self) -> RouterSettings {
        let Settings {
            instance,
            security,
            limits,
            timeouts,
            addresses,
            ..
        } = &self.settings;
        RouterSettings {
            max_body: limits.body,
            max_head: limits.headers,
            max_connections: limits.max_connections(),
            max_body_memory: limits.max_body_memory(),
            sender_timeout: limits.sender_timeout,
            max_recorded: limits.answer_copy,
            route_burst: limits.retries,
            hedge_percent: limits.hedges,
            refusals_per_second: limits.refusals_per_second(),
            relay_proof: instance
                .relay_address
                .map(|_| RelayProof::new(&security.peer_secret)),
            first_byte_timeout: timeouts.first_byte,
            idle_timeout: timeouts.silence,
            event_timeout: timeouts.event,
            default_timeout: timeouts.deadline,
            address_ttl_ms: millis(addresses.keep),
            lease_ms: millis(timeouts.backend),
            ..RouterSettings::default()
        }
    }
}

/// Identity of the replica that the instance may hold.
pub fn identity(settings: &Settings) -> Member {
    let instance = &settings.instance;
    Member {
        instance: instance.id.to_string(),
        peer_address: instance.peer_address.to_string(),
        domain: instance.domain.to_string(),
        ..Member::default()
    }
}

fn member(replica: &ReplicaAddress) -> Member {
    Member {
        instance: replica.instance.to_string(),
        peer_address: replica.peer_address.to_string(),
        domain: replica.domain.to_string(),
        generation: 1,
        voter: true,
    }
}
