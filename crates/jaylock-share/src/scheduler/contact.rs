//! What a scheduler does about routers that it hears no longer.
//!
//! The load: half of all routers lose power while the pool is full. Their streams stay open until pings time out, seconds
//! later. Requests that still wait there would be granted slots, and engines would take no others for as long as
//! the prefill of such grants counts as pending, although they have nothing to do.

use std::time::{Duration, Instant};

use crate::scheduler::allocator::Allocator;

/// Time without a message after which a router counts as silent: three of its intervals.
const MAX_SILENCE: Duration = Duration::from_millis(600);

/// When a router was last heard.
#[derive(Debug, Clone, Copy)]
pub struct Contact {
    heard_at: Instant,
    /// Whether the router sends messages at an interval while it waits for the scheduler or for an engine.
    is_kept: bool,
}

impl Contact {
    /// Begins the contact with a router at its first message.
    pub fn new(is_kept: bool, now: Instant) -> Self {
        Self {
            heard_at: now,
            is_kept,
        }
    }

    /// Records a message.
    pub fn record(&mut self, now: Instant) {
        self.heard_at = now;
    }

    /// Whether the router may be lost, as it would have sent something otherwise.
    pub fn is_silent(&self, now: Instant) -> bool {
        self.is_kept && now.saturating_duration_since(self.heard_at) >= MAX_SILENCE
    }
}

impl Allocator {
    /// Ends the pending prefill of runs whose router is lost, once their engines should have finished it.
    ///
    /// An engine that got such a request goes on with it, and one that didn't has nothing to do. Their slots stay
    /// taken, as the router may be heard again.
    pub(crate) fn end_lost_prefill(&mut self, now: Instant) {
        let (backends, prefill_rate) = (&mut self.backends, &self.prefill_rate);
        let first_event_delay = backends.first_event_delay();
        let routers = self.routers.iter_mut().map(|(_, router)| router);
        for router in routers.filter(|r| r.detached_at.is_some() || r.contact.is_silent(now)) {
            for run in router.runs_mut() {
                let Some(load) = run.load.as_mut().filter(|l| l.is_prefill_pending()) else {
                    continue;
                };
                let backend = backends.get_mut(run.backend_index);
                let ahead = backend.pace.slowness(now).scale(run.prefill_ahead);
                let time = prefill_rate.time_for(ahead) + first_event_delay;
                if now.saturating_duration_since(run.granted_at) >= time {
                    backend.engine.finish_prefill(load);
                    backend.pace.record_interruption();
                }
            }
        }
    }
}
