use std::rc::Rc;
use std::time::Duration;

use compio::net::TcpListener;
use jaylock_control::{ConfigView, InstanceLease};
use jaylock_observe::Observer;

use crate::backends::Backends;
use crate::background::Background;
use crate::budget::RetryBudget;
use crate::context::Context;
use crate::memory::BodyMemory;
use crate::organisation::Organisations;
use crate::own::{self, OwnRoom};
use crate::port::{Capacity, Claims};
use crate::route::{RouteContext, RouteNames, RouteRoom};
use crate::server::{self, ServerLimits};
use crate::settings::{RouterIdentity, RouterSettings};

/// The HTTP side of an instance, for callers and backend servers; clones share it.
#[derive(Clone)]
pub struct Router {
    shared: Rc<Context>,
}

impl Router {
    /// Assembles a router; nothing is served yet.
    #[must_use]
    pub fn new(
        identity: RouterIdentity,
        view: ConfigView,
        lease: InstanceLease,
        capacity: impl Capacity + 'static,
        claims: impl Claims + 'static,
        observer: Observer,
        settings: RouterSettings,
    ) -> Self {
        let memory = BodyMemory::new(settings.bodies_bound);
        let budget = RetryBudget::new(settings.retry_burst, settings.retry_permille);
        let shared = Context {
            identity,
            view,
            lease,
            capacity: Rc::new(capacity),
            claims: Rc::new(claims),
            observer,
            settings,
            links: Rc::default(),
            organisations: Organisations::default(),
            backends: Backends::default(),
            memory,
            budget,
            lifecycle: Rc::default(),
            background: Background::default(),
        };
        Self {
            shared: Rc::new(shared),
        }
    }

    /// Serves callers and backend servers until the returned future is dropped.
    pub async fn serve(&self, listener: TcpListener) {
        let room = OwnRoom {
            shared: self.shared.clone(),
            routes: Rc::new(self.route_room(RouteNames::default())),
        };
        let _tending = compio::runtime::spawn(own::tend(self.shared.clone()));
        let limits = self.server_limits(self.shared.settings.slow_sender);
        let lifecycle = self.shared.lifecycle.clone();
        server::serve(listener, limits, lifecycle, Rc::new(room)).await;
    }

    /// Serves nothing but routes, under other names of header fields, until the future is dropped.
    pub async fn serve_routes(&self, listener: TcpListener, names: RouteNames) {
        let room = self.route_room(names);
        let _tending = compio::runtime::spawn(own::tend(self.shared.clone()));
        let limits = self.server_limits(self.shared.settings.caller_idle);
        let lifecycle = self.shared.lifecycle.clone();
        server::serve(listener, limits, lifecycle, Rc::new(room)).await;
    }

    /// Says that a graceful shutdown will begin; requests are served on.
    pub fn announce_leave(&self) {
        self.shared.lifecycle.leave();
    }

    /// Begins a graceful shutdown.
    ///
    /// Requests are served on for as long as callers may keep the address list, then refused.
    pub fn leave(&self) {
        self.shared.lifecycle.leave();
        let shared = self.shared.clone();
        compio::runtime::spawn(async move {
            let keep = Duration::from_millis(shared.settings.keep_ms.into());
            compio::time::sleep(keep).await;
            shared.lifecycle.close();
        })
        .detach();
    }

    /// Whether callers are taken: the newest configuration is known and the instance stays.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Waits, after [`Router::leave`], until new requests are refused and every answer was sent.
    pub async fn drained(&self) {
        self.shared.lifecycle.drained().await;
    }

    fn route_room(&self, names: RouteNames) -> RouteRoom {
        let shared = &self.shared;
        RouteRoom::new(RouteContext {
            view: shared.view.clone(),
            lease: shared.lease.clone(),
            capacity: shared.capacity.clone(),
            lifecycle: shared.lifecycle.clone(),
            links: shared.links.clone(),
            budget: shared.settings.route_budget(),
            memory: shared.memory.clone(),
            observer: shared.observer.clone(),
            names,
            limits: shared.settings.route_limits(),
        })
    }

    fn server_limits(&self, head_timeout: Duration) -> ServerLimits {
        let settings = &self.shared.settings;
        ServerLimits {
            connections: settings.connections,
            header_bound: settings.header_bound,
            header_count: settings.header_count,
            head_timeout,
            write_stall: settings.write_stall,
        }
    }
}
