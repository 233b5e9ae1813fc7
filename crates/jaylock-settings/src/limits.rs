use std::time::Duration;

use jaylock_types::{ByteSize, ProcessorShare};

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
    /// Processor time that the process may use; unset if the instance doesn't say.
    pub processor: Option<ProcessorShare>,
    /// Files and sockets that the process may have open; unset if the instance doesn't say.
    pub descriptors: Option<usize>,
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
            processor: None,
            descriptors: None,
            answer_copy: ByteSize(16 << 10),
        }
    }
}

/// Memory of a caller's connection and its connection to a backend server.
const CONNECTION_MEMORY: ByteSize = ByteSize(150 << 10);
/// Descriptors of a caller's connection and its connection to a backend server.
const CONNECTION_DESCRIPTORS: usize = 2;
/// Descriptors for files and for connections to other instances.
const RESERVED_DESCRIPTORS: usize = 200;
/// Refusals a second that take half of a core, at 0.245 ms for one over a new connection.
const REFUSALS_PER_CORE: f64 = 2080.0;
/// Most refusals in a second, however large the processor is.
const MAX_REFUSALS: f64 = 250.0;
/// Divisor of the process memory; request bodies take at most this share.
const BODY_MEMORY_DIVISOR: usize = 4;
/// Percentage of the process memory that connections may take.
const CONNECTION_MEMORY_PERCENT: usize = 75;
/// Maximum memory of the bodies of running requests, even if the process may take more.
const MAX_BODY_MEMORY: ByteSize = ByteSize(64 << 20);

impl LimitSettings {
    /// Number of open connections that the memory and the descriptors allow, up to the configured limit.
    #[must_use]
    pub fn max_connections(&self) -> usize {
        let by_memory = self.memory.0 / 100 * CONNECTION_MEMORY_PERCENT / CONNECTION_MEMORY.0;
        let by_descriptors = self.descriptors.map_or(usize::MAX, |all| {
            all.saturating_sub(RESERVED_DESCRIPTORS) / CONNECTION_DESCRIPTORS
        });
        self.connections.min(by_memory.min(by_descriptors).max(1))
    }

    /// Requests that the process may refuse in a second while its processor is overloaded.
    #[must_use]
    pub fn refusals_per_second(&self) -> f64 {
        let by_processor = self
            .processor
            .map_or(f64::INFINITY, |share| share.cores() * REFUSALS_PER_CORE);
        by_processor.min(MAX_REFUSALS)
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
        Key::optional("processor", PROCESSOR, |s, v| {
            parsed(v).map(|share| s.processor = Some(share))
        }),
        Key::optional("descriptors", DESCRIPTORS, |s, v| {
            let descriptors = parsed(v).filter(|count| *count >= MIN_DESCRIPTORS);
            descriptors.map(|count| s.descriptors = Some(count))
        }),
        Key::optional("answer_copy", SIZE, |s, v| {
            parsed(v).map(|size| s.answer_copy = size)
        }),
    ];
}

/// Smallest valid `headers` limit; the HTTP library requires this buffer size.
const MIN_HEADER_SIZE: ByteSize = ByteSize(8 << 10);

/// Form of the `processor` limit, for errors.
const PROCESSOR: &str = "a decimal number of cores from 0.001 to 64, such as 0.25";

/// Fewest descriptors with which an instance can serve.
const MIN_DESCRIPTORS: usize = 256;

/// Form of the `descriptors` limit, for errors.
const DESCRIPTORS: &str = "an integer of at least 256";

/// Form of the `headers` limit, for errors.
const HEADER_SIZE: &str = "a size of at least 8KiB, such as 16KiB";

/// Largest share of hedges; more would take as much work as the retries that the fleet allows.
const MAX_HEDGE_PERCENT: u32 = 20;

/// Form of the `hedges` limit, for errors.
const HEDGE_PERCENT: &str = "a whole number of per cent from 0 to 20, such as 5%";
