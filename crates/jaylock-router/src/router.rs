use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::TcpListener;
use futures_util::future::join;
use jaylock_control::{ConfigView, InstanceLease};
use jaylock_observe::Observer;
use jaylock_types::ByteSize;

use crate::api::{self, ApiHandler};
use crate::backends::Backends;
use crate::background::Background;
use crate::budget::RetryBudget;
use crate::context::Context;
use crate::hedge::Hedging;
use crate::lifecycle::Lifecycle;
use crate::memory::BodyMemory;
use crate::overload::OverloadGuard;
use crate::port::{CommandLog, Schedulers};
use crate::relay::{Relay, RelayContext};
use crate::route::{RouteContext, RouteHandler, RouteHeaders};
use crate::run_times::RunTimes;
use crate::server::{Handler, Server, ServerLimits};
use crate::settings::{RouterIdentity, RouterSettings};

/// HTTP router of an instance, for callers and backend servers; clones share its state.
#[derive(Clone)]
pub struct Router {
    context: Rc<Context>,
}

impl Router {
    /// Creates a router that does not serve yet.
    #[must_use]
    pub fn new(
        identity: RouterIdentity,
        view: ConfigView,
        lease: InstanceLease,
        schedulers: impl Schedulers + 'static,
        command_log: impl CommandLog + 'static,
        observer: Observer,
        settings: RouterSettings,
    ) -> Self {
        let memory = BodyMemory::new(settings.max_body_memory);
        let budget = RetryBudget::new(settings.retry_burst, settings.retry_permille);
        let overload =
            OverloadGuard::with_refusals(settings.event_timeout, settings.refusals_per_second);
        let context = Context {
            identity,
            view,
            lease,
            schedulers: Rc::new(schedulers),
            command_log: Rc::new(command_log),
            observer,
            settings,
            connections: Rc::default(),
            crash_checks: Rc::default(),
            organisations: Rc::default(),
            backends: Backends::default(),
            memory,
            overload,
            budget,
            lifecycle: Rc::default(),
            background: Background::default(),
        };
        Self {
            context: Rc::new(context),
        }
    }

    /// Serves callers and backend servers until the returned future is dropped; `relays` takes connections from other routers.
    pub async fn serve(&self, listener: TcpListener, relays: Option<TcpListener>) {
        let handler = ApiHandler {
            context: self.context.clone(),
            routes: Rc::new(self.route_handler(RouteHeaders::default())),
        };
        let _maintenance = compio::runtime::spawn(api::run_maintenance(self.context.clone()));
        let limits = self.server_limits(self.context.settings.sender_timeout);
        self.accept(handler, limits, listener, relays).await;
    }

    /// Serves only routes, with other header names, until the returned future is dropped; `relays` as for [`Router::serve`].
    pub async fn serve_routes(
        &self,
        listener: TcpListener,
        relays: Option<TcpListener>,
        names: RouteHeaders,
    ) {
        let handler = self.route_handler(names);
        let _maintenance = compio::runtime::spawn(api::run_maintenance(self.context.clone()));
        let limits = self.server_limits(self.context.settings.keep_alive_timeout);
        self.accept(handler, limits, listener, relays).await;
    }

    async fn accept<H: Handler + 'static>(
        &self,
        handler: H,
        limits: ServerLimits,
        callers: TcpListener,
        relays: Option<TcpListener>,
    ) {
        let lifecycle = self.context.lifecycle.clone();
        let server = Server::new(limits, lifecycle, Rc::new(handler), self.relay());
        let callers = server.clone().accept_callers(callers);
        match relays {
            Some(relays) => {
                join(callers, server.accept_relays(relays)).await;
            }
            None => callers.await,
        }
    }

    /// Passes connections on and takes them, if this router may.
    fn relay(&self) -> Option<Rc<Relay>> {
        let context = &self.context;
        let proof = context.settings.relay_proof.clone()?;
        Some(Rc::new(Relay::new(RelayContext {
            identity: context.identity.clone(),
            view: context.view.clone(),
            lease: context.lease.clone(),
            overload: context.overload.clone(),
            lifecycle: context.lifecycle.clone(),
            observer: context.observer.clone(),
            proof,
        })))
    }

    /// Reports this router as shutting down, so that callers choose others; requests are still served.
    ///
    /// What runs at `drain_end` will be cancelled.
    pub fn announce_shutdown(&self, drain_end: Instant) {
        self.context.lifecycle.begin_shutdown(drain_end);
    }

    /// Refuses new requests once callers no longer cache the address list, and at `refuse_at` at the latest.
    pub fn end_admission(&self, refuse_at: Instant) {
        let context = self.context.clone();
        compio::runtime::spawn(async move {
            let ttl = Duration::from_millis(context.settings.address_ttl_ms.into());
            compio::time::sleep_until(refuse_at.min(Instant::now() + ttl)).await;
            context.lifecycle.refuse_requests();
        })
        .detach();
    }

    /// Whether callers are accepted: the instance has a configuration and a lease, is not leaving, and does not send its
    /// callers to others because its processor is overloaded.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.context.is_ready()
    }

    /// Whether callers should choose other instances, as the processor is or was a moment ago overloaded.
    #[must_use]
    pub fn wants_withdrawal(&self) -> bool {
        self.context.overload.wants_withdrawal(Instant::now())
    }

    /// Whether callers are sent to other instances, as the processor is overloaded and control allows it.
    #[must_use]
    pub fn is_withdrawn(&self) -> bool {
        self.context.is_withdrawn()
    }

    /// Memory reserved for the bodies of requests and responses in progress.
    #[must_use]
    pub fn used_body_memory(&self) -> ByteSize {
        self.context.memory.used()
    }

    /// Progress of the graceful shutdown, for other listeners of the instance.
    #[must_use]
    pub fn lifecycle(&self) -> Rc<Lifecycle> {
        self.context.lifecycle.clone()
    }

    /// Cancels the requests in progress; their callers get an error.
    pub fn cancel_requests(&self) {
        self.context.lifecycle.cancel_requests();
    }

    /// Number of connections on which a request has arrived.
    #[must_use]
    pub fn used_connections(&self) -> usize {
        self.context.lifecycle.used_connections()
    }

    /// Waits, after [`Router::end_admission`], until new requests are refused.
    pub async fn refuses_requests(&self) {
        self.context.lifecycle.closed.wait().await;
    }

    /// Waits, after [`Router::end_admission`], until new requests are refused and every response was sent.
    pub async fn drained(&self) {
        self.context.lifecycle.drained().await;
    }

    fn route_handler(&self, names: RouteHeaders) -> RouteHandler {
        let context = &self.context;
        RouteHandler::new(RouteContext {
            view: context.view.clone(),
            lease: context.lease.clone(),
            schedulers: context.schedulers.clone(),
            lifecycle: context.lifecycle.clone(),
            connections: context.connections.clone(),
            crash_checks: context.crash_checks.clone(),
            organisations: context.organisations.clone(),
            budget: context.settings.route_budget(),
            hedging: Hedging::new(context.settings.hedge_percent),
            run_times: RunTimes::default(),
            memory: context.memory.clone(),
            overload: context.overload.clone(),
            observer: context.observer.clone(),
            names,
            limits: context.settings.route_limits(),
        })
    }

    fn server_limits(&self, head_timeout: Duration) -> ServerLimits {
        let settings = &self.context.settings;
        ServerLimits {
            max_connections: settings.max_connections,
            max_head: settings.max_head,
            max_headers: settings.max_headers,
            head_timeout,
            write_timeout: settings.write_timeout,
        }
    }
}
