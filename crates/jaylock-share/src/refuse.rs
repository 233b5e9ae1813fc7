use std::collections::VecDeque;
use std::time::{Duration, Instant};

use jaylock_rpc::v1::Refusal;
use jaylock_rpc::v1::refusal::Reason;

use crate::account::AccountKey;
use crate::allocator::Allocator;
use crate::queue::Waiting;
use crate::router::RouterKey;

/// Wait that is named to a caller when no backend server can take its request.
const NO_BACKEND_RETRY: Duration = Duration::from_secs(1);

impl Allocator {
    /// Why a further request of this organisation can't wait.
    pub(crate) fn refusal(&self, account: AccountKey) -> Option<Reason> {
        let owner = self.accounts.get(account);
        let limit = match owner.queue_limit {
            0 => self.settings.queue_limit,
            limit => limit,
        } as usize;
        let own = owner.queue.len();
        if own >= limit {
            return Some(Reason::QueueFull);
        }
        // When the pool's bound is reached, an organisation below its equal part still gets in.
        let part = self.settings.pool_limit / self.accounts.backlog().max(1);
        (self.waiting >= self.settings.pool_limit && own >= part).then_some(Reason::Overloaded)
    }

    /// Refuses what no backend server can run, once each had the time to be heard by this scheduler.
    pub(crate) fn refuse_unservable(&mut self, now: Instant) {
        if now < self.ready + self.settings.backend_lease {
            return;
        }
        let longest = self.settings.backend_wait;
        for account in self.accounts.backlogged_keys().collect::<Vec<_>>() {
            let (demands, usable) = (&self.demands, self.backends.usable());
            let unservable = |waiting: &Waiting| {
                let waited = now.saturating_duration_since(waiting.arrived) >= longest;
                waited && !demands.backends(waiting.demand).overlaps(usable)
            };
            let drained = self.accounts.get_mut(account).queue.drain(unservable);
            self.accounts.leave_backlog(account);
            for waiting in drained {
                self.refuse_waiting(&waiting);
            }
        }
        let mut kept = VecDeque::new();
        for (account, waiting) in std::mem::take(&mut self.suspects) {
            let waited = now.saturating_duration_since(waiting.arrived) >= longest;
            let meeting = self.demands.backends(waiting.demand);
            if waited && !meeting.overlaps(self.backends.usable()) {
                self.refuse_waiting(&waiting);
            } else {
                kept.push_back((account, waiting));
            }
        }
        self.suspects = kept;
    }

    pub(crate) fn refuse_waiting(&mut self, waiting: &Waiting) {
        self.waiting -= 1;
        if let Some(router) = self.routers.get_mut(waiting.router) {
            router.remove_waiting(waiting.ask.ticket);
        }
        self.refuse(
            waiting.router,
            waiting.ask.ticket,
            Reason::NoBackend,
            NO_BACKEND_RETRY,
        );
    }

    pub(crate) fn refuse(
        &mut self,
        router: RouterKey,
        ticket: u64,
        reason: Reason,
        wait: Duration,
    ) {
        let retry_after_ms = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX).max(1);
        if let Some(router) = self.routers.get_mut(router) {
            let refusal = Refusal {
                ticket,
                reason: reason.into(),
                retry_after_ms,
            };
            router.frame.refusals.push(refusal);
        }
    }
}
