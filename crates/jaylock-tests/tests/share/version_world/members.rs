//! What takes part in a simulation: routers, backend servers and streams.

use std::time::{Duration, Instant};

use futures_channel::oneshot;
use jaylock_rpc::v1::{BackendReport, Configuration, Grant, Hello};
use jaylock_share::{Allocator, AskResult, ClientState, RouterKey, SchedulerClientSettings};
use jaylock_types::StreamId;

use crate::fleet::engine_report;

/// Time after a failure until a caller connects to another router.
const RECONNECT_TIME: Duration = Duration::from_millis(50);

/// A router, and when its connection to the scheduler was last disturbed.
pub struct SimRouter {
    pub client: ClientState,
    pub key: Option<RouterKey>,
    pub is_cut_until: Instant,
    pub disturbed_at: Instant,
}

/// A backend server and its version.
pub struct SimBackend {
    pub id: String,
    pub software: String,
    pub started_at: Instant,
    pub is_alive: bool,
    pub leaves: bool,
}

/// A stream that its caller still wants.
pub struct SimStream {
    pub request: String,
    pub router: usize,
    pub state: StreamState,
    pub software: Option<String>,
    pub deadline: Instant,
}

/// What a caller does for its stream.
pub enum StreamState {
    /// Its caller connects to a router then.
    Away {
        until: Instant,
    },
    Asking {
        ticket: u64,
        reply: oneshot::Receiver<AskResult>,
        is_counted: bool,
        /// Whether its response has begun.
        is_retry: bool,
    },
    Running {
        grant: Grant,
        begins_at: Instant,
        ends_at: Instant,
        is_counted: bool,
    },
    Ended,
}

impl SimRouter {
    pub fn new(now: Instant) -> Self {
        Self {
            client: ClientState::new(SchedulerClientSettings::default()),
            key: None,
            is_cut_until: now,
            disturbed_at: now,
        }
    }

    pub fn detach(&mut self, now: Instant) {
        self.client.detach(now);
        self.key = None;
        self.disturbed_at = now;
    }

    /// Attaches to the scheduler unless the router is cut off from it, and grants its own slots until then.
    pub fn act_alone(&mut self, index: usize, scheduler: &mut Allocator, now: Instant) {
        if now < self.is_cut_until {
            self.client.grant_locally(&Configuration::default(), now);
            drop(self.client.take_unknown_streams(now));
            drop(self.client.take_lost_streams(now));
            return;
        }
        let hello = Hello {
            router: format!("router-{index}"),
            ..Hello::default()
        };
        let mut frame = self.client.first_frame(hello, now);
        let key = scheduler.attach(&frame.hello.take().expect("a hello"), now);
        scheduler.apply(key, frame, now);
        self.key = Some(key);
        self.disturbed_at = now;
    }
}

impl SimBackend {
    pub fn report(&self) -> BackendReport {
        BackendReport {
            software: self.software.clone(),
            leaving: self.leaves,
            ..engine_report(&self.id, 32)
        }
    }
}

impl SimStream {
    pub fn is_over(&self) -> bool {
        matches!(self.state, StreamState::Ended)
    }

    /// The stream that a further request continues, once it has begun.
    pub fn begun_stream(&self) -> Option<u64> {
        let begun = self.software.is_some();
        begun.then(|| StreamId::new("bench", &self.request).0)
    }

    /// Lets the caller look for another router.
    pub fn leave(&mut self, now: Instant) {
        self.state = StreamState::Away {
            until: now + RECONNECT_TIME,
        };
    }
}
