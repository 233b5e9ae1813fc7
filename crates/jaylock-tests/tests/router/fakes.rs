//! Fakes of the router's ports: the schedulers and the replicated log.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use jaylock_control::ConfigView;
use jaylock_router::{CommandLog, ProposeError, Schedulers};
use jaylock_rpc::v1::applied::Result as Outcome;
use jaylock_rpc::v1::claim_state::Kind;
use jaylock_rpc::v1::command::Body;
use jaylock_rpc::v1::{
    Applied, Ask, BackendReport, BackendVerdict, Claim, ClaimState, Command, Done, End, Grant,
    Progress, Quarantine, Refusal, Settle,
};
use jaylock_types::{HedgePlan, Notice, PoolId};

/// Time between two checks whether grants are still delayed.
const DELAY_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Version of the software of all backend servers.
pub const SOFTWARE: &str = "build-7";

/// Grants each slot request at once, at the first backend server that is not avoided.
#[derive(Clone, Default)]
pub struct FakeSchedulers(pub Rc<SchedulersState>);

#[derive(Default)]
pub struct SchedulersState {
    pub backends: RefCell<Vec<SocketAddr>>,
    pub refusals: RefCell<VecDeque<Refusal>>,
    /// Whether a slot request waits while it avoids every backend server.
    pub waits_for_others: Cell<bool>,
    pub never_grants: Cell<bool>,
    /// Whether there is no slot to spare.
    pub refuses_spare: Cell<bool>,
    /// Whether each slot request waits, until this is unset.
    pub delays_grants: Cell<bool>,
    pub slot_requests: RefCell<Vec<Ask>>,
    pub released: RefCell<Vec<End>>,
    /// Tickets of runs after whose ends the backend server was found to have crashed.
    pub crashed: RefCell<Vec<u64>>,
    pub reports: RefCell<Vec<BackendReport>>,
    pub verdicts: RefCell<Vec<BackendVerdict>>,
    /// Response times with their routes, and the share that may be hedged in per cent.
    pub responses: RefCell<Vec<(String, u32, Duration)>>,
    /// What the schedulers say of all routes.
    pub hedge_plan: Cell<Option<HedgePlan>>,
}

impl SchedulersState {
    fn grant(&self, ask: Ask) -> Result<Grant, Refusal> {
        let ticket = self.slot_requests.borrow().len() as u64 + 1;
        let avoid = ask.avoid.clone();
        let is_refused = ask.spare && self.refuses_spare.get();
        self.slot_requests.borrow_mut().push(ask);
        if let Some(refusal) = self.refusals.borrow_mut().pop_front() {
            return Err(refusal);
        }
        let backends = self.backends.borrow();
        let mut usable = backends.iter().map(SocketAddr::to_string);
        let found = usable.find(|b| !is_refused && !avoid.contains(b));
        found
            .map(|address| Grant {
                ticket,
                backend: address.clone(),
                address,
                epoch: 1,
                software: SOFTWARE.into(),
                ..Grant::default()
            })
            .ok_or(Refusal {
                ticket,
                reason: 2,
                retry_after_ms: 1500,
            })
    }
}

impl Schedulers for FakeSchedulers {
    fn request_slot<'a>(
        &'a self,
        _: &'a PoolId,
        ask: Ask,
    ) -> LocalBoxFuture<'a, Result<Grant, Refusal>> {
        async move {
            let outcome = self.0.grant(ask);
            let has_no_backend = outcome.as_ref().is_err_and(|r| r.reason == 2);
            if self.0.never_grants.get() || (self.0.waits_for_others.get() && has_no_backend) {
                futures_util::future::pending::<()>().await;
            }
            while self.0.delays_grants.get() {
                compio::time::sleep(DELAY_POLL_INTERVAL).await;
            }
            outcome
        }
        .boxed_local()
    }

    fn report_progress(&self, _: &PoolId, _: Progress) {}

    fn report_crash(&self, _: &PoolId, ticket: u64) {
        self.0.crashed.borrow_mut().push(ticket);
    }

    fn report_notice(&self, _: &PoolId, _: &str, _: u64, _: &Notice) {}

    fn report_response(&self, _: &PoolId, route: &str, percent: u32, time: Duration) {
        let mut responses = self.0.responses.borrow_mut();
        responses.push((route.to_owned(), percent, time));
    }

    fn hedge_plan(&self, _: &PoolId, _: &str) -> Option<HedgePlan> {
        self.0.hedge_plan.get()
    }

    fn is_excluded(&self, _: &PoolId, _: &Grant) -> bool {
        false
    }

    fn release_slot(&self, _: &PoolId, end: End) {
        self.0.released.borrow_mut().push(end);
    }

    fn report_backend(&self, report: BackendReport) {
        self.0.reports.borrow_mut().push(report);
    }

    fn backend_verdict(&self, backend: &str) -> Option<BackendVerdict> {
        let verdicts = self.0.verdicts.borrow();
        verdicts.iter().find(|v| v.backend == backend).cloned()
    }
}

/// Stores claims and quarantines in memory; several routers may share one.
#[derive(Clone, Default)]
pub struct FakeCommandLog(pub Rc<CommandLogState>);

#[derive(Default)]
pub struct CommandLogState {
    pub is_unreachable: Cell<bool>,
    pub claims: RefCell<Vec<(Claim, Option<Settle>)>>,
    pub quarantines: RefCell<Vec<Quarantine>>,
    pub views: RefCell<Vec<ConfigView>>,
    /// State returned for every claim, if set.
    pub claim_kind: Cell<Option<Kind>>,
    /// Whether another router reports a crash caused by an equal request just after the first one.
    pub has_concurrent_crash: Cell<bool>,
}

impl CommandLogState {
    fn apply(&self, body: Body) -> Outcome {
        match body {
            Body::Claim(claim) => Outcome::Claim(self.claim(claim)),
            Body::Settle(settle) => {
                let mut claims = self.claims.borrow_mut();
                let entry = claims.iter_mut().find(|(c, _)| {
                    (&c.organisation, &c.key) == (&settle.organisation, &settle.key)
                });
                entry.expect("a claim to settle").1 = Some(settle);
                Outcome::Done(Done {})
            }
            Body::ReleaseClaim(release) => {
                let is_released = |c: &Claim| c.request == release.request && c.key == release.key;
                self.claims.borrow_mut().retain(|(c, _)| !is_released(c));
                Outcome::Done(Done {})
            }
            Body::PutQuarantine(quarantine) => {
                self.put_quarantine(&quarantine);
                Outcome::Done(Done {})
            }
            _ => Outcome::Refused("not supported by the fake".into()),
        }
    }

    /// Stores a quarantine and applies it at every router.
    fn put_quarantine(&self, quarantine: &Quarantine) {
        self.quarantines.borrow_mut().push(quarantine.clone());
        for view in self.views.borrow().iter() {
            let mut next = (*view.current()).clone();
            next.index += 1;
            let listed = &mut next.quarantines;
            let mut new = quarantine.clone();
            let current = listed.iter().find(|q| q.fingerprint == new.fingerprint);
            if let Some(current) = current {
                let is_second = current.request != new.request && current.backend != new.backend;
                new.suspect &= current.suspect && !(is_second && new.until_ms > 0);
            }
            listed.retain(|q| q.fingerprint != new.fingerprint);
            let at = listed.partition_point(|q| q.fingerprint < new.fingerprint);
            listed.insert(at, new);
            assert!(view.update(next));
        }
    }

    fn claim(&self, claim: Claim) -> ClaimState {
        let mut claims = self.claims.borrow_mut();
        let found = claims
            .iter()
            .find(|(c, _)| (&c.organisation, &c.key) == (&claim.organisation, &claim.key));
        let kind = match (self.claim_kind.get(), found) {
            (Some(kind), _) => kind,
            (None, None) => Kind::Granted,
            (None, Some((first, _))) if first.fingerprint != claim.fingerprint => Kind::Mismatch,
            (None, Some((_, None))) => Kind::Pending,
            (None, Some((_, Some(_)))) => Kind::Settled,
        };
        let outcome = found.and_then(|(_, settle)| settle.clone());
        if kind == Kind::Granted {
            claims.push((claim, None));
        }
        ClaimState {
            kind: kind.into(),
            outcome,
            request: String::new(),
        }
    }
}

impl FakeCommandLog {
    async fn report_concurrent_crash(self) {
        compio::time::sleep(Duration::from_millis(50)).await;
        let first = self.0.quarantines.borrow()[0].clone();
        let (request, backend) = ("rival".to_owned(), "elsewhere".to_owned());
        let second = Quarantine {
            request,
            backend,
            ..first
        };
        self.0.put_quarantine(&second);
    }
}

impl CommandLog for FakeCommandLog {
    fn propose(&self, command: Command) -> LocalBoxFuture<'_, Result<Applied, ProposeError>> {
        async move {
            if self.0.is_unreachable.get() {
                return Err(ProposeError("disconnected".into()));
            }
            let result = command.body.map(|body| self.0.apply(body));
            if self.0.has_concurrent_crash.take() {
                compio::runtime::spawn(self.clone().report_concurrent_crash()).detach();
            }
            Ok(Applied {
                index: 2,
                revision: 1,
                result,
            })
        }
        .boxed_local()
    }
}
