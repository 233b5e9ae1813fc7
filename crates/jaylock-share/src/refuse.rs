use std::collections::VecDeque;
use std::time::{Duration, Instant};

use jaylock_rpc::v1::refusal::Reason;
use jaylock_rpc::v1::{Ask, Refusal};

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

    /// The time to return for a request that would not get a slot in time for its objective.
    ///
    /// Only what the last decision left waiting counts: what came since may find room at once.
    /// The wait is judged by how fast slots are granted, as if all that wait took turns; how fast this
    /// organisation got some would keep one down that was served badly once.
    pub(crate) fn hopeless(
        &mut self,
        account: AccountKey,
        ask: &Ask,
        now: Instant,
    ) -> Option<Duration> {
        let longest = objective_wait(ask, self.settings.objective_wait)?;
        let interval = self.accounts.turn_interval();
        let owner = self.accounts.get_mut(account);
        let before = u32::try_from(owner.left).unwrap_or(u32::MAX);
        let expected = interval.saturating_mul(before);
        let too_long = expected.saturating_sub(longest);
        (!too_long.is_zero()).then(|| owner.next_place(now, interval).max(too_long))
    }

    /// Refuses what has waited too long for its objective.
    pub(crate) fn refuse_overdue(&mut self, now: Instant) {
        for account in self.accounts.backlogged_keys().collect::<Vec<_>>() {
            let part = self.settings.objective_wait;
            let overdue = |waiting: &Waiting| {
                let waited = now.saturating_duration_since(waiting.arrived);
                objective_wait(&waiting.ask, part).is_some_and(|longest| waited > longest)
            };
            let is_drained = self.accounts.get_mut(account).queue.drain(overdue);
            self.accounts.leave_backlog(account);
            let interval = self.accounts.turn_interval();
            for waiting in is_drained {
                let wait = self.accounts.get_mut(account).next_place(now, interval);
                self.refuse_waiting(&waiting, Reason::Overloaded, wait);
            }
        }
    }

    /// Refuses what no backend server can run, once each had the time to be heard by this scheduler.
    pub(crate) fn refuse_unservable(&mut self, now: Instant) {
        if now < self.ready + self.settings.backend_lease {
            return;
        }
        let longest = self.settings.backend_wait;
        for account in self.accounts.backlogged_keys().collect::<Vec<_>>() {
            let (requirements, usable) = (&self.requirements, self.backends.usable());
            let unservable = |waiting: &Waiting| {
                let waited = now.saturating_duration_since(waiting.arrived) >= longest;
                waited && !requirements.backends(waiting.requirement).overlaps(usable)
            };
            let is_drained = self.accounts.get_mut(account).queue.drain(unservable);
            self.accounts.leave_backlog(account);
            for waiting in is_drained {
                self.refuse_waiting(&waiting, Reason::NoBackend, NO_BACKEND_RETRY);
            }
        }
        let mut kept = VecDeque::new();
        for (account, waiting) in std::mem::take(&mut self.suspects) {
            let waited = now.saturating_duration_since(waiting.arrived) >= longest;
            let eligible = self.requirements.backends(waiting.requirement);
            if waited && !eligible.overlaps(self.backends.usable()) {
                self.refuse_waiting(&waiting, Reason::NoBackend, NO_BACKEND_RETRY);
            } else {
                kept.push_back((account, waiting));
            }
        }
        self.suspects = kept;
    }

    pub(crate) fn refuse_waiting(&mut self, waiting: &Waiting, reason: Reason, wait: Duration) {
        self.waiting -= 1;
        if let Some(router) = self.routers.get_mut(waiting.router) {
            router.remove_waiting(waiting.ask.ticket);
        }
        self.refuse(waiting.router, waiting.ask.ticket, reason, wait);
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

/// How long a request may wait for a slot, where its objective is known.
fn objective_wait(ask: &Ask, part: u32) -> Option<Duration> {
    let wait = u64::from(ask.objective_ms) * u64::from(part) / 100;
    (wait > 0).then(|| Duration::from_millis(wait))
}
