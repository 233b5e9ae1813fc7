use std::rc::Rc;
use std::time::Duration;

use compio::runtime::JoinHandle;
use jaylock_control::{FollowerHandle, Replica};
use jaylock_router::Router;
use jaylock_rpc::v1::operator_server::OperatorServer;
use jaylock_rpc::v1::peer_server::PeerServer;
use jaylock_rpc::{Access, Routes};
use jaylock_settings::Settings;
use jaylock_share::SchedulerClient;

use crate::api::ControlApi;
use crate::common::Common;
use crate::exposition::serve_metrics;

/// Time between two looks at the pools without a scheduler.
const LOOK: Duration = Duration::from_millis(100);

/// The parts of an instance, joined through their ports.
pub struct Parts {
    /// What they are made from.
    pub common: Common,
    /// What the instance tells control.
    pub follower: FollowerHandle,
    /// Replica of the log, where the instance has a data folder.
    pub replica: Option<Replica>,
    /// The callers' and backend servers' side.
    pub router: Rc<Router>,
    pools: SchedulerClient,
    tasks: Vec<JoinHandle<()>>,
}

impl Parts {
    /// Joins the parts, starts those that only call others, and lists the gRPC services.
    ///
    /// # Errors
    /// The data folder can't be read, or the HTTP client can't be set up.
    pub async fn assemble(settings: Settings) -> anyhow::Result<(Self, Routes)> {
        let common = Common::new(settings);
        let replica = common.open_replica().await?;
        let follower = common.follower();
        let (lease, handle) = (follower.lease(), follower.handle());
        let pools = common.pools();
        let host = common.scheduler_host(lease.clone());
        let keeper = common.order_keeper(lease.clone())?;
        let mut services = Routes::default()
            .with(Access::Instances, host.service())
            .with(
                Access::Instances,
                PeerServer::new(common.peer_notes(lease.clone())),
            )
            .with(
                Access::Operators,
                OperatorServer::new(common.operator_service()),
            );
        if let Some(replica) = &replica {
            let (log, control) = replica.services();
            services = services
                .with(Access::Instances, log)
                .with(Access::Instances, control);
        }
        let tasks = vec![
            spawn(follower.run()),
            spawn(host.run()),
            spawn(keeper.run()),
            spawn(common.handover().run()),
        ];
        let router = common.router(&pools, lease);
        let parts = Self {
            common,
            follower: handle,
            replica,
            router,
            pools,
            tasks,
        };
        Ok((parts, services))
    }

    /// Starts the replica, the metrics and the watch over pools without a scheduler.
    ///
    /// # Errors
    /// The address of the metrics can't be bound.
    pub async fn start(&mut self) -> anyhow::Result<()> {
        if let Some(replica) = self.replica.clone() {
            self.tasks.push(spawn(replica.run()));
        }
        if let Some(address) = self.settings().instance.metrics_address {
            serve_metrics(address, self.common.observer.clone()).await?;
        }
        let (pools, follower) = (self.pools.clone(), self.follower.clone());
        self.tasks.push(spawn(tell_unserved(pools, follower)));
        Ok(())
    }

    /// What the instance does for operators, backend servers and callers who look for addresses.
    pub fn api(&self) -> ControlApi {
        ControlApi {
            client: self.common.client.clone(),
            view: self.common.view.clone(),
            pools: self.pools.clone(),
            router: self.router.clone(),
            keep: self.settings().addresses.keep,
            inventory: None,
            asked: Rc::default(),
        }
    }

    /// Settings of the instance.
    pub fn settings(&self) -> &Settings {
        &self.common.settings
    }

    /// Whether the configuration says that this process leaves.
    pub fn is_known_to_leave(&self) -> bool {
        let configuration = self.common.view.current();
        let id = self.settings().instance.id.as_str();
        let found = configuration
            .instances
            .binary_search_by(|i| i.id.as_str().cmp(id));
        found.is_ok_and(|at| configuration.instances[at].leaving)
    }
}

/// Spawns a task that ends when its handle is dropped.
pub fn spawn(work: impl Future<Output = ()> + 'static) -> JoinHandle<()> {
    compio::runtime::spawn(work)
}

async fn tell_unserved(pools: SchedulerClient, follower: FollowerHandle) {
    loop {
        follower.set_unserved(pools.unserved());
        compio::time::sleep(LOOK).await;
    }
}
