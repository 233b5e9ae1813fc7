use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use http::{Response, StatusCode};
use jaylock_observe::Run;
use jaylock_rpc::v1::backend_report::Kind;
use jaylock_rpc::v1::{BackendReport, LoadedModel};
use jaylock_types::{
    AdapterId, BackendId, DomainId, KeyHash, ModelId, PoolId, RequestId, VersionId,
};
use serde::Deserialize;

use crate::answer::{Refusal, json};
use crate::body::Body;
use crate::call;
use crate::context::Context;

/// Most requests at once that a backend server may announce.
const SLOT_LIMIT: u32 = 4096;
/// Longest wait for a scheduler's word on an announcement.
const VERDICT_WAIT: Duration = Duration::from_millis(400);
/// Time between two looks for that word.
const VERDICT_STEP: Duration = Duration::from_millis(5);

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
    checks_orders: bool,
    #[serde(default)]
    models: Vec<AnnouncedModel>,
    #[serde(default)]
    fence: u64,
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
    /// Grows with each heartbeat of a start, so that a late one is known.
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
}

#[derive(Deserialize)]
struct Leave {
    id: BackendId,
    incarnation: u64,
}

/// Takes the announcement of a backend server.
pub async fn announce(shared: &Context, body: &Bytes) -> Result<Response<Body>, Refusal> {
    call::check_connected(shared)?;
    let announcement: Announcement = parse(body)?;
    if announcement.slots > SLOT_LIMIT {
        return Err(malformed("slots is over 4096"));
    }
    let report = announcement.into_report();
    let lease = Duration::from_millis(shared.settings.lease_ms.into());
    if !shared.backends.accept(&report, lease) {
        return Err(held(&report.id));
    }
    shared.schedulers.report_backend(report.clone());
    verdict(shared, &report).await?;
    log::info!(target: "router", "backend server {} announced itself for pool {}", report.id, report.pool);
    Ok(welcome(shared))
}

/// Takes the load of a backend server that announced itself here.
pub fn heartbeat(shared: &Context, body: &Bytes) -> Result<Response<Body>, Refusal> {
    // A backend server that stays with an instance that is cut off is lost to the others.
    call::check_connected(shared)?;
    let heartbeat: Heartbeat = parse(body)?;
    let (cached, evicted) = (prefixes(&heartbeat.cached)?, prefixes(&heartbeat.evicted)?);
    let (id, incarnation) = (heartbeat.id.clone(), heartbeat.incarnation);
    let updated = shared
        .backends
        .update(id.as_str(), incarnation, |report| heartbeat.apply(report));
    let report = BackendReport {
        cached,
        evicted,
        ..updated.ok_or_else(|| unknown(&id))?
    };
    let refused = refused(shared, &report);
    shared.schedulers.report_backend(report);
    refused.map_or_else(|| Ok(welcome(shared)), Err)
}

/// Takes a backend server's word that it leaves.
pub fn leave(shared: &Context, body: &Bytes) -> Result<Response<Body>, Refusal> {
    let leave: Leave = parse(body)?;
    let removed = shared.backends.remove(leave.id.as_str(), leave.incarnation);
    let report = removed.ok_or_else(|| unknown(&leave.id))?;
    log::info!(target: "router", "backend server {} leaves", report.id);
    shared.schedulers.report_backend(report);
    Ok(welcome(shared))
}

impl Heartbeat {
    /// Puts what is told in the place of what was known, unless it is late.
    fn apply(self, report: &mut BackendReport) {
        if self.count < report.sequence {
            return;
        }
        report.sequence = self.count;
        report.running = self.running;
        report.waiting = self.waiting;
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
            token_hash: KeyHash::of(&self.token).0.to_vec(),
            fence: self.fence,
            pool: self.pool.into(),
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

/// Waits for the scheduler's word; without one the heartbeats bring it.
async fn verdict(shared: &Context, report: &BackendReport) -> Result<(), Refusal> {
    let asked = Instant::now();
    while asked.elapsed() < VERDICT_WAIT {
        if let Some(refusal) = refused(shared, report) {
            return Err(refusal);
        }
        if is_judged(shared, report) {
            return Ok(());
        }
        compio::time::sleep(VERDICT_STEP).await;
    }
    Ok(())
}

fn is_judged(shared: &Context, report: &BackendReport) -> bool {
    let verdict = shared.schedulers.backend_verdict(&report.id);
    verdict.is_some_and(|v| v.incarnation == report.incarnation)
}

fn refused(shared: &Context, report: &BackendReport) -> Option<Refusal> {
    let verdict = shared.schedulers.backend_verdict(&report.id)?;
    let is_about = verdict.incarnation == report.incarnation;
    (is_about && !verdict.refused.is_empty()).then(|| {
        Refusal::not_run(
            StatusCode::CONFLICT,
            "refused",
            verdict.refused,
            "announce under an identifier of your own, or once the other's lease has ended",
        )
    })
}

fn welcome(shared: &Context) -> Response<Body> {
    let (heartbeat, lease) = (shared.settings.heartbeat_ms, shared.settings.lease_ms);
    let body = format!("{{\"heartbeat_ms\":{heartbeat},\"lease_ms\":{lease}}}");
    json(&RequestId::random(), StatusCode::OK, Run::NotRun, body)
}

fn unknown(id: &BackendId) -> Refusal {
    Refusal::not_run(
        StatusCode::NOT_FOUND,
        "unknown-backend",
        format_compact!("{id} has not announced this incarnation here"),
        "announce again",
    )
}

fn prefixes(texts: &[CompactString]) -> Result<Vec<u64>, Refusal> {
    let parsed = texts.iter().map(|t| u64::from_str_radix(t, 16));
    let parsed: Result<Vec<u64>, _> = parsed.collect();
    parsed.map_err(|_| malformed("a prefix is not 16 hexadecimal digits"))
}

fn parse<'a, T: Deserialize<'a>>(body: &'a Bytes) -> Result<T, Refusal> {
    serde_json::from_slice(body).map_err(|error| malformed(&format_compact!("{error}")))
}

fn malformed(reason: &str) -> Refusal {
    Refusal::not_run(
        StatusCode::BAD_REQUEST,
        "malformed",
        reason,
        "send the JSON form that docs/operators/requests.md shows",
    )
}

fn held(id: &str) -> Refusal {
    Refusal::not_run(
        StatusCode::CONFLICT,
        "identity-held",
        format_compact!("{id} is held by another backend server"),
        "announce under an identifier of your own, or once the other's lease has ended",
    )
}
