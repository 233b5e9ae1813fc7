use std::time::{Duration, Instant};

use jaylock_rpc::v1::Ask;
use jaylock_rpc::v1::refusal::Reason;

use crate::admission::account::AccountKey;
use crate::admission::cost::SizeClass;
use crate::admission::queue::{WaitingRequest, continues_stream};
use crate::admission::refusals::NO_BACKEND_RETRY_DELAY;
use crate::backends::backend_set::BackendSet;
use crate::backends::requirement::RequirementKey;
use crate::scheduler::allocator::Allocator;
use crate::scheduler::router::RouterKey;
use crate::scheduler::service_log::AskOutcome;
use crate::streams::resumption::Origin;

/// Why a request is refused on its arrival.
pub(crate) struct ArrivalRefusal {
    pub reason: Reason,
    pub cause: &'static str,
    /// Least time after which the caller may return.
    pub min_delay: Duration,
    /// Whether the load is the cause, so that the callers of an organisation return one after another.
    is_load: bool,
}

impl Allocator {
    /// Adds a router's request to a queue, or refuses it at once.
    pub(crate) fn add_ask(&mut self, router: RouterKey, mut ask: Ask, now: Instant) {
        if ask.spare {
            self.spare_asks.push((router, ask));
            return;
        }
        match self.resolve_origin(&mut ask, now) {
            Origin::Resolved => {}
            Origin::Awaited => {
                self.unresolved.push((router, ask));
                return;
            }
            Origin::Unknown => {
                self.refuse_unknown(router, &ask);
                return;
            }
        }
        let account = self.accounts.intern(&ask.organisation);
        let requirement = self.requirement(&ask);
        let eligible = self.requirements.backends(requirement);
        if let Some(refusal) = self.arrival_refusal(Some(account), eligible, &ask, now) {
            self.refuse_arrival(router, account, &ask, &refusal, now);
            return;
        }
        let router_state = self.routers.get_mut(router);
        if router_state.is_some_and(|r| r.add_waiting(ask.ticket, account)) {
            self.enqueue(router, account, requirement, ask, now);
        }
    }

    /// Gives up a request whose caller waits no longer.
    pub(crate) fn cancel(&mut self, router: RouterKey, ticket: u64) {
        let is_other = |(key, ask): &(RouterKey, Ask)| *key != router || ask.ticket != ticket;
        self.unresolved.retain(is_other);
        self.spare_asks.retain(is_other);
        let account = self
            .routers
            .get_mut(router)
            .and_then(|r| r.remove_waiting(ticket));
        if let Some(account) = account {
            self.drop_waiting(router, ticket, account);
        }
    }

    pub(crate) fn requirement(&mut self, ask: &Ask) -> RequirementKey {
        match self.requirements.find(ask) {
            Some(requirement) => requirement,
            None => self.requirements.add(ask, self.backends.reports()),
        }
    }

    /// Reason to refuse a request at once; `None` if it may wait. An organisation without an account never sent a request.
    pub(crate) fn arrival_refusal(
        &self,
        account: Option<AccountKey>,
        eligible: &BackendSet,
        ask: &Ask,
        now: Instant,
    ) -> Option<ArrivalRefusal> {
        if let Some(time) = self.crash_history.causes.quarantine_time(ask, now) {
            return Some(ArrivalRefusal {
                reason: Reason::Quarantined,
                cause: "it is in quarantine",
                min_delay: time,
                is_load: false,
            });
        }
        let is_unservable = self.is_unservable(ask, eligible, now);
        if is_unservable && self.backends.wait_is_vain(ask, eligible) {
            return Some(ArrivalRefusal {
                reason: Reason::NoBackend,
                cause: "no backend server that could run it is left",
                min_delay: NO_BACKEND_RETRY_DELAY,
                is_load: false,
            });
        }
        self.load_refusal(account?, ask)
    }

    /// Reason to refuse a request for the length of the queues.
    fn load_refusal(&self, account: AccountKey, ask: &Ask) -> Option<ArrivalRefusal> {
        if let Some(reason) = self.queue_refusal(account) {
            return Some(ArrivalRefusal {
                reason,
                cause: "its queue or the pool's is full",
                min_delay: Duration::ZERO,
                is_load: true,
            });
        }
        // A request that continues a stream precedes the others, so that their number doesn't delay it.
        if continues_stream(ask) {
            return None;
        }
        Some(ArrivalRefusal {
            reason: Reason::Overloaded,
            cause: "its turn would come too late",
            min_delay: self.objective_excess(account, ask)?,
            is_load: true,
        })
    }

    fn refuse_arrival(
        &mut self,
        router: RouterKey,
        account: AccountKey,
        ask: &Ask,
        refusal: &ArrivalRefusal,
        now: Instant,
    ) {
        let mut retry_delay = refusal.min_delay;
        if refusal.is_load {
            retry_delay = retry_delay.max(self.next_retry_delay(account, ask, now));
            self.accounts.get_mut(account).refused += 1;
        }
        self.record_service(account, AskOutcome::Declined, ask);
        self.log_refusal(account, ask, refusal.cause);
        self.refuse(router, ask.ticket, refusal.reason, retry_delay);
    }

    fn enqueue(
        &mut self,
        router: RouterKey,
        account: AccountKey,
        requirement: RequirementKey,
        ask: Ask,
        now: Instant,
    ) {
        self.backends.index_parts(&ask);
        let size_class = SizeClass::from_ask(&ask);
        let expected = self.expected_cost(account, size_class, ask.served);
        // A router that attaches again reports how long its requests have waited already.
        let waited = Duration::from_millis(u64::from(ask.waited_ms));
        let arrived_at = now.checked_sub(waited).unwrap_or(now);
        let is_isolated = ask.alone;
        let waiting = WaitingRequest {
            router,
            ask,
            requirement,
            size_class,
            arrived_at,
        };
        self.waiting_count += 1;
        if is_isolated {
            self.isolated.push_back((account, waiting));
            return;
        }
        let start = self.initial_service(account, requirement);
        let owner = self.accounts.get_mut(account);
        let is_short = owner.cost.is_short(expected);
        owner.queue.push(waiting, is_short);
        self.accounts.enter_backlog(account, start);
    }

    /// Weighted service from which an organisation enters the backlog; 0 if it already has waiting requests.
    ///
    /// The value is the least of the backlogged organisations that compete for the same backend servers.
    /// Organisations that wait for other, scarce models have low service and would distort it.
    fn initial_service(&self, account: AccountKey, requirement: RequirementKey) -> u64 {
        if !self.accounts.get(account).queue.is_empty() {
            return 0;
        }
        let eligible = self.requirements.backends(requirement);
        let competes = |key: &AccountKey| {
            let mut requirements = self.accounts.get(*key).queue.requirements();
            requirements.any(|other| self.requirements.backends(other).overlaps(eligible))
        };
        let rival = self.accounts.backlogged_keys().find(competes);
        rival.map_or(self.accounts.service_floor(), |key| {
            self.accounts.get(key).weighted_millitokens
        })
    }
}
