use std::rc::Rc;

use jaylock_control::{ConfigView, InstanceLease};
use jaylock_observe::Observer;

use crate::backends::Backends;
use crate::background::Background;
use crate::budget::RetryBudget;
use crate::connection::ConnectionPool;
use crate::crash_check::CrashChecks;
use crate::lifecycle::Lifecycle;
use crate::memory::BodyMemory;
use crate::organisation::Organisations;
use crate::overload::OverloadGuard;
use crate::port::{CommandLog, Schedulers};
use crate::settings::{RouterIdentity, RouterSettings};

/// State shared by the requests of the router's API.
pub struct Context {
    /// Identity of this router.
    pub identity: RouterIdentity,
    /// Active configuration.
    pub view: ConfigView,
    /// Lease without which this instance must not use the configuration.
    pub lease: InstanceLease,
    /// Port to the schedulers.
    pub schedulers: Rc<dyn Schedulers>,
    /// Port to the replicated log.
    pub command_log: Rc<dyn CommandLog>,
    /// Records metrics, logs and traces.
    pub observer: Observer,
    /// Size and time limits.
    pub settings: RouterSettings,
    /// Idle connections to backend servers.
    pub connections: Rc<ConnectionPool>,
    /// Checks of backend servers after requests were given up.
    pub crash_checks: Rc<CrashChecks>,
    /// Organisations by key.
    pub organisations: Rc<Organisations>,
    /// Backend servers that announced themselves to this router.
    pub backends: Backends,
    /// Memory budget for the bodies of requests.
    pub memory: BodyMemory,
    /// Limit on the requests in progress while the processor is overloaded.
    pub overload: OverloadGuard,
    /// Retry budget of each organisation.
    pub budget: RetryBudget,
    /// Progress of a graceful shutdown.
    pub lifecycle: Rc<Lifecycle>,
    /// Work that continues after its request was dropped.
    pub background: Background,
}

impl Context {
    /// Whether callers are accepted: the instance has a configuration and a lease, is not leaving, and does not send its
    /// callers to others because its processor is overloaded.
    pub fn is_ready(&self) -> bool {
        let has_configuration = self.view.revision().0 > 0;
        let is_serving = has_configuration && self.lease.is_valid();
        is_serving && !self.lifecycle.is_shutting_down() && !self.is_withdrawn()
    }

    /// Whether callers are sent to other instances, as the processor is overloaded.
    pub fn is_withdrawn(&self) -> bool {
        self.overload.is_withdrawn(&self.lease)
    }
}
