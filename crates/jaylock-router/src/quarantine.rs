use std::rc::Rc;
use std::time::Duration;

use http::StatusCode;
use jaylock_observe::RunStatus;
use jaylock_rpc::v1::Quarantine;
use jaylock_rpc::v1::command::Body;
use jaylock_types::{Index, OrganisationId, RequestId, unix_ms};

use crate::context::Context;
use crate::proposal;
use crate::response::ErrorResponse;

/// Crashes after which a request runs no more.
const CRASH_LIMIT: u32 = 2;

/// Time between a crash and the trial, in which crashes elsewhere are heard of.
const TRIAL_DELAY: Duration = Duration::from_millis(250);
/// Time in which all requests that ran on a backend server notice its crash.
const SAME_CRASH: Duration = Duration::from_secs(10);

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
    context: &Context,
    fingerprint: &Fingerprint,
    request: &RequestId,
) -> Result<(), ErrorResponse> {
    let Some(found) = find(context, fingerprint) else {
        return Ok(());
    };
    let left = time_left(&found);
    if left.is_zero() || (found.suspect && found.request == request.as_str()) {
        return Ok(());
    }
    Err(if found.suspect {
        suspected(context)
    } else {
        quarantined(left)
    })
}

impl Suspect {
    /// The start of the fingerprint, by which a scheduler knows equal requests.
    pub fn short_fingerprint(&self) -> u64 {
        let start = self.fingerprint.first_chunk().copied().unwrap_or_default();
        u64::from_be_bytes(start)
    }

    /// Notes a crash fleet-wide.
    ///
    /// # Errors
    /// The final answer, once the request has crashed two backend servers.
    pub async fn record_crash(
        &mut self,
        context: &Rc<Context>,
        backend: &str,
        run: RunStatus,
    ) -> Result<(), ErrorResponse> {
        let other = self.other_suspect(context);
        if other.as_ref().is_some_and(|q| is_same_crash(q, backend)) {
            // The trial of the other one decides for both.
            return Ok(());
        }
        self.crashes += 1;
        if self.crashes >= CRASH_LIMIT || other.is_some() {
            return self.quarantine(context, backend, run).await;
        }
        log::warn!(target: "router", "request {} is suspected of a crash", self.request);
        let limit = context.settings.suspect_duration;
        self.publish(context, backend, limit, true).await;
        // The log makes a quarantine of suspicions for two crashes; another may be on its way.
        compio::time::sleep(TRIAL_DELAY).await;
        match find(context, &self.fingerprint).filter(|q| !q.suspect) {
            Some(_) => self.quarantine(context, backend, run).await,
            None => Ok(()),
        }
    }

    async fn quarantine(
        &mut self,
        context: &Rc<Context>,
        backend: &str,
        run: RunStatus,
    ) -> Result<(), ErrorResponse> {
        self.crashes = CRASH_LIMIT;
        let limit = context.settings.quarantine_duration;
        self.publish(context, backend, limit, false).await;
        log::error!(
            target: "router",
            "request {} of {} crashed two backend servers and is in quarantine",
            self.request, self.organisation
        );
        Err(quarantined(limit).with_run(run))
    }

    /// Notes that the request ran through and crashes nothing.
    pub fn clear(&mut self, context: &Rc<Context>) {
        if self.is_suspect() {
            self.crashes = 0;
            let body = self.command("", Duration::ZERO, true);
            drop(proposal::commit(context, body));
        }
    }

    /// Whether it is to be found out if it crashes backend servers.
    pub fn is_suspect(&self) -> bool {
        self.crashes > 0 && self.crashes < CRASH_LIMIT
    }

    /// Waits while another request with this fingerprint is tried alone.
    pub async fn wait_for_isolated_run(&self, context: &Context) {
        loop {
            let index = context.view.index();
            let Some(other) = self.other_suspect(context).filter(|q| q.suspect) else {
                return;
            };
            let left = time_left(&other);
            let change = context.view.wait_newer_than(index);
            if left.is_zero() || compio::time::timeout(left, change).await.is_err() {
                return;
            }
        }
    }

    /// A crash of a backend server under another request with this fingerprint.
    fn other_suspect(&self, context: &Context) -> Option<Quarantine> {
        let found = find(context, &self.fingerprint)?;
        (found.request != self.request.as_str() && found.until_ms > 0).then_some(found)
    }

    async fn publish(&self, context: &Rc<Context>, backend: &str, limit: Duration, suspect: bool) {
        let body = self.command(backend, limit, suspect);
        let Some(applied) = proposal::commit_soon(context, body).await else {
            return;
        };
        // The caller may send the request again at once, so this router is to know first.
        let before = Index(applied.index.saturating_sub(1));
        let following = context.view.wait_newer_than(before);
        let _ = compio::time::timeout(context.settings.settle_timeout, following).await;
    }

    fn command(&self, backend: &str, limit: Duration, suspect: bool) -> Body {
        let (limit, at_ms) = (u64::try_from(limit.as_millis()), unix_ms());
        let limit = limit.unwrap_or(u64::MAX);
        let until_ms = if limit == 0 {
            0
        } else {
            at_ms.saturating_add(limit)
        };
        Body::PutQuarantine(Quarantine {
            fingerprint: self.fingerprint.to_vec(),
            organisation: self.organisation.to_string(),
            until_ms,
            request: self.request.to_string(),
            suspect,
            backend: backend.into(),
            at_ms,
        })
    }
}

fn find(context: &Context, fingerprint: &Fingerprint) -> Option<Quarantine> {
    let current = context.view.current();
    let listed = &current.quarantines;
    let found = listed.binary_search_by(|q| q.fingerprint.as_slice().cmp(fingerprint));
    found.ok().map(|at| listed[at].clone())
}

fn time_left(quarantine: &Quarantine) -> Duration {
    Duration::from_millis(quarantine.until_ms.saturating_sub(unix_ms()))
}

/// Whether a crash that was noted is the one that was just seen.
fn is_same_crash(noted: &Quarantine, backend: &str) -> bool {
    let since = Duration::from_millis(unix_ms().saturating_sub(noted.at_ms));
    noted.backend == backend && since < SAME_CRASH
}

fn quarantined(left: Duration) -> ErrorResponse {
    ErrorResponse::not_run(
        StatusCode::UNPROCESSABLE_ENTITY,
        "quarantined",
        "this request crashed two backend servers",
        "change the request, or ask the operators to look at it",
    )
    .with_retry_after(left)
}

fn suspected(context: &Context) -> ErrorResponse {
    ErrorResponse::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "suspected",
        "a backend server crashed while this request ran; it is being tried alone",
        "ask again after the time in retry-after",
    )
    .with_retry_after(context.settings.retry_after)
}
