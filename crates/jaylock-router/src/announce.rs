use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use http::{Response, StatusCode};
use jaylock_observe::RunStatus;
use jaylock_rpc::v1::backend_report::Kind;
use jaylock_rpc::v1::command::Body::PutDeparture;
use jaylock_rpc::v1::{BackendReport, Departure, LoadedModel};
use jaylock_types::{
    AdapterId, BackendId, DomainId, KeyHash, ModelId, PoolId, RequestId, VersionId,
};
use serde::Deserialize;

use crate::body::Body;
use crate::call;
use crate::context::Context;
use crate::proposal;
use crate::report::check_report;
use crate::response::{ErrorResponse, json_response};

/// Maximum number of concurrent requests that a backend server may announce.
const MAX_SLOTS: u32 = 4096;
/// Maximum number of added or evicted prompt prefixes in one heartbeat.
const MAX_PREFIXES: usize = 16_384;
/// Longest wait for a scheduler's verdict on an announcement.
const VERDICT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time between two checks for a scheduler's verdict.
const VERDICT_POLL_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Deserialize)]
struct Announcement {
    id: BackendId,
    incarnation: u64,
    pool: PoolId,
    kind: AnnouncedKind,
    address: SocketAddr,
    domain: DomainId,
    #[serde(default)]
    token: CompactString,
    slots: u32,
    #[serde(default)]
    software: CompactString,
    #[serde(default)]
    checks_orders: bool,
    #[serde(default)]
    models: Vec<AnnouncedModel>,
    #[serde(default)]
    fence: u64,
    /// Time for which the backend server is still cold; unset if it doesn't say.
    cold_ms: Option<u32>,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "lowercase")]
enum AnnouncedKind {
    Engine,
    Service,
}

#[derive(Deserialize)]
struct AnnouncedModel {
    model: ModelId,
    version: VersionId,
    #[serde(default)]
    adapters: Vec<AdapterId>,
}

#[derive(Deserialize)]
struct Heartbeat {
    id: BackendId,
    incarnation: u64,
    /// Increases with each heartbeat of an incarnation, so that a late one is detected.
    #[serde(default)]
    count: u64,
    #[serde(default)]
    running: u32,
    #[serde(default)]
    waiting: u32,
    #[serde(default)]
    cached: Vec<CompactString>,
    #[serde(default)]
    evicted: Vec<CompactString>,
    models: Option<Vec<AnnouncedModel>>,
    fence: Option<u64>,
    /// Time for which the backend server is still cold; unset if it doesn't say.
    cold_ms: Option<u32>,
}

#[derive(Deserialize)]
struct Leave {
    id: BackendId,
    incarnation: u64,
}

/// Accepts the announcement of a backend server.
pub async fn announce(context: &Context, body: &Bytes) -> Result<Response<Body>, ErrorResponse> {
    call::check_connected(context)?;
    let announcement: Announcement = parse(body)?;
    if announcement.slots > MAX_SLOTS {
        return Err(malformed("slots is over 4096"));
    }
    let report = announcement.into_report();
    check_report(&report).map_err(|e| malformed(&format_compact!("{e}")))?;
    let lease = Duration::from_millis(context.settings.lease_ms.into());
    if !context.backends.accept(&report, lease) {
        return Err(identity_held(&report.id));
    }
    context.schedulers.report_backend(report.clone());
    wait_for_verdict(context, &report).await?;
    log::info!(target: "router", "backend server {} announced itself for pool {}", report.id, report.pool);
    Ok(accepted(context))
}

/// Accepts the load of a backend server that announced itself here.
pub fn heartbeat(context: &Context, body: &Bytes) -> Result<Response<Body>, ErrorResponse> {
    // A backend server that stayed with a disconnected instance would be lost to the fleet.
    call::check_connected(context)?;
    let heartbeat: Heartbeat = parse(body)?;
    let (cached, evicted) = (prefixes(&heartbeat.cached)?, prefixes(&heartbeat.evicted)?);
    let (id, incarnation) = (heartbeat.id.clone(), heartbeat.incarnation);
    let updated = context
        .backends
        .update(id.as_str(), incarnation, |report| heartbeat.apply(report))
        .map_err(|e| malformed(&format_compact!("{e}")))?;
    let report = BackendReport {
        cached,
        evicted,
        ..updated.ok_or_else(|| unknown(&id))?
    };
    let refused = refused(context, &report);
    context.schedulers.report_backend(report);
    refused.map_or_else(|| Ok(accepted(context)), Err)
}

/// Accepts a backend server's report that it is leaving, once the log holds it: nobody says it again.
pub async fn leave(context: &Rc<Context>, body: &Bytes) -> Result<Response<Body>, ErrorResponse> {
    let leave: Leave = parse(body)?;
    let removed = context
        .backends
        .remove(leave.id.as_str(), leave.incarnation);
    let report = removed.ok_or_else(|| unknown(&leave.id))?;
    log::info!(target: "router", "backend server {} is leaving", report.id);
    let departure = Departure {
        backend: report.id.clone(),
        incarnation: report.incarnation,
        pool: report.pool.clone(),
        unknown: report.incarnation == 0,
        ..Departure::default()
    };
    context.schedulers.report_backend(report);
    let committed = proposal::commit_with_timeout(context, PutDeparture(departure)).await;
    committed.ok_or_else(|| unrecorded(context))?;
    Ok(accepted(context))
}

impl Heartbeat {
    /// Applies a heartbeat to the backend server's report, unless the heartbeat is late.
    fn apply(self, report: &mut BackendReport) {
        if self.count < report.sequence {
            return;
        }
        report.sequence = self.count;
        report.running = self.running;
        report.waiting = self.waiting;
        report.cold_ms = self.cold_ms;
        if let Some(models) = self.models {
            report.models = models
                .into_iter()
                .map(AnnouncedModel::into_loaded)
                .collect();
        }
        report.fence = self.fence.unwrap_or(report.fence);
    }
}

impl Announcement {
    fn into_report(self) -> BackendReport {
        let mut report = BackendReport {
            id: self.id.into(),
            incarnation: self.incarnation,
            address: self.address.to_string(),
            domain: self.domain.into(),
            models: self
                .models
                .into_iter()
                .map(AnnouncedModel::into_loaded)
                .collect(),
            slots: self.slots,
            checks_orders: self.checks_orders,
            token_hash: KeyHash::from_key(&self.token).0.to_vec(),
            fence: self.fence,
            pool: self.pool.into(),
            software: self.software.into(),
            cold_ms: self.cold_ms,
            ..BackendReport::default()
        };
        report.set_kind(match self.kind {
            AnnouncedKind::Engine => Kind::Engine,
            AnnouncedKind::Service => Kind::Service,
        });
        report
    }
}

impl AnnouncedModel {
    fn into_loaded(self) -> LoadedModel {
        LoadedModel {
            model: self.model.into(),
            version: self.version.into(),
            adapters: self.adapters.into_iter().map(Into::into).collect(),
        }
    }
}

/// Waits for the scheduler's verdict; a later one is returned by the heartbeats.
async fn wait_for_verdict(context: &Context, report: &BackendReport) -> Result<(), ErrorResponse> {
    let started = Instant::now();
    while started.elapsed() < VERDICT_TIMEOUT {
        if let Some(error) = refused(context, report) {
            return Err(error);
        }
        if has_verdict(context, report) {
            return Ok(());
        }
        compio::time::sleep(VERDICT_POLL_INTERVAL).await;
    }
    Ok(())
}

fn has_verdict(context: &Context, report: &BackendReport) -> bool {
    let verdict = context.schedulers.backend_verdict(&report.id);
    verdict.is_some_and(|v| v.incarnation == report.incarnation)
}

fn refused(context: &Context, report: &BackendReport) -> Option<ErrorResponse> {
    let verdict = context.schedulers.backend_verdict(&report.id)?;
    let is_current = verdict.incarnation == report.incarnation;
    (is_current && !verdict.refused.is_empty()).then(|| {
        ErrorResponse::new(
            StatusCode::CONFLICT,
            "refused",
            verdict.refused,
            "announce under an identifier of your own, or once the other's lease has ended",
        )
    })
}

fn accepted(context: &Context) -> Response<Body> {
    let (heartbeat, lease) = (context.settings.heartbeat_ms, context.settings.lease_ms);
    let body = format!("{{\"heartbeat_ms\":{heartbeat},\"lease_ms\":{lease}}}");
    json_response(
        &RequestId::random(),
        StatusCode::OK,
        RunStatus::NotRun,
        body,
    )
}

fn unknown(id: &BackendId) -> ErrorResponse {
    ErrorResponse::new(
        StatusCode::NOT_FOUND,
        "unknown-backend",
        format_compact!("{id} has not announced this incarnation here"),
        "announce again",
    )
}

fn unrecorded(context: &Context) -> ErrorResponse {
    ErrorResponse::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "unrecorded",
        "control has not recorded the departure yet",
        "serve on for a few seconds; no new request is granted meanwhile",
    )
    .with_retry_after(context.settings.retry_after)
}

fn prefixes(texts: &[CompactString]) -> Result<Vec<u64>, ErrorResponse> {
    if texts.len() > MAX_PREFIXES {
        return Err(malformed("a list of prefixes has over 16384 entries"));
    }
    let parsed = texts.iter().map(|t| u64::from_str_radix(t, 16));
    let parsed: Result<Vec<u64>, _> = parsed.collect();
    parsed.map_err(|_| malformed("a prefix is not 16 hexadecimal digits"))
}

fn parse<'a, T: Deserialize<'a>>(body: &'a Bytes) -> Result<T, ErrorResponse> {
    serde_json::from_slice(body).map_err(|error| malformed(&format_compact!("{error}")))
}

fn malformed(reason: &str) -> ErrorResponse {
    ErrorResponse::new(
        StatusCode::BAD_REQUEST,
        "malformed",
        reason,
        "send the JSON form that docs/operators/requests.md shows",
    )
}

fn identity_held(id: &str) -> ErrorResponse {
    ErrorResponse::new(
        StatusCode::CONFLICT,
        "identity-held",
        format_compact!("{id} is held by another backend server"),
        "announce under an identifier of your own, or once the other's lease has ended",
    )
}
