use std::time::Duration;

use jaylock_types::{ByteSize, DomainId, Incarnation, InstanceId};

use crate::budget::FleetBudget;
use crate::route::RouteLimits;

/// Who this router is.
#[derive(Debug, Clone)]
pub struct RouterIdentity {
    /// The instance it runs on.
    pub instance: InstanceId,
    /// Start of the process.
    pub incarnation: Incarnation,
    /// Machines it fails together with.
    pub domain: DomainId,
}

/// Bounds and time limits of a router.
#[derive(Debug, Clone)]
pub struct RouterSettings {
    /// Largest body of a request.
    pub body_bound: ByteSize,
    /// Bodies of requests held at once, together; one organisation gets a quarter at most.
    pub bodies_bound: ByteSize,
    /// Largest head of a request.
    pub header_bound: ByteSize,
    /// Largest number of header fields.
    pub header_count: usize,
    /// Connections at once; one over the bound is closed.
    pub connections: usize,
    /// Time for a caller to send a head or a body.
    pub slow_sender: Duration,
    /// Time for a caller to take what was written to it.
    pub write_stall: Duration,
    /// How long callers may keep the address list, in ms.
    pub keep_ms: u32,
    /// Time for opening a connection to a backend server.
    pub connect_timeout: Duration,
    /// Time from a request to the first byte of a backend server's answer.
    pub first_byte: Duration,
    /// Longest silence within a backend server's answer.
    pub silence: Duration,
    /// Longest run of a request that may not be repeated.
    pub once_limit: Duration,
    /// Idle time up to which a connection carries a request that may not be repeated.
    pub fresh: Duration,
    /// Idle time after which a connection to a backend server is closed.
    pub idle: Duration,
    /// Attempts at backend servers for one request.
    pub attempts: u32,
    /// Wait for a slot elsewhere, after which a backend server that failed is taken again.
    pub avoid_limit: Duration,
    /// Retries that an organisation may make at once.
    pub retry_burst: u32,
    /// Retries earned by each request, in thousandths.
    pub retry_permille: u32,
    /// Largest answer of a backend server that is passed on.
    pub answer_bound: ByteSize,
    /// Largest answer that is recorded with a claim.
    pub record_bound: ByteSize,
    /// Time limit of a request that names none.
    pub deadline: Duration,
    /// Time that a caller should wait before it asks again, where nothing better is known.
    pub retry_after: Duration,
    /// Time an answer waits for its claim to be settled.
    pub settle_wait: Duration,
    /// How long a request that crashed one backend server is refused elsewhere.
    pub suspicion: Duration,
    /// How long a request that crashed two backend servers is refused.
    pub quarantine: Duration,
    /// Time between the heartbeats of a backend server, in ms.
    pub heartbeat_ms: u32,
    /// How long a backend server's announcement holds without a heartbeat, in ms.
    pub lease_ms: u32,
    /// Time for which a caller of routes may leave a connection idle.
    pub caller_idle: Duration,
    /// Attempts beyond the first that a service may get at once from all routers, over all routes.
    pub route_burst: u32,
    /// Attempts beyond the first that each request for a service earns, in thousandths.
    pub route_permille: u32,
}

impl RouterSettings {
    /// Bounds and time limits of requests for routes.
    pub(crate) fn route_limits(&self) -> RouteLimits {
        RouteLimits {
            body_bound: self.body_bound,
            slow_sender: self.slow_sender,
            connect_timeout: self.connect_timeout,
            fresh: self.fresh,
            idle: self.idle,
            answer_bound: self.answer_bound,
            retry_after: self.retry_after,
        }
    }

    /// The budget of attempts beyond the first that services get from this router.
    pub(crate) fn route_budget(&self) -> FleetBudget {
        FleetBudget::new(self.route_burst, self.route_permille)
    }
}

impl Default for RouterSettings {
    fn default() -> Self {
        Self {
            body_bound: ByteSize(4 << 20),
            bodies_bound: ByteSize(64 << 20),
            header_bound: ByteSize(32 << 10),
            header_count: 64,
            connections: 4096,
            slow_sender: Duration::from_secs(10),
            write_stall: Duration::from_secs(10),
            keep_ms: 2000,
            connect_timeout: Duration::from_secs(1),
            first_byte: Duration::from_secs(10),
            silence: Duration::from_secs(3),
            once_limit: Duration::from_mins(1),
            fresh: Duration::from_secs(1),
            idle: Duration::from_secs(3),
            attempts: 5,
            avoid_limit: Duration::from_secs(2),
            retry_burst: 128,
            retry_permille: 200,
            answer_bound: ByteSize(8 << 20),
            record_bound: ByteSize(16 << 10),
            deadline: Duration::from_mins(10),
            retry_after: Duration::from_secs(1),
            settle_wait: Duration::from_secs(2),
            suspicion: Duration::from_mins(1),
            quarantine: Duration::from_mins(10),
            heartbeat_ms: 1000,
            lease_ms: 3000,
            caller_idle: Duration::from_secs(30),
            route_burst: 48,
            route_permille: 100,
        }
    }
}
