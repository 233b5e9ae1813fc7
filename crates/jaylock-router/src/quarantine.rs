use std::rc::Rc;
use std::time::Duration;

use http::StatusCode;
use jaylock_observe::Run;
use jaylock_rpc::v1::Quarantine;
use jaylock_rpc::v1::command::Body;
use jaylock_types::{Index, OrganisationId, RequestId, unix_ms};

use crate::answer::Refusal;
use crate::proposal;
use crate::router::Shared;

/// Crashes after which a request runs no more.
const CRASH_LIMIT: u32 = 2;

/// SHA-256 by which a request that crashes backend servers is known.
pub type Fingerprint = [u8; 32];

/// A request whose backend server crashed while it ran.
#[derive(Debug, Clone)]
pub struct Suspect {
    /// What it is known by, whoever sends it.
    pub fingerprint: Fingerprint,
    /// Organisation that sent it.
    pub organisation: OrganisationId,
    /// The request itself.
    pub request: RequestId,
    /// Backend servers that crashed under it.
    pub crashes: u32,
}

/// Refuses a request that is in quarantine, or under suspicion at another router.
pub fn check(
    shared: &Shared,
    fingerprint: &Fingerprint,
    request: &RequestId,
) -> Result<(), Refusal> {
    let Some(found) = find(shared, fingerprint) else {
        return Ok(());
    };
    let left = Duration::from_millis(found.until_ms.saturating_sub(unix_ms()));
    if left.is_zero() || (found.suspect && found.request == request.as_str()) {
        return Ok(());
    }
    Err(if found.suspect {
        suspected(shared)
    } else {
        quarantined(left)
    })
}

impl Suspect {
    /// Notes a crash fleet-wide.
    ///
    /// # Errors
    /// The final answer, once the request has crashed two backend servers.
    pub async fn crashed(&mut self, shared: &Rc<Shared>, run: Run) -> Result<(), Refusal> {
        self.crashes += 1;
        if self.is_convicted(shared) {
            let limit = shared.settings.quarantine;
            self.put(shared, limit, false).await;
            log::error!(
                target: "router",
                "request {} of {} crashed two backend servers and is in quarantine",
                self.request, self.organisation
            );
            return Err(quarantined(limit).ran(run));
        }
        log::warn!(target: "router", "request {} is suspected of a crash", self.request);
        self.put(shared, shared.settings.suspicion, true).await;
        Ok(())
    }

    /// Notes that the request ran through and crashes nothing.
    pub fn clear(&mut self, shared: &Rc<Shared>) {
        if self.is_on_trial() {
            self.crashes = 0;
            let body = self.command(Duration::ZERO, true);
            drop(proposal::commit(shared, body));
        }
    }

    /// Whether it is to be found out if it crashes backend servers.
    pub fn is_on_trial(&self) -> bool {
        self.crashes > 0 && self.crashes < CRASH_LIMIT
    }

    /// Whether another request with this fingerprint crashed a backend server before.
    fn is_convicted(&self, shared: &Shared) -> bool {
        let other = |q: &Quarantine| q.request != self.request.as_str() && q.until_ms > 0;
        self.crashes >= CRASH_LIMIT || find(shared, &self.fingerprint).is_some_and(|q| other(&q))
    }

    async fn put(&self, shared: &Rc<Shared>, limit: Duration, suspect: bool) {
        let body = self.command(limit, suspect);
        let Some(applied) = proposal::commit_soon(shared, body).await else {
            return;
        };
        // The caller may send the request again at once, so this router is to know first.
        let before = Index(applied.index.saturating_sub(1));
        let following = shared.view.newer_than(before);
        let _ = compio::time::timeout(shared.settings.settle_wait, following).await;
    }

    fn command(&self, limit: Duration, suspect: bool) -> Body {
        let limit = u64::try_from(limit.as_millis()).unwrap_or(u64::MAX);
        let until_ms = if limit == 0 { 0 } else { unix_ms() + limit };
        Body::PutQuarantine(Quarantine {
            fingerprint: self.fingerprint.to_vec(),
            organisation: self.organisation.to_string(),
            until_ms,
            request: self.request.to_string(),
            suspect,
        })
    }
}

fn find(shared: &Shared, fingerprint: &Fingerprint) -> Option<Quarantine> {
    let current = shared.view.current();
    let listed = &current.quarantines;
    let found = listed.binary_search_by(|q| q.fingerprint.as_slice().cmp(fingerprint));
    found.ok().map(|at| listed[at].clone())
}

fn quarantined(left: Duration) -> Refusal {
    Refusal::not_run(
        StatusCode::UNPROCESSABLE_ENTITY,
        "quarantined",
        "this request crashed two backend servers",
        "change the request, or ask the operators to look at it",
    )
    .after(left)
}

fn suspected(shared: &Shared) -> Refusal {
    Refusal::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "suspected",
        "a backend server crashed while this request ran; it is being tried alone",
        "ask again after the time in retry-after",
    )
    .after(shared.settings.retry_after)
}
