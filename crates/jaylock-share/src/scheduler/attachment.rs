use std::time::{Duration, Instant};

use jaylock_rpc::v1::{Hello, Running};
use jaylock_types::StreamId;

use crate::admission::account::AccountKey;
use crate::admission::cost::SizeClass;
use crate::crashes::causes::Causes;
use crate::scheduler::allocator::Allocator;
use crate::scheduler::contact::Contact;
use crate::scheduler::division::Division;
use crate::scheduler::router::{RouterKey, Run};

impl Allocator {
    /// Whether a newer incarnation of the same router has attached before.
    pub(crate) fn is_outdated(&self, hello: &Hello) -> bool {
        let attached = self.routers.find(&hello.router);
        let attached = attached.and_then(|key| self.routers.get(key));
        attached.is_some_and(|router| router.incarnation > hello.incarnation)
    }

    /// Attaches a router; the runs in its hello replace those known of it.
    pub fn attach(&mut self, hello: &Hello, now: Instant) -> RouterKey {
        let key = match self.routers.find(&hello.router) {
            Some(key) => key,
            None => self.routers.add(hello, now),
        };
        self.drop_all_waiting(key);
        if let Some(router) = self.routers.get_mut(key) {
            router.incarnation = hello.incarnation;
            router.domain = hello.domain.as_str().into();
            router.detached_at = None;
            router.contact = Contact::new(hello.keeps_contact, now);
            router.reset_stream();
        }
        self.division = Division::default();
        self.origins.restore(&hello.streams, now);
        self.reconcile(key, &hello.running, now);
        for crash in &hello.crashes {
            let age = Duration::from_millis(crash.age_ms.into());
            let at = now.checked_sub(age).unwrap_or(now);
            let causes = &mut self.crash_history.causes;
            causes.restore_crash(&crash.causes, &crash.backend, at);
        }
        key
    }

    /// Records that a router's stream is lost; drops its waiting requests and keeps its slots under a lease.
    pub fn detach(&mut self, key: RouterKey, now: Instant) {
        self.drop_all_waiting(key);
        if let Some(router) = self.routers.get_mut(key) {
            router.detached_at = Some(now);
        }
    }

    /// Replaces the known runs of a router by those that it reports.
    ///
    /// A run that it reports elsewhere than it is known took a slot of the router while a grant was lost.
    pub(crate) fn reconcile(&mut self, key: RouterKey, running: &[Running], now: Instant) {
        let backends = &self.backends;
        let Some(router) = self.routers.get_mut(key) else {
            return;
        };
        let is_reported = |run: &Run| {
            let backend = backends.get(run.backend_index).report.id.as_str();
            let mut reported = running.iter();
            reported.any(|r| {
                r.ticket == run.ticket && r.backend == backend && r.software == run.software
            })
        };
        let (kept, ended): (Vec<&Run>, Vec<&Run>) = router.runs().partition(|run| is_reported(run));
        let kept: Vec<u64> = kept.iter().map(|run| run.ticket).collect();
        let ended: Vec<u64> = ended.iter().map(|run| run.ticket).collect();
        let ended = ended.iter().filter_map(|ticket| router.remove_run(*ticket));
        let ended: Vec<Run> = ended.collect();
        for mut run in ended {
            // The tokens since the last progress report arrive with the router's totals.
            let tokens = run.tokens;
            self.close_run(&mut run, tokens, now);
        }
        for run in running.iter().filter(|run| !kept.contains(&run.ticket)) {
            self.adopt(key, run, now);
        }
    }

    /// Adds a run that an earlier scheduler granted.
    fn adopt(&mut self, key: RouterKey, running: &Running, now: Instant) {
        let account = self.accounts.intern(&running.organisation);
        let backend_index = self.backends.find_or_add(&running.backend, now);
        let size_class = SizeClass::default();
        let charged_tokens = running.tokens + self.precharge();
        self.accounts.charge(account, charged_tokens);
        self.accounts.get_mut(account).running += 1;
        let backend = self.backends.get_mut(backend_index);
        backend.add_grant(now);
        backend.is_reserved |= running.alone;
        if running.tokens > 0 {
            backend.confirm_grant();
        }
        self.refresh(backend_index, now);
        let run = Run {
            ticket: running.ticket,
            account,
            backend_index,
            size_class,
            charged_tokens,
            tokens: running.tokens,
            is_isolated: running.alone,
            fingerprint: 0,
            era: 0,
            causes: Causes {
                shared: running.causes.clone(),
                digest: 0,
            },
            is_trial: false,
            began_at: (running.tokens > 0).then_some(now),
            is_proven: false,
            load: None,
            granted_at: now,
            prefill_ahead: 0,
            stream: StreamId::from_message(running.stream),
            software: running.software.as_str().into(),
        };
        if run.began_at.is_some() {
            self.origins.record(run.stream, &run.software, now);
        }
        if let Some(router) = self.routers.get_mut(key) {
            router.add_run(run);
        }
    }

    pub(crate) fn drop_waiting(&mut self, router: RouterKey, ticket: u64, account: AccountKey) {
        self.waiting_count -= 1;
        if self
            .accounts
            .get_mut(account)
            .queue
            .remove(router, ticket)
            .is_some()
        {
            self.accounts.leave_backlog_if_empty(account);
            return;
        }
        self.isolated
            .retain(|(_, waiting)| !waiting.matches(router, ticket));
    }

    fn drop_all_waiting(&mut self, key: RouterKey) {
        let Some(router) = self.routers.get_mut(key) else {
            return;
        };
        for (ticket, account) in router.take_waiting() {
            self.drop_waiting(key, ticket, account);
        }
        self.unresolved.retain(|(router, _)| *router != key);
        self.spare_asks.retain(|(router, _)| *router != key);
    }
}
