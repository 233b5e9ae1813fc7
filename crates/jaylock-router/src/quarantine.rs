use std::rc::Rc;
use std::time::{Duration, Instant};

use http::StatusCode;
use jaylock_observe::RunStatus;
use jaylock_rpc::v1::Quarantine;
use jaylock_rpc::v1::command::Body;
use jaylock_types::{Index, OrganisationId, RequestId, long_millis, unix_ms};

use crate::context::Context;
use crate::proposal;
use crate::response::ErrorResponse;

/// Number of crashes after which a request no longer runs.
const MAX_CRASHES: u32 = 2;

/// Delay between a crash and the isolated run, in which reports of other crashes arrive.
const ISOLATION_DELAY: Duration = Duration::from_millis(250);
/// Time within which all requests of a crashed backend server notice the same crash.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(10);

/// SHA-256 that identifies a request that crashes backend servers.
pub type Fingerprint = [u8; 32];

/// Counts the backend servers that crashed while a request ran.
///
/// After the first crash, an isolated run (alone at a backend server) shows whether the request caused it.
#[derive(Debug, Clone)]
pub struct CrashTracker {
    /// Identifies equal requests of an organisation.
    pub fingerprint: Fingerprint,
    /// Organisation of the caller.
    pub organisation: OrganisationId,
    /// Identifier of the request.
    pub request: RequestId,
    /// Number of backend servers that crashed while the request ran.
    pub crashes: u32,
}

/// Refuses a request that is in quarantine, or that equals another request under suspicion.
pub fn check(
    context: &Context,
    fingerprint: &Fingerprint,
    request: &RequestId,
) -> Result<(), ErrorResponse> {
    let Some(found) = find(context, fingerprint) else {
        return Ok(());
    };
    let remaining = remaining_time(&found);
    if remaining.is_zero() || (found.suspect && found.request == request.as_str()) {
        return Ok(());
    }
    Err(if found.suspect {
        suspected(context)
    } else {
        quarantined(remaining)
    })
}

/// Waits until requests with a fingerprint are in quarantine, and returns the response to one.
pub async fn wait_until_quarantined(context: &Context, fingerprint: &Fingerprint) -> ErrorResponse {
    loop {
        let index = context.view.index();
        let found = find(context, fingerprint).filter(|q| !q.suspect);
        let remaining = found.as_ref().map_or(Duration::ZERO, remaining_time);
        if !remaining.is_zero() {
            return quarantined(remaining);
        }
        context.view.wait_newer_than(index).await;
    }
}

impl CrashTracker {
    /// First 8 bytes of the fingerprint, by which schedulers recognise equal requests.
    pub fn short_fingerprint(&self) -> u64 {
        let start = self.fingerprint.first_chunk().copied().unwrap_or_default();
        u64::from_be_bytes(start)
    }

    /// Publishes a crash to the fleet.
    ///
    /// # Errors
    /// The final response, once the request has crashed two backend servers.
    pub async fn record_crash(
        &mut self,
        context: &Rc<Context>,
        backend: &str,
        run_status: RunStatus,
    ) -> Result<(), ErrorResponse> {
        let other_entry = self.other_entry(context);
        if other_entry
            .as_ref()
            .is_some_and(|q| is_same_crash(q, backend))
        {
            // The isolated run of the other request decides for both.
            return Ok(());
        }
        self.crashes += 1;
        if self.crashes >= MAX_CRASHES || other_entry.is_some() {
            return self.quarantine(context, backend, run_status).await;
        }
        log::warn!(target: "router", "request {} is suspected of crashing a backend server", self.request);
        let duration = context.settings.suspect_duration;
        self.publish(context, backend, duration, true).await;
        // Control turns two suspect entries of different crashes into a quarantine.
        // The second entry may still be on its way.
        compio::time::sleep(ISOLATION_DELAY).await;
        match find(context, &self.fingerprint).filter(|q| !q.suspect) {
            Some(_) => self.quarantine(context, backend, run_status).await,
            None => Ok(()),
        }
    }

    async fn quarantine(
        &mut self,
        context: &Rc<Context>,
        backend: &str,
        run_status: RunStatus,
    ) -> Result<(), ErrorResponse> {
        self.crashes = MAX_CRASHES;
        let duration = context.settings.quarantine_duration;
        self.publish(context, backend, duration, false).await;
        log::error!(
            target: "router",
            "request {} of {} crashed two backend servers and is in quarantine",
            self.request, self.organisation
        );
        Err(quarantined(duration).with_run_status(run_status))
    }

    /// Withdraws the suspicion after the request completed without a crash.
    pub fn clear(&mut self, context: &Rc<Context>) {
        if self.is_suspect() {
            self.crashes = 0;
            let body = self.command("", Duration::ZERO, true);
            drop(proposal::commit_in_background(context, body));
        }
    }

    /// Whether the next run must be isolated, as the request may have caused a crash.
    pub fn is_suspect(&self) -> bool {
        self.crashes > 0 && self.crashes < MAX_CRASHES
    }

    /// Waits until the isolated run of an equal request has ended.
    pub async fn wait_for_isolated_run(&self, context: &Context) {
        loop {
            let index = context.view.index();
            let Some(other) = self.other_entry(context).filter(|q| q.suspect) else {
                return;
            };
            let remaining = remaining_time(&other);
            let change = context.view.wait_newer_than(index);
            if remaining.is_zero() || compio::time::timeout(remaining, change).await.is_err() {
                return;
            }
        }
    }

    /// The quarantine entry that an equal request caused, if there is an active one.
    fn other_entry(&self, context: &Context) -> Option<Quarantine> {
        let found = find(context, &self.fingerprint)?;
        (found.request != self.request.as_str() && found.until_ms > 0).then_some(found)
    }

    async fn publish(
        &self,
        context: &Rc<Context>,
        backend: &str,
        duration: Duration,
        is_suspect: bool,
    ) {
        let body = self.command(backend, duration, is_suspect);
        let started = Instant::now();
        let Some(applied) = proposal::commit_with_timeout(context, body).await else {
            log::warn!(target: "router", "the crash of {backend} under request {} is not committed yet", self.request);
            return;
        };
        // The caller may retry at once, so this router must apply the entry before it responds.
        let previous = Index(applied.index.saturating_sub(1));
        let applying = context.view.wait_newer_than(previous);
        let outcome = compio::time::timeout(context.settings.commit_timeout, applying).await;
        log::info!(
            target: "router",
            request = self.request.as_str(), backend = backend, suspect = is_suspect,
            index = applied.index, applied = outcome.is_ok(), took_ms = started.elapsed().as_millis();
            "a crash is recorded"
        );
    }

    fn command(&self, backend: &str, duration: Duration, is_suspect: bool) -> Body {
        let (duration, at_ms) = (long_millis(duration), unix_ms());
        let until_ms = if duration == 0 {
            0
        } else {
            at_ms.saturating_add(duration)
        };
        Body::PutQuarantine(Quarantine {
            fingerprint: self.fingerprint.to_vec(),
            organisation: self.organisation.to_string(),
            until_ms,
            request: self.request.to_string(),
            suspect: is_suspect,
            backend: backend.into(),
            at_ms,
        })
    }
}

fn find(context: &Context, fingerprint: &Fingerprint) -> Option<Quarantine> {
    let current = context.view.current();
    let listed = &current.quarantines;
    let search = listed.binary_search_by(|q| q.fingerprint.as_slice().cmp(fingerprint));
    search.ok().map(|position| listed[position].clone())
}

fn remaining_time(quarantine: &Quarantine) -> Duration {
    Duration::from_millis(quarantine.until_ms.saturating_sub(unix_ms()))
}

/// Whether a recorded crash is the one that was just noticed.
fn is_same_crash(recorded: &Quarantine, backend: &str) -> bool {
    let age = Duration::from_millis(unix_ms().saturating_sub(recorded.at_ms));
    recorded.backend == backend && age < SAME_CRASH_WINDOW
}

fn quarantined(remaining: Duration) -> ErrorResponse {
    ErrorResponse::new(
        StatusCode::UNPROCESSABLE_ENTITY,
        "quarantined",
        "this request crashed two backend servers",
        "change the request, or ask the operators to look at it",
    )
    .with_retry_after(remaining)
}

fn suspected(context: &Context) -> ErrorResponse {
    ErrorResponse::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "suspected",
        "a backend server crashed while this request ran; it is being tried alone",
        "ask again after the time in retry-after",
    )
    .with_retry_after(context.settings.retry_after)
}
