//! What takes part in a simulation: routers, backend servers and streams.

use std::time::{Duration, Instant};

use futures_channel::oneshot;
use jaylock_rpc::v1::end::Outcome;
use jaylock_rpc::v1::{BackendReport, Configuration, End, Grant, Hello, SchedulerFrame};
use jaylock_share::{Allocator, AskResult, ClientState, RouterKey, SchedulerClientSettings};
use jaylock_types::StreamId;

use crate::fleet::{end, engine_report};

/// Time after a failure until a caller connects to another router.
const RECONNECT_TIME: Duration = Duration::from_millis(50);

/// A router, and when its connection to the scheduler was last disturbed.
pub struct SimRouter {
    pub client: ClientState,
    /// Its key at the scheduler to which its stream leads; `None` if that is lost.
    pub key: Option<RouterKey>,
    /// Whether it believes that it has a stream.
    pub is_attached: bool,
    pub is_cut_until: Instant,
    /// Until when it stands still.
    pub is_paused_until: Instant,
    /// Until when the messages of the scheduler don't arrive.
    pub is_deaf_until: Instant,
    /// Until when its own messages don't arrive.
    pub is_mute_until: Instant,
    pub disturbed_at: Instant,
    /// Messages of the scheduler that it has not read.
    pub unread: Vec<SchedulerFrame>,
    /// Tickets of callers that left while it stood still.
    pub left: Vec<u64>,
}

/// A backend server and its version.
pub struct SimBackend {
    pub id: String,
    pub software: String,
    pub incarnation: u64,
    pub started_at: Instant,
    /// When it starts again under its name, with another version.
    pub restarts_at: Option<Instant>,
    pub is_alive: bool,
    pub leaves: bool,
}

/// A stream that its caller still wants.
pub struct SimStream {
    pub request: String,
    pub router: usize,
    pub state: StreamState,
    pub software: Option<String>,
    /// Router to which its caller holds on.
    pub destination: Option<usize>,
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
        /// Start of the backend server to which its connection leads.
        incarnation: u64,
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
            is_attached: false,
            is_cut_until: now,
            is_paused_until: now,
            is_deaf_until: now,
            is_mute_until: now,
            disturbed_at: now,
            unread: Vec::new(),
            left: Vec::new(),
        }
    }

    pub fn is_paused(&self, now: Instant) -> bool {
        now < self.is_paused_until
    }

    /// Reads the messages that have arrived, as far as the router takes them.
    pub fn read(&mut self, now: Instant) {
        if self.is_paused(now) || now < self.is_deaf_until {
            return;
        }
        for frame in std::mem::take(&mut self.unread) {
            if !self.client.apply_frame(frame, now) {
                self.key = None;
                break;
            }
        }
    }

    /// Ends the requests whose callers left while the router stood still.
    pub fn end_left(&mut self, now: Instant) {
        for ticket in std::mem::take(&mut self.left) {
            self.client.cancel(ticket);
            let outcome = Outcome::Cancelled.into();
            self.client.release_slot(
                End {
                    outcome,
                    ..end(ticket, 0)
                },
                now,
            );
        }
    }

    /// Loses its stream if the scheduler has gone, or sends nothing although requests wait.
    pub fn check_stream(&mut self, now: Instant) {
        let is_lost = self.key.is_none() || self.client.is_scheduler_unresponsive(now);
        if self.is_attached && is_lost {
            self.detach(now);
        }
    }

    pub fn detach(&mut self, now: Instant) {
        self.client.detach(now);
        self.key = None;
        self.is_attached = false;
        self.unread.clear();
        self.disturbed_at = self.disturbed_at.max(now);
    }

    /// Attaches to the scheduler unless the router is cut off from it, and grants its own slots until then.
    pub fn act_alone(&mut self, index: usize, scheduler: &mut Allocator, now: Instant) {
        let is_cut = [self.is_cut_until, self.is_deaf_until, self.is_mute_until];
        if is_cut.iter().any(|until| now < *until) {
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
        self.is_attached = true;
        self.disturbed_at = self.disturbed_at.max(now);
    }
}

impl SimBackend {
    pub fn report(&self) -> BackendReport {
        BackendReport {
            software: self.software.clone(),
            incarnation: self.incarnation,
            leaving: self.leaves,
            ..engine_report(&self.id, 32)
        }
    }
}

impl SimStream {
    pub fn is_over(&self) -> bool {
        matches!(self.state, StreamState::Ended)
    }

    pub fn is_away(&self) -> bool {
        matches!(self.state, StreamState::Away { .. })
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
