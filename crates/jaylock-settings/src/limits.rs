use std::time::Duration;

use jaylock_types::ByteSize;

use crate::key::{Key, Part};
use crate::value::{COUNT, DURATION, SIZE, count, duration, parsed};

/// Bounds on what callers, backend servers and answers may take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitSettings {
    /// Largest body of a request.
    pub body: ByteSize,
    /// Largest head of a request.
    pub headers: ByteSize,
    /// Open connections of callers and backend servers at once.
    pub connections: usize,
    /// Time for a sender to deliver a whole request.
    pub sender_timeout: Duration,
    /// Requests of one organisation that may wait in one pool.
    pub queue: u32,
    /// Attempts beyond the first that a backend service may get at once from all routers.
    pub retries: u32,
    /// Memory that the process may take, by which connections and bodies are bounded too.
    pub memory: ByteSize,
    /// Largest copy of an answer that is kept for a request that may not be repeated.
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
            memory: ByteSize(1 << 30),
            answer_copy: ByteSize(16 << 10),
        }
    }
}

/// Memory of a caller's connection with the connection to the backend server behind it.
const CONNECTION_MEMORY: ByteSize = ByteSize(150 << 10);
/// Part of the memory that bodies may take, as a divisor.
const BODIES_PART: usize = 4;
/// Part of the memory that connections may take, in 100.
const CONNECTIONS_PART: usize = 75;
/// Bodies of requests in progress, where the memory allows more.
const MOST_BODIES: ByteSize = ByteSize(64 << 20);

impl LimitSettings {
    /// Open connections of callers that the memory allows, up to the bound in the settings.
    #[must_use]
    pub fn max_connections(&self) -> usize {
        let allowed = self.memory.0 / 100 * CONNECTIONS_PART / CONNECTION_MEMORY.0;
        self.connections.min(allowed.max(1))
    }

    /// Bodies of requests in progress that the memory allows.
    #[must_use]
    pub fn max_body_memory(&self) -> ByteSize {
        ByteSize(self.memory.0 / BODIES_PART).min(MOST_BODIES)
    }
}

impl Part for LimitSettings {
    const SECTION: &'static str = "limits";
    const KEYS: &'static [Key<Self>] = &[
        Key::optional("body", SIZE, |s, v| parsed(v).map(|size| s.body = size)),
        Key::optional("headers", HEADERS, |s, v| {
            let size = parsed(v).filter(|size| *size >= SMALLEST_HEADERS);
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
        Key::optional("memory", SIZE, |s, v| parsed(v).map(|size| s.memory = size)),
        Key::optional("answer_copy", SIZE, |s, v| {
            parsed(v).map(|size| s.answer_copy = size)
        }),
    ];
}

/// Least bound on the head of a request; the HTTP library needs as much.
const SMALLEST_HEADERS: ByteSize = ByteSize(8 << 10);

/// What the bound on the head looks like.
const HEADERS: &str = "a size of at least 8KiB, such as 16KiB";
