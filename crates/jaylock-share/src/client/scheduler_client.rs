use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_channel::oneshot;
use jaylock_control::{ConfigView, find_service};
use jaylock_rpc::v1::refusal::Reason;
use jaylock_rpc::v1::{
    Ask, BackendReport, BackendVerdict, Configuration, End, Grant, Progress, Refusal,
};
use jaylock_rpc::{Channel, ChannelSettings};
use jaylock_types::{DomainId, HedgePlan, Incarnation, InstanceId, Notice, PoolId};

use crate::SchedulerClientSettings;
use crate::client::connection::{SchedulerConnection, not_run};

/// Pools without a name in the configuration for which reports are kept, as a later one may name them.
const MAX_UNNAMED_POOLS: usize = 64;
/// Retry delay, in ms, for a request that is refused because the router itself stops.
const STOPPED_RETRY_MS: u32 = 1000;

/// A router's client of the schedulers of all pools; clones share the streams.
#[derive(Clone)]
pub struct SchedulerClient {
    shared: Rc<Shared>,
}

struct Shared {
    context: Rc<RouterContext>,
    // Sorted by pool.
    connections: RefCell<Vec<Rc<SchedulerConnection>>>,
    next_ticket: Cell<u64>,
}

/// Identity of the router, its settings and its channels to the schedulers.
pub struct RouterContext {
    pub instance: InstanceId,
    pub incarnation: Incarnation,
    pub domain: DomainId,
    pub view: ConfigView,
    pub settings: SchedulerClientSettings,
    channel: ChannelSettings,
    channels: RefCell<Vec<Channel>>,
}

impl RouterContext {
    /// The channel to an instance, which the streams of several pools share.
    pub fn channel(&self, address: SocketAddr) -> Channel {
        let mut channels = self.channels.borrow_mut();
        if let Some(known) = channels.iter().find(|c| c.address() == address) {
            return known.clone();
        }
        let channel = Channel::new(address, self.channel.clone());
        channels.push(channel.clone());
        channel
    }
}

impl SchedulerClient {
    /// Creates the client; a pool's stream opens when the pool is first used.
    #[must_use]
    pub fn new(
        instance: InstanceId,
        incarnation: Incarnation,
        domain: DomainId,
        view: ConfigView,
        channel: ChannelSettings,
        settings: SchedulerClientSettings,
    ) -> Self {
        let channels = RefCell::default();
        let context = RouterContext {
            instance,
            incarnation,
            domain,
            view,
            settings,
            channel,
            channels,
        };
        let shared = Shared {
            context: Rc::new(context),
            connections: RefCell::default(),
            next_ticket: Cell::new(1),
        };
        Self {
            shared: Rc::new(shared),
        }
    }

    /// Waits for a slot; dropping the future cancels the request.
    ///
    /// Sets the ticket, which identifies the run until [`SchedulerClient::release_slot`].
    ///
    /// # Errors
    /// A refusal with a retry delay in ms; nothing has run then.
    pub async fn request_slot(&self, pool: &PoolId, mut ask: Ask) -> Result<Grant, Refusal> {
        let ticket = self.shared.next_ticket.get();
        self.shared.next_ticket.set(ticket + 1);
        ask.ticket = ticket;
        let connection = self.connection(pool.as_str());
        let (reply, receiver) = oneshot::channel();
        connection.request_slot(ask, reply);
        let mut waiting = WaitingRequest {
            connection,
            ticket,
            receiver,
        };
        let reply = (&mut waiting.receiver).await;
        reply.unwrap_or_else(|_| {
            Err(Refusal {
                ticket,
                reason: Reason::NoBackend.into(),
                retry_after_ms: STOPPED_RETRY_MS,
            })
        })
    }

    /// Reports a run's service so far, in tokens.
    pub fn report_progress(&self, pool: &PoolId, progress: Progress) {
        self.connection(pool.as_str()).report_progress(progress);
    }

    /// Releases a slot.
    pub fn release_slot(&self, pool: &PoolId, end: End) {
        self.connection(pool.as_str()).release_slot(end);
    }

    /// Reports that a backend server crashed after a run there was given up.
    pub fn report_crash(&self, pool: &PoolId, ticket: u64) {
        self.connection(pool.as_str()).report_crash(ticket);
    }

    /// Reports what a start of a backend server tells in a response.
    pub fn report_notice(&self, pool: &PoolId, backend: &str, incarnation: u64, notice: &Notice) {
        let connection = self.connection(pool.as_str());
        connection.report_notice(backend, incarnation, notice);
    }

    /// Reports how long a response of a route took whose requests may be hedged.
    pub fn report_response(&self, pool: &PoolId, route: &str, hedge_percent: u32, time: Duration) {
        let connection = self.connection(pool.as_str());
        connection.report_response(route, hedge_percent, time);
    }

    /// When a request of a route is hedged, by the responses of all routers; `None` if that is not known.
    #[must_use]
    pub fn hedge_plan(&self, pool: &PoolId, route: &str) -> Option<HedgePlan> {
        self.find(pool.as_str())?.hedge_plan(route)
    }

    /// Whether a start of a backend server told this router in a response to send it nothing now.
    #[must_use]
    pub fn is_excluded(&self, pool: &PoolId, grant: &Grant) -> bool {
        let connection = self.connection(pool.as_str());
        connection.is_excluded(grant)
    }

    /// Whether reports of a pool's backend servers are forwarded.
    ///
    /// Those of a pool that the configuration doesn't name are not, if too many such pools were reported before.
    #[must_use]
    pub fn accepts_reports(&self, pool: &str) -> bool {
        self.find(pool).is_some()
            || names_pool(&self.shared.context.view.current(), pool)
            || self.count_unnamed() < MAX_UNNAMED_POOLS
    }

    /// Forwards an announcement or report of a backend server.
    pub fn report_backend(&self, report: BackendReport) {
        if self.accepts_reports(&report.pool) {
            self.connection(&report.pool).report_backend(report);
        } else {
            let (backend, pool) = (report.id.as_str(), report.pool.as_str());
            log::info!(target: "share", backend = backend, pool = pool; "a report is dropped: the configuration does not name its pool");
        }
    }

    /// The latest verdict of any scheduler on a backend server that announced itself to this router.
    #[must_use]
    pub fn backend_verdict(&self, backend: &str) -> Option<BackendVerdict> {
        let connections = self.shared.connections.borrow();
        connections
            .iter()
            .find_map(|connection| connection.backend_verdict(backend))
    }

    /// The latest verdict of a pool's scheduler on a backend server.
    #[must_use]
    pub fn pool_verdict(&self, pool: &PoolId, backend: &str) -> Option<BackendVerdict> {
        self.find(pool.as_str())?.backend_verdict(backend)
    }

    /// Waits until a pool's scheduler gives its next verdict on a backend server.
    pub fn next_verdict(&self, pool: &PoolId, backend: &str) -> impl Future<Output = ()> + use<> {
        let connection = self.find(pool.as_str());
        let verdict = connection.map(|connection| connection.next_verdict(backend));
        async move {
            match verdict {
                Some(verdict) => {
                    let _ = verdict.await;
                }
                None => std::future::pending().await,
            }
        }
    }

    /// Pools that this router uses and that have no scheduler in the configuration.
    ///
    /// A pool that the configuration doesn't name needs none, unless it names no pool yet.
    #[must_use]
    pub fn unserved_pools(&self) -> Vec<PoolId> {
        let configuration = self.shared.context.view.current();
        let is_empty = configuration.services.is_empty() && configuration.models.is_empty();
        let connections = self.shared.connections.borrow();
        let unserved = connections.iter().filter(|connection| {
            let is_named = is_empty || names_pool(&configuration, connection.pool());
            is_named && connection.scheduler().is_none()
        });
        unserved
            .filter_map(|connection| connection.pool().parse().ok())
            .collect()
    }

    fn find(&self, pool: &str) -> Option<Rc<SchedulerConnection>> {
        let connections = self.shared.connections.borrow();
        let index = connections.binary_search_by(|connection| connection.pool().cmp(pool));
        index.ok().map(|index| connections[index].clone())
    }

    /// Number of pools in use that the configuration doesn't name.
    fn count_unnamed(&self) -> usize {
        let configuration = self.shared.context.view.current();
        let connections = self.shared.connections.borrow();
        let pools = connections.iter().map(|connection| connection.pool());
        pools
            .filter(|pool| !names_pool(&configuration, pool))
            .count()
    }

    fn connection(&self, pool: &str) -> Rc<SchedulerConnection> {
        let mut connections = self.shared.connections.borrow_mut();
        match connections.binary_search_by(|connection| connection.pool().cmp(pool)) {
            Ok(index) => connections[index].clone(),
            Err(index) => {
                let connection = SchedulerConnection::open(pool, self.shared.context.clone());
                connections.insert(index, connection.clone());
                connection
            }
        }
    }
}

/// Whether a configuration names a pool: that of a service or of a model.
fn names_pool(configuration: &Configuration, pool: &str) -> bool {
    let mut models = configuration.models.iter();
    find_service(configuration, pool).is_some() || models.any(|m| m.pool == pool)
}

/// A request that waits for its reply; dropping it cancels the request and returns an unread grant.
struct WaitingRequest {
    connection: Rc<SchedulerConnection>,
    ticket: u64,
    receiver: oneshot::Receiver<Result<Grant, Refusal>>,
}

impl Drop for WaitingRequest {
    fn drop(&mut self) {
        match self.receiver.try_recv() {
            Ok(Some(Ok(grant))) => self.connection.release_slot(not_run(&grant)),
            // After a reply was read, there is nothing to cancel.
            _ => self.connection.cancel(self.ticket),
        }
    }
}
