use std::rc::Rc;
use std::time::{Duration, Instant};

use http::StatusCode;
use jaylock_control::{ConfigView, InstanceLease};
use jaylock_observe::Observer;
use jaylock_rpc::v1::route::Kind;
use jaylock_rpc::v1::{Configuration, Route};
use jaylock_types::ByteSize;

use super::headers::RouteHeaders;
use crate::budget::FleetBudget;
use crate::connection::ConnectionPool;
use crate::crash_check::CrashChecks;
use crate::hedge::Hedging;
use crate::lifecycle::{Lifecycle, RunPlan};
use crate::memory::BodyMemory;
use crate::organisation::Organisations;
use crate::overload::{self, OverloadGuard};
use crate::port::Schedulers;
use crate::response::ErrorResponse;
use crate::run_times::RunTimes;

/// State shared by the requests for routes.
pub struct RouteContext {
    /// Active configuration.
    pub view: ConfigView,
    /// Lease without which this instance must not use the configuration.
    pub lease: InstanceLease,
    /// Port to the schedulers.
    pub schedulers: Rc<dyn Schedulers>,
    /// Progress of a graceful shutdown.
    pub lifecycle: Rc<Lifecycle>,
    /// Idle connections to backend servers.
    pub connections: Rc<ConnectionPool>,
    /// Checks of backend servers after requests were given up.
    pub crash_checks: Rc<CrashChecks>,
    /// Organisations by their keys.
    pub organisations: Rc<Organisations>,
    /// Retry budget of each service.
    pub budget: FleetBudget,
    /// When requests get a second attempt beside a slow one.
    pub hedging: Hedging,
    /// Longest recent runs of each route.
    pub run_times: RunTimes,
    /// Memory budget for the bodies of requests in progress.
    pub memory: BodyMemory,
    /// Limit on the requests in progress while the processor is overloaded.
    pub overload: OverloadGuard,
    /// Records metrics, logs and traces.
    pub observer: Observer,
    /// Names of the headers.
    pub names: RouteHeaders,
    /// Size and time limits.
    pub limits: RouteLimits,
}

/// Size and time limits of requests for routes.
#[derive(Debug, Clone)]
pub struct RouteLimits {
    /// Largest body of a request, unless the configuration sets another.
    pub max_body: ByteSize,
    /// Time for a caller to send a body.
    pub sender_timeout: Duration,
    /// Time for opening a connection to a backend server.
    pub connect_timeout: Duration,
    /// Idle time up to which a connection is reused for a non-idempotent request.
    pub max_idle_once: Duration,
    /// Idle time up to which a connection is reused for any other request.
    pub max_idle: Duration,
    /// Largest response that is not a stream.
    pub max_response: ByteSize,
    /// Default delay before a caller should retry.
    pub retry_after: Duration,
}

impl RouteContext {
    /// Returns the configuration while this instance may use it.
    ///
    /// An instance without contact to control can't decide that a route or key does not exist.
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        if !self.lease.is_valid() {
            return None;
        }
        let current = self.view.current();
        // Before the operators' first change, it is unknown which routes and keys will exist.
        (current.revision > 0).then_some(current)
    }

    /// What is known of the end of a request for a route.
    ///
    /// A request that may not be repeated needs as long as the longest recent one. Where none is known, a stream may
    /// begin, as its caller sees how far it got; any other one counts as endless.
    pub fn run_plan(&self, route: &Route, deadline: Instant) -> RunPlan {
        let needed = (!is_repeatable(route)).then(|| self.time_needed(route));
        RunPlan { deadline, needed }
    }

    fn time_needed(&self, route: &Route) -> Duration {
        let unknown = match route.kind() {
            Kind::Stream => Duration::ZERO,
            Kind::Once | Kind::Repeatable => Duration::MAX,
        };
        let longest = self.run_times.longest(&route.id, Instant::now());
        longest.unwrap_or(unknown)
    }

    /// Error for a request that did not run because this instance stops.
    pub fn leaving(&self) -> ErrorResponse {
        self.unavailable("leaving", "this instance is stopping")
    }

    /// Whether callers are sent to other instances, as the processor is overloaded.
    pub fn is_withdrawn(&self) -> bool {
        self.overload.is_withdrawn(&self.lease)
    }

    /// Error for a request that did not run because this instance has no processor time for it.
    ///
    /// The caller can still return within `max_delay`.
    pub fn overloaded(&self, max_delay: Duration) -> ErrorResponse {
        let delay = overload::retry_delay(self.is_withdrawn()).min(max_delay);
        self.unavailable(overload::ERROR_KIND, overload::ERROR_MESSAGE)
            .with_retry_after(delay)
    }

    /// Error for a request that did not run because this instance can't serve it now.
    pub fn unavailable(&self, kind: &'static str, message: &'static str) -> ErrorResponse {
        ErrorResponse::new(
            StatusCode::SERVICE_UNAVAILABLE,
            kind,
            message,
            "ask again after the time in retry-after, or another instance",
        )
        .with_retry_after(self.limits.retry_after)
    }
}

/// Whether a request for a route may be sent again after an attempt that may have run.
pub fn is_repeatable(route: &Route) -> bool {
    match route.kind() {
        Kind::Repeatable => true,
        Kind::Stream => route.resumable,
        Kind::Once => false,
    }
}
