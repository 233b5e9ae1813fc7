use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::TcpListener;
use jaylock_control::ConfigView;
use jaylock_observe::Observer;

use crate::announce::Backends;
use crate::link::Links;
use crate::organisation::Organisations;
use crate::port::{Capacity, Claims};
use crate::server;
use crate::settings::{RouterIdentity, RouterSettings};

/// Time between two looks whether the last request has ended.
const DRAIN_STEP: Duration = Duration::from_millis(20);

/// The HTTP side of an instance, for callers and backend servers; clones share it.
#[derive(Clone)]
pub struct Router {
    shared: Rc<Shared>,
}

/// What the requests of a router share.
pub struct Shared {
    /// Who this router is.
    pub identity: RouterIdentity,
    /// The configuration in force.
    pub view: ConfigView,
    /// The schedulers.
    pub capacity: Rc<dyn Capacity>,
    /// The replicated log.
    pub claims: Rc<dyn Claims>,
    /// Notes of what happens.
    pub observer: Observer,
    /// Bounds and time limits.
    pub settings: RouterSettings,
    /// Idle connections to backend servers.
    pub links: Links,
    /// Organisations by key.
    pub organisations: Organisations,
    /// Backend servers that announced themselves here.
    pub backends: Backends,
    left: Cell<Option<Instant>>,
    busy: Rc<()>,
}

impl Router {
    /// Assembles a router; nothing is served yet.
    #[must_use]
    pub fn new(
        identity: RouterIdentity,
        view: ConfigView,
        capacity: impl Capacity + 'static,
        claims: impl Claims + 'static,
        observer: Observer,
        settings: RouterSettings,
    ) -> Self {
        let shared = Shared {
            identity,
            view,
            capacity: Rc::new(capacity),
            claims: Rc::new(claims),
            observer,
            settings,
            links: Links::default(),
            organisations: Organisations::default(),
            backends: Backends::default(),
            left: Cell::new(None),
            busy: Rc::new(()),
        };
        Self {
            shared: Rc::new(shared),
        }
    }

    /// Serves callers and backend servers until the returned future is dropped.
    pub async fn serve(&self, listener: TcpListener) {
        server::serve(self.shared.clone(), listener).await;
    }

    /// Begins a graceful shutdown.
    ///
    /// Requests are served on for as long as callers may keep the address list, then refused.
    pub fn leave(&self) {
        if self.shared.left.get().is_none() {
            self.shared.left.set(Some(Instant::now()));
        }
    }

    /// Waits, after [`Router::leave`], until new requests are refused and none is in progress.
    pub async fn drained(&self) {
        while !self.shared.is_closed() || Rc::strong_count(&self.shared.busy) > 1 {
            compio::time::sleep(DRAIN_STEP).await;
        }
    }
}

impl Shared {
    /// Whether new requests are refused because the instance stops.
    pub fn is_closed(&self) -> bool {
        let keep = Duration::from_millis(self.settings.keep_ms.into());
        self.left.get().is_some_and(|at| at.elapsed() >= keep)
    }

    /// Whether a graceful shutdown has begun.
    pub fn is_leaving(&self) -> bool {
        self.left.get().is_some()
    }

    /// A token that keeps the router from being drained while it is held.
    pub fn busy(&self) -> Rc<()> {
        self.busy.clone()
    }
}
