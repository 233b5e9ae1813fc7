use std::rc::Rc;
use std::time::Duration;

use compio::runtime::JoinHandle;
use jaylock_control::{Follower, FollowerHandle, Replica};
use jaylock_observe::{MemoryUse, Observer};
use jaylock_orders::{HttpEngineClient, OrderReconciler};
use jaylock_router::{BodyMemory, Router, id_hash};
use jaylock_rpc::v1::operator_server::OperatorServer;
use jaylock_rpc::v1::peer_server::PeerServer;
use jaylock_rpc::{Access, Routes};
use jaylock_settings::Settings;
use jaylock_share::{SchedulerClient, SchedulerHost};
use jaylock_types::boottime_now;

use crate::api::{ControlApi, DOCUMENT_MEMORY};
use crate::context::InstanceContext;
use crate::evacuations::report_evacuations;
use crate::exposition::serve_metrics;
use crate::pause_monitor::PauseMonitor;
use crate::ports::{ControlLog, LocalPools};

/// Time between two reports of this instance's state to its follower, and between two observations of pauses.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two records of what memory is used for.
const MEMORY_INTERVAL: Duration = Duration::from_secs(1);

/// Components that make calls of their own once the instance serves.
pub struct Workers {
    follower: Follower,
    host: SchedulerHost,
    reconciler: OrderReconciler<ControlLog, LocalPools, HttpEngineClient>,
}

/// The components of an instance, connected through their ports.
pub struct Components {
    /// Settings and state that the components share.
    pub context: InstanceContext,
    /// Handle through which the instance reports its state to control.
    pub follower: FollowerHandle,
    /// Replica of the log; unset without a data folder and before that is opened.
    pub replica: Option<Replica>,
    /// Router that serves callers and backend servers.
    pub router: Rc<Router>,
    schedulers: SchedulerClient,
    documents: BodyMemory,
    pauses: Rc<PauseMonitor>,
    tasks: Vec<JoinHandle<()>>,
}

impl Components {
    /// Creates the components, of which the workers are not started yet.
    pub fn new(settings: Settings) -> (Self, Workers) {
        let context = InstanceContext::new(settings);
        let follower = context.follower();
        let (lease, handle) = (follower.lease(), follower.handle());
        let schedulers = context.scheduler_client();
        let host = context.scheduler_host(lease.clone());
        let reconciler = context.order_reconciler(lease.clone());
        let router = context.router(&schedulers, lease);
        let components = Self {
            context,
            follower: handle,
            replica: None,
            router,
            schedulers,
            documents: BodyMemory::with_share(DOCUMENT_MEMORY, DOCUMENT_MEMORY),
            pauses: Rc::default(),
            tasks: Vec::new(),
        };
        let workers = Workers {
            follower,
            host,
            reconciler,
        };
        (components, workers)
    }

    /// Opens the replica of the log if the instance has a data folder.
    ///
    /// # Errors
    /// The data folder can't be read.
    pub async fn open_replica(&mut self) -> anyhow::Result<()> {
        self.replica = self.context.open_replica().await?;
        Ok(())
    }

    /// The gRPC services of the instance.
    pub fn services(&self, workers: &Workers) -> Routes {
        let peers = self.context.peer_endpoint(workers.follower.lease());
        let operators = self.context.operator_service();
        let routes = Routes::default()
            .with(Access::Instances, workers.host.service())
            .with(Access::Instances, PeerServer::new(peers))
            .with(Access::Operators, OperatorServer::new(operators));
        let Some(replica) = &self.replica else {
            return routes;
        };
        let (log, control) = replica.services();
        routes
            .with(Access::Instances, log)
            .with(Access::Instances, control)
    }

    /// Starts the metrics, the replica, the workers and the reports of what control must know of this instance.
    ///
    /// # Errors
    /// Waiting can't make the address of the metrics available.
    pub async fn start(&mut self, workers: Workers) -> anyhow::Result<()> {
        if let Some(address) = self.settings().instance.metrics_address {
            serve_metrics(address, self.context.observer.clone()).await?;
        }
        if let Some(replica) = self.replica.clone() {
            self.tasks.push(spawn(replica.run()));
        }
        self.tasks.extend([
            spawn(workers.follower.run()),
            spawn(workers.host.run()),
            spawn(workers.reconciler.run()),
            spawn(self.context.minute_replicator().run()),
            spawn(observe_pauses(self.pauses.clone())),
            spawn(report_evacuations(
                self.context.view.clone(),
                self.context.observer.clone(),
            )),
        ]);
        let (schedulers, router) = (self.schedulers.clone(), self.router.clone());
        let follower = self.follower.clone();
        self.tasks
            .push(spawn(report_state(schedulers, router, follower)));
        self.tasks.push(spawn(record_memory(
            self.context.observer.clone(),
            self.replica.clone(),
            self.router.clone(),
            self.documents.clone(),
        )));
        Ok(())
    }

    /// Operations for operators, backend servers and callers that look up routers.
    pub fn api(&self) -> ControlApi {
        ControlApi {
            client: self.context.client.clone(),
            view: self.context.view.clone(),
            schedulers: self.schedulers.clone(),
            router: self.router.clone(),
            list_offset: id_hash(self.settings().instance.id.as_str()),
            address_ttl: self.settings().addresses.keep,
            inventory: None,
            queried_engines: Rc::default(),
            left_out: Rc::default(),
            documents: self.documents.clone(),
            pauses: self.pauses.clone(),
        }
    }

    /// Settings of the instance.
    pub fn settings(&self) -> &Settings {
        &self.context.settings
    }

    /// Whether the active configuration shows that this instance is leaving.
    pub fn is_leaving(&self) -> bool {
        let configuration = self.context.view.current();
        let id = self.settings().instance.id.as_str();
        let search = configuration
            .instances
            .binary_search_by(|i| i.id.as_str().cmp(id));
        search.is_ok_and(|index| configuration.instances[index].leaving)
    }
}

/// Spawns a task that is cancelled when its handle is dropped.
pub fn spawn(task: impl Future<Output = ()> + 'static) -> JoinHandle<()> {
    compio::runtime::spawn(task)
}

/// Reports pools without a scheduler and an overload, and logs when callers are sent to other instances.
async fn report_state(schedulers: SchedulerClient, router: Rc<Router>, follower: FollowerHandle) {
    let mut was_withdrawn = false;
    loop {
        follower.set_unserved_pools(schedulers.unserved_pools());
        follower.set_overloaded(router.wants_withdrawal());
        let is_withdrawn = router.is_withdrawn();
        if is_withdrawn != was_withdrawn {
            log_withdrawal(is_withdrawn);
            was_withdrawn = is_withdrawn;
        }
        compio::time::sleep(REPORT_INTERVAL).await;
    }
}

/// Lets the monitor notice pauses of this process.
async fn observe_pauses(pauses: Rc<PauseMonitor>) {
    loop {
        pauses.observe(boottime_now());
        compio::time::sleep(REPORT_INTERVAL).await;
    }
}

/// Records in the metrics what memory is used for.
async fn record_memory(
    observer: Observer,
    replica: Option<Replica>,
    router: Rc<Router>,
    documents: BodyMemory,
) {
    loop {
        if let Some(memory) = replica.as_ref().map(Replica::memory) {
            observer.record_memory(MemoryUse::Log, memory.log_bytes);
            observer.record_memory(MemoryUse::Changes, memory.change_bytes);
        }
        observer.record_memory(MemoryUse::Bodies, router.used_body_memory().0 as u64);
        observer.record_memory(MemoryUse::Documents, documents.used().0 as u64);
        compio::time::sleep(MEMORY_INTERVAL).await;
    }
}

fn log_withdrawal(is_withdrawn: bool) {
    if is_withdrawn {
        log::warn!(target: "daemon", "not ready: the processor is overloaded, and callers are sent to other instances");
    } else {
        log::info!(target: "daemon", "callers are no longer sent to other instances");
    }
}
