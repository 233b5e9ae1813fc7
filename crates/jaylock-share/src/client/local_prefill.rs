//! Prompts that a router without a scheduler sends to engines.
//!
//! The load: the scheduler is lost for some seconds under full load. Slots alone don't bound what engines have to compute: with
//! all 64 taken by long prompts, an engine needs half a minute until the last one begins, and all of them are late.

use std::time::{Duration, Instant};

use compact_str::CompactString;
use jaylock_rpc::v1::Ask;

/// The time for which the prompts that this router has sent keep each engine busy, as if nothing was cached.
#[derive(Debug, Default)]
pub struct LocalPrefill {
    // Sorted by backend server.
    busy: Vec<(CompactString, Instant)>,
}

impl LocalPrefill {
    /// Whether a backend server takes a further prompt: what it has to compute takes at most `max_pending`.
    ///
    /// `prompt_tokens` is what this router may send to it in a second; 0 if that isn't limited.
    pub fn admits(
        &self,
        backend: &str,
        prompt_tokens: u64,
        max_pending: Duration,
        now: Instant,
    ) -> bool {
        prompt_tokens == 0
            || self.position(backend).map_or(true, |index| {
                self.busy[index].1.saturating_duration_since(now) <= max_pending
            })
    }

    /// Records a request that is sent to a backend server.
    pub fn record_grant(&mut self, backend: &str, prompt_tokens: u64, ask: &Ask, now: Instant) {
        if prompt_tokens == 0 || ask.parts.is_empty() {
            return;
        }
        let time = Duration::from_secs(ask.prompt_tokens.into())
            / u32::try_from(prompt_tokens).unwrap_or(u32::MAX);
        match self.position(backend) {
            Ok(index) => {
                let until = &mut self.busy[index].1;
                *until = (*until).max(now) + time;
            }
            Err(index) => self.busy.insert(index, (backend.into(), now + time)),
        }
    }

    /// Forgets all, as a scheduler grants the slots again.
    pub fn clear(&mut self) {
        self.busy.clear();
    }

    fn position(&self, backend: &str) -> Result<usize, usize> {
        self.busy
            .binary_search_by(|(id, _)| id.as_str().cmp(backend))
    }
}
