use std::time::Duration;

use jaylock_rpc::v1::{BackendReport, Fallback, FallbackSlots};

use crate::frame_size::keep_within;
use crate::scheduler::allocator::Allocator;
use crate::scheduler::router::RouterKey;

/// The routers and backend servers over which the slots were last divided.
#[derive(Debug, Default, PartialEq)]
pub struct Division {
    // Sorted by key.
    routers: Vec<RouterKey>,
    backends: Vec<SlotShare>,
}

/// Slots at one start of a backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct SlotShare {
    /// Index of the backend server.
    pub index: usize,
    pub incarnation: u64,
    pub slots: u32,
    /// Prompt tokens a second that its slots take together; 0 if that isn't limited.
    pub prompt_tokens: u64,
    /// Whether it may be cold at other times and is warm now.
    pub is_warm: bool,
}

impl Division {
    /// Slots of the router at this rank: an equal range of the sequence of all slots.
    fn share(&self, rank: usize) -> Vec<SlotShare> {
        let total: u64 = self.backends.iter().map(|b| u64::from(b.slots)).sum();
        let count = self.routers.len() as u64;
        let (from, to) = (
            rank as u64 * total / count,
            (rank as u64 + 1) * total / count,
        );
        let mut start = 0;
        let mut share = Vec::new();
        for backend in &self.backends {
            let end = start + u64::from(backend.slots);
            let common = to.min(end).saturating_sub(from.max(start));
            if common > 0 {
                let slots = u32::try_from(common).unwrap_or(u32::MAX);
                share.push(SlotShare {
                    slots,
                    prompt_tokens: backend.prompt_tokens * common / u64::from(backend.slots),
                    ..backend.clone()
                });
            }
            start = end;
        }
        share
    }
}

/// Factor between two prompt rates that are told apart, so that a division doesn't change with each observation.
const RATE_STEP: f64 = 1.25;

impl Allocator {
    /// Prompt tokens a second that an engine computes, in steps; 0 in a pool whose configuration describes no engines.
    fn prompt_rate(&self) -> u64 {
        if self.memory_tokens == 0 {
            return 0;
        }
        let rate = self.prefill_rate.tokens_in(Duration::from_secs(1));
        #[allow(clippy::cast_precision_loss)]
        let step = (rate.max(1) as f64).log(RATE_STEP).round();
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let rate = RATE_STEP.powf(step) as u64;
        rate
    }

    /// Divides all slots over the attached routers, for local grants while no scheduler responds.
    ///
    /// Instances without callers attach to forward reports and need no slots.
    /// Only routers whose share has changed get a message.
    pub(crate) fn divide(&mut self) {
        let attached = self
            .routers
            .iter()
            .filter(|(_, router)| router.detached_at.is_none())
            .filter(|(_, router)| self.callerless.binary_search(&router.id).is_err());
        let division = Division {
            routers: attached.map(|(key, _)| key).collect(),
            backends: self.backends.usable_slots(self.prompt_rate()),
        };
        if division == self.division {
            return;
        }
        for (rank, key) in division.routers.iter().enumerate() {
            let share = division.share(rank);
            let Some(router) = self.routers.get_mut(*key) else {
                continue;
            };
            if router.fallback.as_ref() != Some(&share) {
                let slots = share.iter().map(|own| FallbackSlots {
                    backend: Some(BackendReport {
                        // Of backend servers that may be cold, a router without a scheduler only uses those told as warm.
                        cold_ms: own.is_warm.then_some(0),
                        ..without_events(&self.backends.get(own.index).report)
                    }),
                    slots: own.slots,
                    prompt_tokens: own.prompt_tokens,
                });
                // What doesn't fit into a message is not granted locally.
                router.frame.fallback = Some(Fallback {
                    backends: keep_within(slots.collect()),
                });
                router.fallback = Some(share);
            }
        }
        self.division = division;
    }
}

/// A report without its cache events, which are sent only once.
pub fn without_events(report: &BackendReport) -> BackendReport {
    BackendReport {
        cached: Vec::new(),
        evicted: Vec::new(),
        kept: Vec::new(),
        ..report.clone()
    }
}
