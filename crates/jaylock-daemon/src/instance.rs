use std::time::{Duration, Instant};

use compio::net::TcpListener;
use compio::runtime::JoinHandle;
use compio::time::timeout_at;
use jaylock_router::{RouteHeaders, Router, new_command};
use jaylock_rpc::ServerSettings;
use jaylock_rpc::v1::InstanceGone;
use jaylock_rpc::v1::command::Body;
use jaylock_settings::Settings;

use crate::api::ControlApi;
use crate::components::{Components, Workers, spawn};
use crate::occupied::Binding;
use crate::reload::follow_settings;
use crate::shutdown::{PROPAGATION_TIME, ShutdownSchedule};
use crate::signals::Signals;

/// Time between two checks whether the configuration shows that this instance is leaving.
const CONFIRMATION_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// One instance of the fleet; `S` is its lifecycle state.
pub struct Instance<S> {
    components: Components,
    state: S,
}

/// State of an instance that holds nothing yet and is unknown to the others.
pub struct Prepared {
    headers: Option<RouteHeaders>,
    workers: Workers,
}

/// State of an instance that holds its data folder and its addresses but does not serve yet.
pub struct Opened {
    callers: Option<TcpListener>,
    relays: Option<TcpListener>,
    headers: Option<RouteHeaders>,
    peers: TcpListener,
    workers: Workers,
}

/// State of an instance that is serving.
pub struct Serving {
    tasks: Vec<JoinHandle<()>>,
}

impl Instance<Prepared> {
    /// Creates an instance; nothing is bound, opened or sent yet.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self::with_headers(settings, None)
    }

    /// Creates an instance that serves only routes to callers, with custom header names.
    #[must_use]
    pub fn for_routes(settings: Settings, headers: RouteHeaders) -> Self {
        Self::with_headers(settings, Some(headers))
    }

    fn with_headers(settings: Settings, headers: Option<RouteHeaders>) -> Self {
        let (components, workers) = Components::new(settings);
        let state = Prepared { headers, workers };
        Self { components, state }
    }

    /// Operations for operators, backend servers and callers that look up routers.
    #[must_use]
    pub fn api(&self) -> ControlApi {
        self.components.api()
    }

    /// Opens the data folder and binds the addresses, and waits while another process has one of them.
    ///
    /// # Errors
    /// The data folder can't be read, or waiting can't make an address available.
    pub async fn open(mut self) -> anyhow::Result<Instance<Opened>> {
        // The folder first, as no one should connect to an address whose owner waits.
        self.components.open_replica().await?;
        let instance = &self.components.settings().instance;
        let peers = Binding::begin("peer_address", instance.peer_listen()).await?;
        let callers = match instance.caller_listen() {
            Some(address) => Some(Binding::begin("caller_address", address).await?),
            None => None,
        };
        let relays = match instance.relay_address {
            Some(address) => Some(Binding::begin("relay_address", address).await?),
            None => None,
        };
        let peers = peers.complete().await;
        let callers = complete(callers).await;
        let relays = complete(relays).await;
        let Prepared { headers, workers } = self.state;
        let state = Opened {
            callers,
            relays,
            headers,
            peers,
            workers,
        };
        Ok(Instance {
            components: self.components,
            state,
        })
    }
}

impl Instance<Opened> {
    /// Starts all tasks of the instance.
    ///
    /// # Errors
    /// Waiting can't make the address of the metrics available.
    pub async fn start(mut self) -> anyhow::Result<Instance<Serving>> {
        let Opened {
            callers,
            relays,
            headers,
            peers,
            workers,
        } = self.state;
        let services = self.components.services(&workers);
        let server = server_settings(self.components.settings());
        self.components.start(workers).await?;
        let mut tasks = vec![spawn(jaylock_rpc::serve(peers, services, server))];
        let router = self.components.router.clone();
        if let Some(callers) = callers {
            tasks.push(spawn(async move {
                match headers {
                    Some(headers) => router.serve_routes(callers, relays, headers).await,
                    None => router.serve(callers, relays).await,
                }
            }));
        }
        log::info!(target: "daemon", "instance {} is serving", self.components.settings().instance.id);
        Ok(Instance {
            components: self.components,
            state: Serving { tasks },
        })
    }
}

impl Instance<Serving> {
    /// Serves until the process receives a shutdown signal.
    ///
    /// `reread` reads the settings file again. A failing disk does not stop the instance: the replica
    /// takes no part until the disk can be written again.
    pub async fn run(
        self,
        signals: Signals,
        reread: impl Fn() -> anyhow::Result<Settings> + 'static,
    ) {
        let (shutdown, reload) = signals.split();
        let settings = self.components.settings().clone();
        let client = self.components.context.client.clone();
        let _reload_task = spawn(follow_settings(settings, client, reload, reread));
        shutdown.await;
        Box::pin(self.shut_down()).await;
    }

    /// Shuts down gracefully: leaves the address lists, transfers its roles and finishes running requests.
    pub async fn shut_down(self) {
        log::info!(target: "daemon", "graceful shutdown started");
        let settings = self.components.settings();
        let (stop, keep) = (settings.timeouts.stop, settings.addresses.keep);
        let schedule = ShutdownSchedule::new(Instant::now(), stop, keep);
        self.end_admission(&schedule).await;
        drain(&self.components.router, &schedule).await;
        self.deregister(schedule.deregistration_timeout()).await;
        drop(self.state.tasks);
        // Requests that arrived meanwhile are still being refused.
        let refused = timeout_at(schedule.end, self.components.router.drained()).await;
        if refused.is_err() {
            let connections = self.components.router.used_connections();
            log::warn!(target: "daemon", connections; "connections are closed without a response");
        }
        log::info!(target: "daemon", "instance stopped");
    }

    /// Leaves the address lists while requests are still served, then refuses new ones.
    async fn end_admission(&self, schedule: &ShutdownSchedule) {
        let router = &self.components.router;
        router.announce_shutdown(schedule.drain_end);
        let withdrawal = timeout_at(schedule.refuse_at, self.withdraw(schedule)).await;
        if withdrawal.is_err() && !self.components.is_leaving() {
            log::warn!(target: "daemon", "control did not confirm that this instance is leaving");
        }
        router.end_admission(schedule.refuse_at);
        router.refuses_requests().await;
        schedule.log_phase("new requests are refused", router);
    }

    /// Leaves the address lists that other instances return, and transfers the leadership of the log.
    async fn withdraw(&self, schedule: &ShutdownSchedule) {
        self.components.follower.set_leaving();
        self.wait_until_leaving().await;
        schedule.log_phase("left the address lists", &self.components.router);
        self.step_down().await;
        compio::time::sleep(PROPAGATION_TIME).await;
    }

    async fn step_down(&self) {
        if let Some(replica) = &self.components.replica {
            replica.step_down().await;
        }
    }

    async fn wait_until_leaving(&self) {
        while !self.components.is_leaving() {
            compio::time::sleep(CONFIRMATION_POLL_INTERVAL).await;
        }
    }

    /// Ends the lease, under which nothing runs any more.
    async fn deregister(&self, timeout: Duration) {
        self.components.follower.stop_renewing();
        let gone = InstanceGone {
            id: self.components.settings().instance.id.to_string(),
            incarnation: self.components.context.incarnation.0,
            reason: "graceful shutdown".into(),
        };
        let command = new_command(Body::RemoveInstance(gone));
        let proposal = Box::pin(async {
            // Without a confirmation, or after another election, this instance may lead the log.
            self.step_down().await;
            self.components.context.client.propose(command).await
        });
        let confirmed = compio::time::timeout(timeout, proposal).await;
        if !matches!(confirmed, Ok(Ok(_))) {
            log::warn!(target: "daemon", "control did not confirm the deregistration; the instance's lease will expire instead");
        }
    }
}

/// Waits until an address is bound, if there is one.
async fn complete(binding: Option<Binding>) -> Option<TcpListener> {
    match binding {
        Some(binding) => Some(binding.complete().await),
        None => None,
    }
}

/// Waits for the running requests, and cancels those that are left at the end of the drain time.
async fn drain(router: &Router, schedule: &ShutdownSchedule) {
    let drained = timeout_at(schedule.drain_end, router.drained()).await;
    if drained.is_ok() {
        schedule.log_phase("no request is left", router);
        return;
    }
    let connections = router.used_connections();
    log::warn!(target: "daemon", connections; "requests still running are cancelled");
    router.cancel_requests();
    let ended = timeout_at(schedule.cancel_end, router.drained()).await;
    if ended.is_err() {
        let connections = router.used_connections();
        log::warn!(target: "daemon", connections; "cancelled requests did not end in time");
    }
}

fn server_settings(settings: &Settings) -> ServerSettings {
    ServerSettings {
        peer_secret: settings.security.peer_secret.clone(),
        operator_secret: settings.security.operator_secret.clone(),
        ..ServerSettings::default()
    }
}
