use std::time::{Duration, Instant};

use jaylock_rpc::v1::Ask;
use jaylock_rpc::v1::refusal::Reason;

use crate::admission::account::AccountKey;
use crate::admission::cost::SizeClass;
use crate::admission::queue::WaitingRequest;
use crate::backends::backend::Backend;
use crate::backends::backend_set::BackendSet;
use crate::backends::list::SlotCount;
use crate::backends::requirement::RequirementKey;
use crate::placement::ranking::EngineRanking;
use crate::placement::selection;
use crate::scheduler::allocator::Allocator;
use crate::scheduler::decision::allowed_backends;
use crate::scheduler::router::RouterKey;

/// At least one in this many slots stays free for other requests, at the backend server and in the pool.
const RESERVE_DIVISOR: u32 = 4;

impl Allocator {
    /// Grants or refuses the requests for spare slots that arrived since the last decision.
    ///
    /// This is for second attempts beside slow ones: they must not delay any other request, so that an overload
    /// gets no heavier by them. So they never wait, get nothing while another request waits, and leave a part of
    /// the slots free.
    pub(crate) fn decide_spare(&mut self, now: Instant) {
        for (router, ask) in std::mem::take(&mut self.spare_asks) {
            let attached = self.routers.get(router);
            if attached.is_none_or(|router| router.detached_at.is_some()) {
                continue;
            }
            let account = self.accounts.intern(&ask.organisation);
            let requirement = self.requirement(&ask);
            match self.choose_spare(router, requirement, &ask, now) {
                Ok(index) => self.grant_spare(router, (account, requirement), ask, index, now),
                Err(reason) => {
                    log::debug!(
                        target: "share",
                        request = ask.request.as_str(), pool = self.pool.as_str();
                        "refused a spare slot: {reason}"
                    );
                    self.refuse(router, ask.ticket, Reason::Overloaded, Duration::ZERO);
                }
            }
        }
    }

    /// Chooses a backend server with free slots to spare, or returns why there is none.
    fn choose_spare(
        &self,
        router: RouterKey,
        requirement: RequirementKey,
        ask: &Ask,
        now: Instant,
    ) -> Result<usize, &'static str> {
        if now < self.ready_at {
            return Err("the scheduler starts");
        }
        if self.waiting_count > 0 || !self.unresolved.is_empty() {
            return Err("other requests wait");
        }
        if !self.pool_has_reserve() {
            return Err("too few slots of the pool are free");
        }
        let causes = &self.crash_history.causes;
        if causes.quarantine_time(ask, now).is_some() {
            return Err("it is in quarantine");
        }
        let router = self.routers.get(router);
        let eligible = allowed_backends(router, self.requirements.backends(requirement), now);
        let mut spare = BackendSet::default();
        for index in eligible.common(self.backends.available()) {
            spare.set(index, has_spare_slot(self.backends.get(index), ask));
        }
        let domain = router.map_or("", |router| router.domain.as_str());
        let ranking = EngineRanking::new(&self.backends, now);
        let (backends, crash_history) = (&self.backends, &self.crash_history);
        selection::choose(backends, crash_history, &ranking, &spare, ask, domain)
            .ok_or("no backend server has slots to spare")
    }

    fn pool_has_reserve(&self) -> bool {
        let SlotCount {
            taken: used,
            all: slots,
        } = self.backends.slots();
        used < slots && keeps_reserve(slots - used, slots)
    }

    fn grant_spare(
        &mut self,
        router: RouterKey,
        (account, requirement): (AccountKey, RequirementKey),
        ask: Ask,
        index: usize,
        now: Instant,
    ) {
        let waiting = WaitingRequest {
            router,
            requirement,
            size_class: SizeClass::from_ask(&ask),
            ask,
            arrived_at: now,
        };
        // A grant takes a request from those that wait.
        self.waiting_count += 1;
        self.grant(account, &waiting, index, now, "spare");
    }
}

/// Whether a backend server can take a request without delaying others.
///
/// One that is cold, or names a limit, has a rate that other requests need.
fn has_spare_slot(backend: &Backend, ask: &Ask) -> bool {
    let says_cold = backend.report.cold_ms.is_some_and(|time| time > 0);
    if backend.has_limit() || says_cold || !backend.cold.is_warm() {
        return false;
    }
    let is_free = backend.is_idle() || keeps_reserve(backend.free_slots(), backend.report.slots);
    let engine = &backend.engine;
    is_free && (ask.parts.is_empty() || (engine.pending_prefill() == 0 && engine.has_room(ask)))
}

/// Whether enough of the slots stay free once one of the free ones is taken.
fn keeps_reserve(free: u32, slots: u32) -> bool {
    u64::from(free.saturating_sub(1)) * u64::from(RESERVE_DIVISOR) >= u64::from(slots)
}
