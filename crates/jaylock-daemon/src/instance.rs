use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use compio::net::TcpListener;
use compio::runtime::JoinHandle;
use jaylock_router::RouteHeaders;
use jaylock_rpc::v1::{Command, InstanceGone, command};
use jaylock_rpc::{Routes, ServerSettings};
use jaylock_settings::Settings;
use jaylock_types::RequestId;

use crate::api::ControlApi;
use crate::parts::{Parts, spawn};
use crate::reload::follow_settings;
use crate::stop::stop_signal;

/// Time between two looks at whether the fleet knows that this instance leaves.
const LOOK: Duration = Duration::from_millis(50);
/// Longest wait until the fleet knows that this instance leaves.
const WITHDRAWAL: Duration = Duration::from_secs(5);
/// Part of the time for stopping that this wait takes at most, as a divisor.
const WITHDRAWAL_PART: u32 = 8;
/// Part of the time for stopping that the next wait takes at most, as a divisor.
const PROPAGATION_PART: u32 = 16;
/// Time in which the other instances follow a change, and with it the address lists they give out.
const PROPAGATION: Duration = Duration::from_secs(1);

/// One instance of the fleet, in a state of its life.
pub struct Instance<S> {
    parts: Parts,
    state: S,
}

/// State of an instance whose addresses are bound and that serves nothing yet.
pub struct Opened {
    callers: Option<TcpListener>,
    names: Option<RouteHeaders>,
    peers: TcpListener,
    routes: Routes,
    server: ServerSettings,
}

/// State of an instance that serves.
pub struct Serving {
    tasks: Vec<JoinHandle<()>>,
}

impl Instance<Opened> {
    /// Binds the addresses and reads what the disk holds.
    ///
    /// # Errors
    /// An address is taken, or the data folder can't be read.
    pub async fn open(settings: Settings) -> anyhow::Result<Self> {
        Self::open_with(settings, None).await
    }

    /// The same with nothing but routes at the callers' address, under other names of header fields.
    ///
    /// # Errors
    /// As [`Instance::open`].
    pub async fn open_routes(settings: Settings, names: RouteHeaders) -> anyhow::Result<Self> {
        Self::open_with(settings, Some(names)).await
    }

    async fn open_with(settings: Settings, names: Option<RouteHeaders>) -> anyhow::Result<Self> {
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
        let (parts, routes) = Parts::assemble(settings).await?;
        let state = Opened {
            callers,
            names,
            peers,
            routes,
            server,
        };
        Ok(Self { parts, state })
    }

    /// What the instance does for operators, backend servers and callers who look for addresses.
    #[must_use]
    pub fn api(&self) -> ControlApi {
        self.parts.api()
    }

    /// Starts every task of the instance.
    ///
    /// # Errors
    /// The address of the metrics can't be bound.
    pub async fn start(mut self) -> anyhow::Result<Instance<Serving>> {
        let Opened {
            callers,
            names,
            peers,
            routes,
            server,
        } = self.state;
        let mut tasks = vec![spawn(jaylock_rpc::serve(peers, routes, server))];
        let router = self.parts.router.clone();
        if let Some(callers) = callers {
            tasks.push(spawn(async move {
                match names {
                    Some(names) => router.serve_routes(callers, names).await,
                    None => router.serve(callers).await,
                }
            }));
        }
        self.parts.start().await?;
        log::info!(target: "daemon", "instance {} serves", self.parts.settings().instance.id);
        Ok(Instance {
            parts: self.parts,
            state: Serving { tasks },
        })
    }
}

impl Instance<Serving> {
    /// Serves until the process is asked to end.
    ///
    /// `reread` reads the settings anew. A disk that fails ends nothing: its replica takes no part until it can
    /// be written again.
    pub async fn run(self, reread: impl Fn() -> anyhow::Result<Settings> + 'static) {
        let (settings, client) = (self.parts.settings().clone(), &self.parts.common.client);
        let _reloading = spawn(follow_settings(settings, client.clone(), reread));
        stop_signal().await;
        Box::pin(self.close()).await;
    }

    /// Stops without cutting a request: withdraws the address, hands over its roles, finishes what runs.
    pub async fn close(self) {
        log::info!(target: "daemon", "a graceful shutdown begins");
        let limit = self.parts.settings().timeouts.stop * 15 / 16;
        let drained = compio::time::timeout(limit, self.leave()).await.is_ok();
        if !drained {
            log::warn!(target: "daemon", "requests still ran after {limit:?} and are cut");
        }
        self.sign_off().await;
        drop(self.state.tasks);
        log::info!(target: "daemon", "the instance ends");
    }

    async fn leave(&self) {
        let stop = self.parts.settings().timeouts.stop;
        self.parts.router.announce_shutdown();
        self.parts.follower.leave();
        if let Some(replica) = &self.parts.replica {
            replica.step_down().await;
        }
        let longest = WITHDRAWAL.min(stop / WITHDRAWAL_PART);
        let withdrawn = compio::time::timeout(longest, self.withdrawn()).await;
        if withdrawn.is_err() {
            log::warn!(target: "daemon", "control did not confirm that this instance leaves");
        }
        compio::time::sleep(PROPAGATION.min(stop / PROPAGATION_PART)).await;
        self.parts.router.shut_down();
        self.parts.router.drained().await;
    }

    async fn withdrawn(&self) {
        while !self.parts.is_known_to_leave() {
            compio::time::sleep(LOOK).await;
        }
    }

    async fn sign_off(&self) {
        let gone = InstanceGone {
            id: self.parts.settings().instance.id.to_string(),
            incarnation: self.parts.common.incarnation.0,
            reason: "graceful shutdown".into(),
        };
        let command = Command {
            id: RequestId::random().into(),
            expected_revision: None,
            body: Some(command::Body::RemoveInstance(gone)),
        };
        let proposed = self.parts.common.client.propose(command);
        if compio::time::timeout(WITHDRAWAL, proposed).await.is_err() {
            log::warn!(target: "daemon", "control did not confirm the end; the lease runs out instead");
        }
    }
}

async fn bind(address: SocketAddr, key: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("{key} {address} can't be bound: choose a free one"))
}
