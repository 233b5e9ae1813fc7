use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::Context;
use compio::net::TcpListener;
use compio::runtime::JoinHandle;
use compio::time::timeout_at;
use jaylock_router::{RouteHeaders, Router, new_command};
use jaylock_rpc::v1::InstanceGone;
use jaylock_rpc::v1::command::Body;
use jaylock_rpc::{Routes, ServerSettings};
use jaylock_settings::Settings;

use crate::api::ControlApi;
use crate::components::{Components, spawn};
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

/// State of an instance that has bound its addresses but does not serve yet.
pub struct Opened {
    callers: Option<TcpListener>,
    headers: Option<RouteHeaders>,
    peers: TcpListener,
    routes: Routes,
    server: ServerSettings,
}

/// State of an instance that is serving.
pub struct Serving {
    tasks: Vec<JoinHandle<()>>,
}

impl Instance<Opened> {
    /// Binds the addresses and opens the data folder.
    ///
    /// # Errors
    /// An address can't be bound, or the data folder can't be read.
    pub async fn open(settings: Settings) -> anyhow::Result<Self> {
        Self::open_with(settings, None).await
    }

    /// Opens an instance that serves only routes to callers, with custom header names.
    ///
    /// # Errors
    /// The same as for [`Instance::open`].
    pub async fn open_routes(settings: Settings, headers: RouteHeaders) -> anyhow::Result<Self> {
        Self::open_with(settings, Some(headers)).await
    }

    async fn open_with(settings: Settings, headers: Option<RouteHeaders>) -> anyhow::Result<Self> {
        let callers = match settings.instance.caller_listen() {
            Some(address) => Some(bind(address, "caller_address").await?),
            None => None,
        };
        let peers = bind(settings.instance.peer_listen(), "peer_address").await?;
        let server = ServerSettings {
            peer_secret: settings.security.peer_secret.clone(),
            operator_secret: settings.security.operator_secret.clone(),
            ..ServerSettings::default()
        };
        let (components, routes) = Components::assemble(settings).await?;
        let state = Opened {
            callers,
            headers,
            peers,
            routes,
            server,
        };
        Ok(Self { components, state })
    }

    /// Operations for operators, backend servers and callers that look up routers.
    #[must_use]
    pub fn api(&self) -> ControlApi {
        self.components.api()
    }

    /// Starts all tasks of the instance.
    ///
    /// # Errors
    /// The address of the metrics can't be bound.
    pub async fn start(mut self) -> anyhow::Result<Instance<Serving>> {
        let Opened {
            callers,
            headers,
            peers,
            routes,
            server,
        } = self.state;
        let mut tasks = vec![spawn(jaylock_rpc::serve(peers, routes, server))];
        let router = self.components.router.clone();
        if let Some(callers) = callers {
            tasks.push(spawn(async move {
                match headers {
                    Some(headers) => router.serve_routes(callers, headers).await,
                    None => router.serve(callers).await,
                }
            }));
        }
        self.components.start().await?;
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

async fn bind(address: SocketAddr, key: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("{key} {address} can't be bound: choose a free one"))
}
