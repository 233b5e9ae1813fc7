//! Fakes of the schedulers and of the replicated log.

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
use jaylock_types::PoolId;

/// Grants every ask at once: the backend servers in turn, but for those to avoid.
#[derive(Clone, Default)]
pub struct FakeCapacity(pub Rc<CapacityState>);

#[derive(Default)]
pub struct CapacityState {
    pub backends: RefCell<Vec<SocketAddr>>,
    pub refusals: RefCell<VecDeque<Refusal>>,
    /// Whether an ask waits while it avoids every backend server.
    pub patient: Cell<bool>,
    pub never: Cell<bool>,
    pub asks: RefCell<Vec<Ask>>,
    pub ends: RefCell<Vec<End>>,
    pub reports: RefCell<Vec<BackendReport>>,
    pub verdicts: RefCell<Vec<BackendVerdict>>,
}

impl CapacityState {
    fn grant(&self, ask: Ask) -> Result<Grant, Refusal> {
        let ticket = self.asks.borrow().len() as u64 + 1;
        let avoid = ask.avoid.clone();
        self.asks.borrow_mut().push(ask);
        if let Some(refusal) = self.refusals.borrow_mut().pop_front() {
            return Err(refusal);
        }
        let backends = self.backends.borrow();
        let mut usable = backends.iter().map(SocketAddr::to_string);
        let found = usable.find(|b| !avoid.contains(b));
        found
            .map(|address| Grant {
                ticket,
                backend: address.clone(),
                address,
                epoch: 1,
                ..Grant::default()
            })
            .ok_or(Refusal {
                ticket,
                reason: 2,
                retry_after_ms: 1500,
            })
    }
}

impl Schedulers for FakeCapacity {
    fn request_slot<'a>(
        &'a self,
        _: &'a PoolId,
        ask: Ask,
    ) -> LocalBoxFuture<'a, Result<Grant, Refusal>> {
        async move {
            let granted = self.0.grant(ask);
            let is_barred = granted.as_ref().is_err_and(|r| r.reason == 2);
            if self.0.never.get() || (self.0.patient.get() && is_barred) {
                futures_util::future::pending::<()>().await;
            }
            granted
        }
        .boxed_local()
    }

    fn report_progress(&self, _: &PoolId, _: Progress) {}

    fn release_slot(&self, _: &PoolId, end: End) {
        self.0.ends.borrow_mut().push(end);
    }

    fn report_backend(&self, report: BackendReport) {
        self.0.reports.borrow_mut().push(report);
    }

    fn backend_verdict(&self, backend: &str) -> Option<BackendVerdict> {
        let verdicts = self.0.verdicts.borrow();
        verdicts.iter().find(|v| v.backend == backend).cloned()
    }
}

/// Keeps claims and quarantines in memory; several routers may share it.
#[derive(Clone, Default)]
pub struct FakeClaims(pub Rc<ClaimsState>);

#[derive(Default)]
pub struct ClaimsState {
    pub silent: Cell<bool>,
    pub claims: RefCell<Vec<(Claim, Option<Settle>)>>,
    pub quarantines: RefCell<Vec<Quarantine>>,
    pub views: RefCell<Vec<ConfigView>>,
    pub answer: Cell<Option<Kind>>,
    /// Whether another router notes a crash of the same request just after the first suspicion.
    pub rival: Cell<bool>,
}

impl ClaimsState {
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
                let is_its = |c: &Claim| c.request == release.request && c.key == release.key;
                self.claims.borrow_mut().retain(|(c, _)| !is_its(c));
                Outcome::Done(Done {})
            }
            Body::PutQuarantine(quarantine) => {
                self.quarantine(&quarantine);
                Outcome::Done(Done {})
            }
            _ => Outcome::Refused("not faked".into()),
        }
    }

    /// Notes a quarantine and puts it in force at every router.
    fn quarantine(&self, quarantine: &Quarantine) {
        self.quarantines.borrow_mut().push(quarantine.clone());
        for view in self.views.borrow().iter() {
            let mut next = (*view.current()).clone();
            next.index += 1;
            let listed = &mut next.quarantines;
            let mut new = quarantine.clone();
            let same = listed.iter().find(|q| q.fingerprint == new.fingerprint);
            if let Some(known) = same {
                let is_second = known.request != new.request && known.backend != new.backend;
                new.suspect &= known.suspect && !(is_second && new.until_ms > 0);
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
        let kind = match (self.answer.get(), found) {
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

impl FakeClaims {
    async fn rival(self) {
        compio::time::sleep(Duration::from_millis(50)).await;
        let first = self.0.quarantines.borrow()[0].clone();
        let (request, backend) = ("rival".to_owned(), "elsewhere".to_owned());
        let second = Quarantine {
            request,
            backend,
            ..first
        };
        self.0.quarantine(&second);
    }
}

impl CommandLog for FakeClaims {
    fn propose(&self, command: Command) -> LocalBoxFuture<'_, Result<Applied, ProposeError>> {
        async move {
            if self.0.silent.get() {
                return Err(ProposeError("cut off".into()));
            }
            let result = command.body.map(|body| self.0.apply(body));
            if self.0.rival.take() {
                compio::runtime::spawn(self.clone().rival()).detach();
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
