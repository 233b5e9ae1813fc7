use std::time::Duration;

use jaylock_types::{ByteSize, DomainId, Incarnation, InstanceId};

use crate::budget::FleetBudget;
use crate::relay::RelayProof;
use crate::route::RouteLimits;

/// Identity of a router.
#[derive(Debug, Clone)]
pub struct RouterIdentity {
    /// Instance that the router runs on.
    pub instance: InstanceId,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Failure domain of the instance.
    pub domain: DomainId,
}

/// Size and time limits of a router.
#[derive(Debug, Clone)]
pub struct RouterSettings {
    /// Largest body of a request.
    pub max_body: ByteSize,
    /// Memory for the bodies of all requests in progress; one organisation may use a quarter at most.
    pub max_body_memory: ByteSize,
    /// Largest head of a request.
    pub max_head: ByteSize,
    /// Maximum number of headers in a request.
    pub max_headers: usize,
    /// Maximum number of open connections; further ones are closed.
    pub max_connections: usize,
    /// Time for a caller to send a head or a body.
    pub sender_timeout: Duration,
    /// Time for a caller to acknowledge sent bytes.
    pub write_timeout: Duration,
    /// How long callers may cache the address list, in ms.
    pub address_ttl_ms: u32,
    /// Time for opening a connection to a backend server.
    pub connect_timeout: Duration,
    /// Time from a request to the first byte of a backend server's response.
    pub first_byte_timeout: Duration,
    /// Longest time without a byte within a backend server's response.
    pub idle_timeout: Duration,
    /// Longest time for which an event of a stream may be delayed.
    pub event_timeout: Duration,
    /// Longest run of a non-idempotent request.
    pub once_timeout: Duration,
    /// Idle time up to which a connection is reused for a non-idempotent request.
    pub max_idle_once: Duration,
    /// Idle time after which a connection to a backend server is closed.
    pub max_idle: Duration,
    /// Maximum number of attempts for one request.
    pub max_attempts: u32,
    /// Longest wait for a slot elsewhere before a failed backend server is used again.
    pub avoid_timeout: Duration,
    /// Retries that an organisation may make at once.
    pub retry_burst: u32,
    /// Retries that each request adds to the budget, in thousandths.
    pub retry_permille: u32,
    /// Largest response of a backend server that is not a stream.
    pub max_response: ByteSize,
    /// Largest response body that is recorded with a claim.
    pub max_recorded: ByteSize,
    /// Timeout of a request that sets none.
    pub default_timeout: Duration,
    /// Default delay before a caller should retry.
    pub retry_after: Duration,
    /// Longest time that a response waits for a command to be committed.
    pub commit_timeout: Duration,
    /// How long requests equal to one whose backend server crashed are refused.
    pub suspect_duration: Duration,
    /// How long requests equal to one that crashed two backend servers are refused.
    pub quarantine_duration: Duration,
    /// Time between the heartbeats of a backend server, in ms.
    pub heartbeat_ms: u32,
    /// How long a backend server's announcement is valid without a heartbeat, in ms.
    pub lease_ms: u32,
    /// How long a caller of routes may keep a connection idle.
    pub keep_alive_timeout: Duration,
    /// Retries that a service may receive at once from all routers, over all routes.
    pub route_burst: u32,
    /// Retries that each request for a service adds to the budget, in thousandths.
    pub route_permille: u32,
    /// Second attempts beside slow ones that a service may receive, in per cent of its requests; 0 if none are sent.
    pub hedge_percent: u32,
    /// Refusals that are always allowed in a second while the processor is overloaded.
    pub refusals_per_second: f64,
    /// Proof under which connections are passed on between routers; unset if none are.
    pub relay_proof: Option<RelayProof>,
}

impl RouterSettings {
    /// Size and time limits of requests for routes.
    pub(crate) fn route_limits(&self) -> RouteLimits {
        RouteLimits {
            max_body: self.max_body,
            sender_timeout: self.sender_timeout,
            connect_timeout: self.connect_timeout,
            max_idle_once: self.max_idle_once,
            max_idle: self.max_idle,
            max_response: self.max_response,
            retry_after: self.retry_after,
        }
    }

    /// Creates this router's share of the services' retry budgets.
    pub(crate) fn route_budget(&self) -> FleetBudget {
        FleetBudget::new(self.route_burst, self.route_permille)
    }
}

impl Default for RouterSettings {
    fn default() -> Self {
        Self {
            max_body: ByteSize(4 << 20),
            max_body_memory: ByteSize(64 << 20),
            max_head: ByteSize(32 << 10),
            max_headers: 64,
            max_connections: 4096,
            sender_timeout: Duration::from_secs(10),
            write_timeout: Duration::from_secs(10),
            address_ttl_ms: 2000,
            connect_timeout: Duration::from_secs(1),
            first_byte_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(3),
            event_timeout: Duration::from_millis(120),
            once_timeout: Duration::from_mins(1),
            max_idle_once: Duration::from_secs(1),
            max_idle: Duration::from_secs(3),
            max_attempts: 5,
            avoid_timeout: Duration::from_secs(2),
            retry_burst: 128,
            retry_permille: 200,
            max_response: ByteSize(8 << 20),
            max_recorded: ByteSize(16 << 10),
            default_timeout: Duration::from_mins(10),
            retry_after: Duration::from_secs(1),
            commit_timeout: Duration::from_secs(2),
            suspect_duration: Duration::from_mins(1),
            quarantine_duration: Duration::from_mins(10),
            heartbeat_ms: 1000,
            lease_ms: 3000,
            keep_alive_timeout: Duration::from_secs(30),
            route_burst: 48,
            route_permille: 100,
            hedge_percent: 0,
            refusals_per_second: 250.0,
            relay_proof: None,
        }
    }
}
