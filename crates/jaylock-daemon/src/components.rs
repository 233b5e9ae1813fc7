use std::rc::Rc;
use std::time::Duration;

use compio::runtime::JoinHandle;
use jaylock_control::{FollowerHandle, Replica};
use jaylock_observe::{MemoryUse, Observer};
use jaylock_router::{BodyMemory, Router, id_hash};
use jaylock_rpc::v1::operator_server::OperatorServer;
use jaylock_rpc::v1::peer_server::PeerServer;
use jaylock_rpc::{Access, Routes};
use jaylock_settings::Settings;
use jaylock_share::SchedulerClient;

use crate::api::{ControlApi, DOCUMENT_MEMORY};
use crate::context::InstanceContext;
use crate::exposition::serve_metrics;

/// Time between two reports of this instance's state to its follower.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two records of what memory is used for.
const MEMORY_INTERVAL: Duration = Duration::from_secs(1);

/// The components of an instance, connected through their ports.
pub struct Components {
    /// Settings and state that the components share.
    pub context: InstanceContext,
    /// Handle through which the instance reports its state to control.
    pub follower: FollowerHandle,
    /// Replica of the log; unset without a data folder.
    pub replica: Option<Replica>,
    /// Router that serves callers and backend servers.
    pub router: Rc<Router>,
    schedulers: SchedulerClient,
    documents: BodyMemory,
    tasks: Vec<JoinHandle<()>>,
}

impl Components {
    /// Creates the components, starts those that only make calls, and returns the gRPC services.
    ///
    /// # Errors
    /// The data folder can't be read, or the HTTP client can't be created.
    pub async fn assemble(settings: Settings) -> anyhow::Result<(Self, Routes)> {
        let context = InstanceContext::new(settings);
        let replica = context.open_replica().await?;
        let follower = context.follower();
        let (lease, handle) = (follower.lease(), follower.handle());
        let schedulers = context.scheduler_client();
        let host = context.scheduler_host(lease.clone());
        let reconciler = context.order_reconciler(lease.clone())?;
        let mut services = Routes::default()
            .with(Access::Instances, host.service())
            .with(
                Access::Instances,
                PeerServer::new(context.peer_endpoint(lease.clone())),
            )
            .with(
                Access::Operators,
                OperatorServer::new(context.operator_service()),
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
            spawn(reconciler.run()),
            spawn(context.minute_replicator().run()),
        ];
        let router = context.router(&schedulers, lease);
        let components = Self {
            context,
            follower: handle,
            replica,
            router,
            schedulers,
            documents: BodyMemory::with_share(DOCUMENT_MEMORY, DOCUMENT_MEMORY),
            tasks,
        };
        Ok((components, services))
    }

    /// Starts the replica, the metrics and the reports of what control must know of this instance.
    ///
    /// # Errors
    /// The address of the metrics can't be bound.
    pub async fn start(&mut self) -> anyhow::Result<()> {
        if let Some(replica) = self.replica.clone() {
            self.tasks.push(spawn(replica.run()));
        }
        if let Some(address) = self.settings().instance.metrics_address {
            serve_metrics(address, self.context.observer.clone()).await?;
        }
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
