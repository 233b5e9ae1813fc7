use std::time::Duration;

use jaylock_types::ByteSize;

use crate::key::{Key, SettingsSection};
use crate::value::{COUNT, DURATION, SIZE, count, duration, parsed};

/// Limits on requests, connections, retries and memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitSettings {
    /// Maximum size of a request body.
    pub body: ByteSize,
    /// Maximum size of a request head.
    pub headers: ByteSize,
    /// Maximum number of open connections from callers and backend servers.
    pub connections: usize,
    /// Timeout for a sender to deliver a whole request.
    pub sender_timeout: Duration,
    /// Maximum number of requests of one organisation that wait in one pool.
    pub queue: u32,
    /// Maximum number of retries that a service gets at once from all routers together.
    pub retries: u32,
    /// Maximum number of second attempts beside slow ones, in per cent of a service's requests; 0 if none are sent.
    pub hedges: u32,
    /// Maximum memory of the process; also limits connections and request bodies.
    pub memory: ByteSize,
    /// Maximum size of the stored copy of the response to a non-idempotent request.
    pub answer_copy: ByteSize,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body: ByteSize(1 << 20),
            headers: ByteSize(16 << 10),
            connections: 1024,
            sender_timeout: Duration::from_secs(10),
            queue: 64,
            retries: 48,
            hedges: 0,
            memory: ByteSize(1 << 30),
            answer_copy: ByteSize(16 << 10),
        }
    }
}

/// Memory of a caller's connection and its connection to a backend server.
const CONNECTION_MEMORY: ByteSize = ByteSize(150 << 10);
/// Divisor of the process memory; request bodies take at most this share.
const BODY_MEMORY_DIVISOR: usize = 4;
/// Percentage of the process memory that connections may take.
const CONNECTION_MEMORY_PERCENT: usize = 75;
/// Maximum memory of the bodies of running requests, even if the process may take more.
const MAX_BODY_MEMORY: ByteSize = ByteSize(64 << 20);

impl LimitSettings {
    /// Number of open connections that the memory allows, up to the configured limit.
    #[must_use]
    pub fn max_connections(&self) -> usize {
        let allowed = self.memory.0 / 100 * CONNECTION_MEMORY_PERCENT / CONNECTION_MEMORY.0;
        self.connections.min(allowed.max(1))
    }

    /// Memory that the bodies of running requests may take.
    #[must_use]
    pub fn max_body_memory(&self) -> ByteSize {
        ByteSize(self.memory.0 / BODY_MEMORY_DIVISOR).min(MAX_BODY_MEMORY)
    }
}

impl SettingsSection for LimitSettings {
    const SECTION: &'static str = "limits";
    const KEYS: &'static [Key<Self>] = &[
        Key::optional("body", SIZE, |s, v| parsed(v).map(|size| s.body = size)),
        Key::optional("headers", HEADER_SIZE, |s, v| {
            let size = parsed(v).filter(|size| *size >= MIN_HEADER_SIZE);
            size.map(|size| s.headers = size)
        }),
        Key::optional("connections", COUNT, |s, v| {
            count(v).map(|n| s.connections = n)
        }),
        Key::optional("sender_timeout", DURATION, |s, v| {
            duration(v).map(|d| s.sender_timeout = d)
        }),
        Key::optional("queue", COUNT, |s, v| count(v).map(|n| s.queue = n)),
        Key::optional("retries", COUNT, |s, v| count(v).map(|n| s.retries = n)),
        Key::optional("hedges", HEDGE_PERCENT, |s, v| {
            let percent = parsed(v.strip_suffix('%').unwrap_or(v));
            let percent = percent.filter(|percent| *percent <= MAX_HEDGE_PERCENT);
            percent.map(|percent| s.hedges = percent)
        }),
        Key::optional("memory", SIZE, |s, v| parsed(v).map(|size| s.memory = size)),
        Key::optional("answer_copy", SIZE, |s, v| {
            parsed(v).map(|size| s.answer_copy = size)
        }),
    ];
}

/// Smallest valid `headers` limit; the HTTP library requires this buffer size.
const MIN_HEADER_SIZE: ByteSize = ByteSize(8 << 10);

/// Form of the `headers` limit, for errors.
const HEADER_SIZE: &str = "a size of at least 8KiB, such as 16KiB";

/// Largest share of hedges; more would take as much work as the retries that the fleet allows.
const MAX_HEDGE_PERCENT: u32 = 20;

/// Form of the `hedges` limit, for errors.
const HEDGE_PERCENT: &str = "a whole number of per cent from 0 to 20, such as 5%";
