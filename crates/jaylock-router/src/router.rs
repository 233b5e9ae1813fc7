use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use compio::net::TcpListener;
use jaylock_control::ConfigView;
use jaylock_observe::Observer;

use crate::announce::Backends;
use crate::background::Background;
use crate::budget::RetryBudget;
use crate::link::Links;
use crate::memory::BodyMemory;
use crate::organisation::Organisations;
use crate::port::{Capacity, Claims};
use crate::server;
use crate::settings::{RouterIdentity, RouterSettings};
use crate::signal::Signal;

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
    /// Room for the bodies of requests.
    pub memory: BodyMemory,
    /// Retries that organisations may make.
    pub budget: RetryBudget,
    /// Thrown when new requests are refused because the instance stops.
    pub closed: Signal,
    /// Held by each connection that was accepted before.
    pub open: Rc<()>,
    /// Work that goes on after its request was dropped.
    pub background: Background,
    leaving: Cell<bool>,
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
        let memory = BodyMemory::new(settings.bodies_bound);
        let budget = RetryBudget::new(settings.retry_burst, settings.retry_permille);
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
            memory,
            budget,
            closed: Signal::default(),
            open: Rc::new(()),
            background: Background::default(),
            leaving: Cell::new(false),
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
        if self.shared.leaving.replace(true) {
            return;
        }
        let shared = self.shared.clone();
        compio::runtime::spawn(async move {
            let keep = Duration::from_millis(shared.settings.keep_ms.into());
            compio::time::sleep(keep).await;
            shared.closed.throw();
        })
        .detach();
    }

    /// Waits, after [`Router::leave`], until new requests are refused and every answer was sent.
    pub async fn drained(&self) {
        let shared = &self.shared;
        shared.closed.wait().await;
        while Rc::strong_count(&shared.busy) > 1 || Rc::strong_count(&shared.open) > 1 {
            compio::time::sleep(DRAIN_STEP).await;
        }
    }
}

impl Shared {
    /// Whether a graceful shutdown has begun.
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// A token that keeps the router from being drained while it is held.
    pub fn busy(&self) -> Rc<()> {
        self.busy.clone()
    }
}
