use std::rc::Rc;
use std::time::Duration;

use jaylock_control::{ConfigView, InstanceLease};
use jaylock_observe::Observer;
use jaylock_rpc::v1::Configuration;
use jaylock_types::ByteSize;

use super::headers::RouteHeaders;
use crate::budget::FleetBudget;
use crate::connection::ConnectionPool;
use crate::lifecycle::Lifecycle;
use crate::memory::BodyMemory;
use crate::port::Schedulers;

/// What the requests for routes share.
pub struct RouteContext {
    /// The configuration in force.
    pub view: ConfigView,
    /// The right of this instance to act on that configuration.
    pub lease: InstanceLease,
    /// The schedulers.
    pub schedulers: Rc<dyn Schedulers>,
    /// How far a graceful shutdown is.
    pub lifecycle: Rc<Lifecycle>,
    /// Idle connections to backend servers.
    pub connections: Rc<ConnectionPool>,
    /// Attempts beyond the first that services may get.
    pub budget: FleetBudget,
    /// Memory budget for the bodies of requests in progress.
    pub memory: BodyMemory,
    /// Notes of what happens.
    pub observer: Observer,
    /// Names of the header fields.
    pub names: RouteHeaders,
    /// Bounds and time limits.
    pub limits: RouteLimits,
}

/// Bounds and time limits of requests for routes.
#[derive(Debug, Clone)]
pub struct RouteLimits {
    /// Largest body of a request, unless the configuration names one.
    pub max_body: ByteSize,
    /// Time for a caller to send a body.
    pub sender_timeout: Duration,
    /// Time for opening a connection to a backend server.
    pub connect_timeout: Duration,
    /// Idle time up to which a connection carries a request that may not be repeated.
    pub max_idle_once: Duration,
    /// Idle time up to which a connection carries any other request.
    pub max_idle: Duration,
    /// Largest answer that is not a stream.
    pub max_response: ByteSize,
    /// Time that a caller should wait where nothing better is known.
    pub retry_after: Duration,
}

impl RouteContext {
    /// The configuration, while this instance may act on it.
    ///
    /// An instance that hears nothing of control can't say that a route or key does not exist.
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        if !self.lease.is_valid() {
            return None;
        }
        let current = self.view.current();
        // Before the first change of operators, nobody can say what there will be.
        (current.revision > 0).then_some(current)
    }
}
