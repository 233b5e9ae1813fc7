use std::rc::Rc;

use jaylock_control::{ConfigView, InstanceLease};
use jaylock_observe::Observer;

use crate::backends::Backends;
use crate::background::Background;
use crate::budget::RetryBudget;
use crate::connection::ConnectionPool;
use crate::lifecycle::Lifecycle;
use crate::memory::BodyMemory;
use crate::organisation::Organisations;
use crate::port::{CommandLog, Schedulers};
use crate::settings::{RouterIdentity, RouterSettings};

/// What the requests of a router's own interface share.
///
/// It knows none of the files that use it.
pub struct Context {
    /// Who this router is.
    pub identity: RouterIdentity,
    /// The configuration in force.
    pub view: ConfigView,
    /// The right of this instance to act on it.
    pub lease: InstanceLease,
    /// The schedulers.
    pub schedulers: Rc<dyn Schedulers>,
    /// The replicated log.
    pub command_log: Rc<dyn CommandLog>,
    /// Notes of what happens.
    pub observer: Observer,
    /// Bounds and time limits.
    pub settings: RouterSettings,
    /// Idle connections to backend servers.
    pub connections: Rc<ConnectionPool>,
    /// Organisations by key.
    pub organisations: Organisations,
    /// Backend servers that announced themselves here.
    pub backends: Backends,
    /// Memory budget for the bodies of requests.
    pub memory: BodyMemory,
    /// Retries that organisations may make.
    pub budget: RetryBudget,
    /// How far a graceful shutdown is.
    pub lifecycle: Rc<Lifecycle>,
    /// Work that goes on after its request was dropped.
    pub background: Background,
}

impl Context {
    /// Whether callers are taken: the newest configuration is known and the instance stays.
    pub fn is_ready(&self) -> bool {
        let is_configured = self.view.revision().0 > 0;
        is_configured && self.lease.is_valid() && !self.lifecycle.is_shutting_down()
    }
}
