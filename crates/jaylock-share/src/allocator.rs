use std::collections::VecDeque;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use jaylock_rpc::v1::end::Outcome;
use jaylock_rpc::v1::refusal::Reason;
use jaylock_rpc::v1::{
    Ask, BackendReport, BackendVerdict, Configuration, Decision, End, Hello, Progress, Refusal,
    RouterFrame, Running, SchedulerFrame,
};

use crate::ShareSettings;
use crate::account::{AccountKey, Accounts};
use crate::backend::Backends;
use crate::cost::{Mean, Shape, cost_of};
use crate::demand::Demands;
use crate::division::Division;
use crate::queue::Waiting;
use crate::router::{RouterKey, Routers, Run};

/// Wait that is named to a caller when no backend server can take its request.
const NO_BACKEND_RETRY: Duration = Duration::from_secs(1);

/// The state of one pool and its decisions; the scheduler's task is its only user.
#[derive(Debug)]
pub struct Allocator {
    pub(crate) pool: CompactString,
    pub(crate) epoch: u64,
    pub(crate) settings: ShareSettings,
    pub(crate) accounts: Accounts,
    pub(crate) demands: Demands,
    pub(crate) backends: Backends,
    pub(crate) routers: Routers,
    // Requests that must run alone, in the order of their arrival.
    pub(crate) suspects: VecDeque<(AccountKey, Waiting)>,
    // The backend server that becomes empty for the first suspect.
    pub(crate) reservation: Option<usize>,
    pub(crate) decisions: VecDeque<Decision>,
    pub(crate) ready: Instant,
    pub(crate) usage: Usage,
    pub(crate) waiting: usize,
    pub(crate) division: Division,
    mean: Mean,
}

impl Allocator {
    /// A pool of which nothing is known yet; it grants nothing before its settling time is over.
    #[must_use]
    pub fn new(pool: &str, epoch: u64, settings: ShareSettings, now: Instant) -> Self {
        Self {
            pool: pool.into(),
            epoch,
            ready: now + settings.settling,
            settings,
            accounts: Accounts::default(),
            demands: Demands::default(),
            backends: Backends::default(),
            routers: Routers::default(),
            suspects: VecDeque::new(),
            reservation: None,
            decisions: VecDeque::new(),
            usage: Usage::new(now),
            waiting: 0,
            division: Division::default(),
            mean: Mean::default(),
        }
    }

    /// Takes weights, queue limits and drains from the configuration.
    pub fn configure(&mut self, configuration: &Configuration, now: Instant) {
        for organisation in &configuration.organisations {
            let key = self.accounts.intern(&organisation.id);
            let account = self.accounts.get_mut(key);
            account.weight = organisation.weight.max(1);
            account.queue_limit = organisation.queue_limit;
        }
        for place in 0..self.backends.len() {
            let backend = self.backends.get_mut(place);
            let id = &backend.report.id;
            backend.drained = configuration
                .drains
                .iter()
                .any(|drain| drain.backend == *id);
            self.refresh(place, now);
        }
    }

    /// Takes in a router; what it says of its running requests replaces what was known.
    pub fn attach(&mut self, hello: &Hello, now: Instant) -> RouterKey {
        let key = match self.routers.find(&hello.router) {
            Some(key) => key,
            None => self.routers.add(hello, now),
        };
        self.forget_waiting(key);
        if let Some(router) = self.routers.get_mut(key) {
            router.incarnation = hello.incarnation;
            router.domain = hello.domain.as_str().into();
            router.lost = None;
            router.frame = SchedulerFrame::default();
            router.fallback = Vec::new();
        }
        self.reconcile(key, &hello.running, now);
        key
    }

    /// Notes that a router's stream is lost; its queue is void, its slots are kept for a while.
    pub fn detach(&mut self, key: RouterKey, now: Instant) {
        self.forget_waiting(key);
        if let Some(router) = self.routers.get_mut(key) {
            router.lost = Some(now);
        }
    }

    /// Takes a router's message.
    pub fn apply(&mut self, key: RouterKey, frame: RouterFrame, now: Instant) {
        for total in &frame.totals {
            let account = self.accounts.intern(&total.organisation);
            self.accounts.charge(account, total.unheard);
            self.accounts.get_mut(account).tokens += total.unheard;
        }
        for report in frame.backends {
            self.report(key, report, now);
        }
        for end in frame.ends {
            self.end(key, &end, now);
        }
        for progress in frame.progress {
            self.progress(key, progress);
        }
        for ticket in frame.cancels {
            self.cancel(key, ticket);
        }
        for ask in frame.asks {
            self.ask(key, ask, now);
        }
    }

    /// Ends leases, gives up lost routers, and refuses what nothing can serve.
    pub fn tick(&mut self, now: Instant) {
        for place in 0..self.backends.len() {
            self.refresh(place, now);
        }
        let lease = self.settings.router_lease;
        let is_over = |lost: Instant| now.saturating_duration_since(lost) >= lease;
        let gone = self
            .routers
            .iter()
            .filter(|(_, router)| router.lost.is_some_and(is_over));
        let gone: Vec<RouterKey> = gone.map(|(key, _)| key).collect();
        for key in gone {
            self.reconcile(key, &[], now);
            self.routers.remove(key);
        }
        self.refuse_unservable(now);
        self.divide();
    }

    /// Takes out what is to be sent to the attached routers.
    ///
    /// A router with work waiting gets an empty message after a silence, as a heartbeat.
    pub fn frames(&mut self, now: Instant) -> Vec<(RouterKey, SchedulerFrame)> {
        let (epoch, heartbeat) = (self.epoch, self.settings.heartbeat);
        let attached = self
            .routers
            .iter_mut()
            .filter(|(_, router)| router.lost.is_none());
        let due = attached.filter(|(_, router)| router.is_due(now, heartbeat));
        let frames = due.map(|(key, router)| {
            router.sent = now;
            let frame = std::mem::take(&mut router.frame);
            (key, SchedulerFrame { epoch, ..frame })
        });
        frames.collect()
    }

    /// Expected cost of a request, from the organisation's own history.
    pub(crate) fn expected(&self, account: AccountKey, shape: Shape, served: u64) -> u64 {
        let default = self.mean.or(self.settings.first_cost);
        let whole = self.accounts.get(account).cost.expected(shape, default);
        whole.saturating_sub(served).max(1)
    }

    pub(crate) fn refresh(&mut self, place: usize, now: Instant) {
        self.backends
            .refresh(place, now, self.settings.backend_lease);
    }

    fn ask(&mut self, router: RouterKey, ask: Ask, now: Instant) {
        let account = self.accounts.intern(&ask.organisation);
        if let Some(reason) = self.refusal(account) {
            let wait = self.accounts.get_mut(account).next_place(now);
            self.refuse(router, ask.ticket, reason, wait);
            self.accounts.get_mut(account).refused += 1;
            return;
        }
        let known = self.routers.get_mut(router);
        if !known.is_some_and(|r| r.add_waiting(ask.ticket, account)) {
            return;
        }
        let demand = match self.demands.find(&ask) {
            Some(demand) => demand,
            None => self.demands.add(&ask, self.backends.loaded()),
        };
        let shape = Shape::of(&ask);
        let expected = self.expected(account, shape, ask.served);
        // A router that comes back tells how long its requests have waited already.
        let waited = Duration::from_millis(u64::from(ask.waited_ms));
        let arrived = now.checked_sub(waited).unwrap_or(now);
        let alone = ask.alone;
        let waiting = Waiting {
            router,
            ask,
            demand,
            shape,

            arrived,
        };
        self.waiting += 1;
        if alone {
            self.suspects.push_back((account, waiting));
            return;
        }
        let start = self.start_level(account, demand);
        let owner = self.accounts.get_mut(account);
        let is_short = owner.cost.is_short(expected);
        owner.queue.push(waiting, is_short);
        self.accounts.join_backlog(account, start);
    }

    /// Why a further request of this organisation can't wait.
    fn refusal(&self, account: AccountKey) -> Option<Reason> {
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

    /// Least service among the backlogged that compete for the same backend servers.
    ///
    /// Others may wait for a model that is short; their low service is no measure here.
    fn start_level(&self, account: AccountKey, demand: crate::demand::DemandKey) -> u64 {
        if !self.accounts.get(account).queue.is_empty() {
            return 0;
        }
        let meeting = self.demands.backends(demand);
        let competes = |key: &AccountKey| {
            let mut demands = self.accounts.get(*key).queue.demands();
            demands.any(|other| self.demands.backends(other).overlaps(meeting))
        };
        let rival = self.accounts.backlogged_keys().find(competes);
        rival.map_or(self.accounts.floor(), |key| self.accounts.get(key).level)
    }

    fn progress(&mut self, router: RouterKey, progress: Progress) {
        let ahead = u64::from(self.settings.charged_ahead);
        let run = self
            .routers
            .get_mut(router)
            .and_then(|r| r.run_mut(progress.ticket));
        let Some(run) = run else { return };
        let grown = progress.tokens.saturating_sub(run.tokens);
        run.tokens += grown;
        let more = charge(run.expected, run.tokens, ahead).saturating_sub(run.charged);
        run.charged += more;
        let account = run.account;
        self.accounts.charge(account, more);
        self.accounts.get_mut(account).tokens += grown;
    }

    fn end(&mut self, router: RouterKey, end: &End, now: Instant) {
        let run = self
            .routers
            .get_mut(router)
            .and_then(|r| r.remove_run(end.ticket));
        let Some(run) = run else { return };
        let cost = cost_of(end);
        if matches!(end.outcome(), Outcome::Complete | Outcome::Cancelled) {
            self.accounts
                .get_mut(run.account)
                .cost
                .learn(run.shape, cost);
            self.mean.add(cost);
        }
        self.settle(&run, cost, now);
    }

    /// Corrects the charge of a run to its cost and frees its slot.
    fn settle(&mut self, run: &Run, cost: u64, now: Instant) {
        if cost >= run.charged {
            self.accounts.charge(run.account, cost - run.charged);
        } else {
            self.accounts.refund(run.account, run.charged - cost);
        }
        let account = self.accounts.get_mut(run.account);
        account.running = account.running.saturating_sub(1);
        account.tokens += cost.saturating_sub(run.tokens);
        let backend = self.backends.get_mut(run.place);
        backend.remove_grant();
        if run.alone {
            backend.reserved = false;
        }
        self.refresh(run.place, now);
    }

    fn cancel(&mut self, router: RouterKey, ticket: u64) {
        let account = self
            .routers
            .get_mut(router)
            .and_then(|r| r.remove_waiting(ticket));
        if let Some(account) = account {
            self.drop_waiting(router, ticket, account);
        }
    }

    fn drop_waiting(&mut self, router: RouterKey, ticket: u64, account: AccountKey) {
        self.waiting -= 1;
        if self
            .accounts
            .get_mut(account)
            .queue
            .remove(router, ticket)
            .is_some()
        {
            self.accounts.leave_backlog(account);
            return;
        }
        self.suspects
            .retain(|(_, waiting)| !waiting.is(router, ticket));
    }

    fn forget_waiting(&mut self, key: RouterKey) {
        let Some(router) = self.routers.get_mut(key) else {
            return;
        };
        for (ticket, account) in router.take_waiting() {
            self.drop_waiting(key, ticket, account);
        }
    }

    /// Makes the known runs of a router those that it names.
    fn reconcile(&mut self, key: RouterKey, running: &[Running], now: Instant) {
        let Some(router) = self.routers.get_mut(key) else {
            return;
        };
        let named = |ticket: &u64| running.iter().any(|run| run.ticket == *ticket);
        let tickets = router.run_tickets();
        let gone: Vec<Run> = tickets
            .iter()
            .filter(|ticket| !named(ticket))
            .filter_map(|ticket| router.remove_run(*ticket))
            .collect();
        for run in gone {
            // What it cost meanwhile comes with the router's totals.
            self.settle(&run, run.tokens, now);
        }
        for run in running.iter().filter(|run| !tickets.contains(&run.ticket)) {
            self.adopt(key, run, now);
        }
    }

    /// Takes over a run that an earlier scheduler granted.
    fn adopt(&mut self, key: RouterKey, running: &Running, now: Instant) {
        let account = self.accounts.intern(&running.organisation);
        let place = self.backends.place(&running.backend, now);
        let shape = Shape::default();
        let expected = self.expected(account, shape, 0);
        let charged = charge(
            expected,
            running.tokens,
            u64::from(self.settings.charged_ahead),
        );
        self.accounts.charge(account, charged);
        self.accounts.get_mut(account).running += 1;
        let backend = self.backends.get_mut(place);
        backend.add_grant();
        backend.reserved |= running.alone;
        self.refresh(place, now);
        let run = Run {
            ticket: running.ticket,
            account,
            place,
            shape,
            expected,
            charged,
            tokens: running.tokens,
            alone: running.alone,
        };
        if let Some(router) = self.routers.get_mut(key) {
            router.add_run(run);
        }
    }

    fn report(&mut self, key: RouterKey, report: BackendReport, now: Instant) {
        let (id, incarnation) = (report.id.clone(), report.incarnation);
        let known = self
            .backends
            .find(&id)
            .map(|place| self.backends.get(place).report.clone());
        let lease = self.settings.backend_lease;
        let outcome = self
            .backends
            .report(report, now, lease, self.settings.prefixes);
        if let Ok(place) = outcome {
            let report = &self.backends.get(place).report;
            if known.is_none_or(|known| known.models != report.models) {
                self.demands.update(place, &report.models);
            }
        }
        let refused = outcome.err().unwrap_or_default().into();
        if let Some(router) = self.routers.get_mut(key) {
            let verdict = BackendVerdict {
                backend: id,
                incarnation,
                refused,
            };
            router.add_verdict(verdict);
        }
    }

    fn refuse_unservable(&mut self, now: Instant) {
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

    fn refuse_waiting(&mut self, waiting: &Waiting) {
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

    fn refuse(&mut self, router: RouterKey, ticket: u64, reason: Reason, wait: Duration) {
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

/// What a run is charged: its tokens so far and `ahead` in 100 of those that are still expected.
///
/// The part ahead keeps the next slots from an organisation whose runs have only begun. A larger
/// part would take expectations for service.
pub(crate) fn charge(expected: u64, tokens: u64, ahead: u64) -> u64 {
    tokens + expected.saturating_sub(tokens) * ahead / 100
}

/// Slot time used and offered while work waited.
#[derive(Debug)]
pub(crate) struct Usage {
    since: Instant,
    used: u128,
    offered: u128,
}

impl Usage {
    fn new(now: Instant) -> Self {
        Self {
            since: now,
            used: 0,
            offered: 0,
        }
    }

    /// Adds the time since the last call, in which `used` of `slots` were taken.
    pub fn add(&mut self, now: Instant, work_waited: bool, used: u32, slots: u32) {
        let span = now.saturating_duration_since(self.since).as_micros();
        self.since = now;
        if work_waited {
            self.used += span * u128::from(used.min(slots));
            self.offered += span * u128::from(slots);
        }
    }

    /// Share used, in millionths; all of it while nothing has waited.
    pub fn millionths(&self) -> u32 {
        if self.offered == 0 {
            return 1_000_000;
        }
        u32::try_from(self.used * 1_000_000 / self.offered).unwrap_or(u32::MAX)
    }
}
