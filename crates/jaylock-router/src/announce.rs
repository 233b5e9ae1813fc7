use std::cell::RefCell;
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
use crate::router::Shared;

/// Most requests at once that a backend server may announce.
const SLOT_LIMIT: u32 = 4096;
/// Longest wait for a scheduler's word on an announcement.
const VERDICT_WAIT: Duration = Duration::from_millis(400);
/// Time between two looks for that word.
const VERDICT_STEP: Duration = Duration::from_millis(5);

/// The backend servers that announced themselves here, sorted by identifier.
#[derive(Default)]
pub struct Backends {
    known: RefCell<Vec<Known>>,
}

struct Known {
    report: BackendReport,
    heard: Instant,
}

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
pub async fn announce(shared: &Shared, body: &Bytes) -> Result<Response<Body>, Refusal> {
    call::check_connected(shared)?;
    let announcement: Announcement = parse(body)?;
    if announcement.slots > SLOT_LIMIT {
        return Err(malformed("slots is over 4096"));
    }
    let report = announcement.into_report();
    let lease = Duration::from_millis(shared.settings.lease_ms.into());
    shared.backends.accept(&report, lease)?;
    shared.capacity.report(report.clone());
    verdict(shared, &report).await?;
    log::info!(target: "router", "backend server {} announced itself for pool {}", report.id, report.pool);
    Ok(welcome(shared))
}

/// Takes the load of a backend server that announced itself here.
pub fn heartbeat(shared: &Shared, body: &Bytes) -> Result<Response<Body>, Refusal> {
    // A backend server that stays with an instance that is cut off is lost to the others.
    call::check_connected(shared)?;
    let heartbeat: Heartbeat = parse(body)?;
    let report = shared.backends.update(heartbeat)?;
    let refused = refused(shared, &report);
    shared.capacity.report(report);
    refused.map_or_else(|| Ok(welcome(shared)), Err)
}

/// Takes a backend server's word that it leaves.
pub fn leave(shared: &Shared, body: &Bytes) -> Result<Response<Body>, Refusal> {
    let leave: Leave = parse(body)?;
    let report = shared.backends.remove(&leave)?;
    log::info!(target: "router", "backend server {} leaves", report.id);
    shared.capacity.report(report);
    Ok(welcome(shared))
}

impl Backends {
    fn accept(&self, report: &BackendReport, lease: Duration) -> Result<(), Refusal> {
        let mut known = self.known.borrow_mut();
        known.retain(|k| k.heard.elapsed() <= lease);
        let fresh = Known {
            report: report.clone(),
            heard: Instant::now(),
        };
        match known.binary_search_by(|k| k.report.id.cmp(&report.id)) {
            Ok(at) if is_held(&known[at].report, report) => Err(held(&report.id)),
            Ok(at) => {
                known[at] = fresh;
                Ok(())
            }
            Err(at) => {
                known.insert(at, fresh);
                Ok(())
            }
        }
    }

    fn update(&self, heartbeat: Heartbeat) -> Result<BackendReport, Refusal> {
        let mut known = self.known.borrow_mut();
        let at = position(&known, &heartbeat.id, heartbeat.incarnation)?;
        let entry = &mut known[at];
        entry.heard = Instant::now();
        let report = &mut entry.report;
        report.running = heartbeat.running;
        report.waiting = heartbeat.waiting;
        if let Some(models) = heartbeat.models {
            report.models = models
                .into_iter()
                .map(AnnouncedModel::into_loaded)
                .collect();
        }
        report.fence = heartbeat.fence.unwrap_or(report.fence);
        let mut full = report.clone();
        full.cached = prefixes(&heartbeat.cached)?;
        full.evicted = prefixes(&heartbeat.evicted)?;
        Ok(full)
    }

    fn remove(&self, leave: &Leave) -> Result<BackendReport, Refusal> {
        let mut known = self.known.borrow_mut();
        let at = position(&known, &leave.id, leave.incarnation)?;
        let mut report = known.remove(at).report;
        report.leaving = true;
        Ok(report)
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
async fn verdict(shared: &Shared, report: &BackendReport) -> Result<(), Refusal> {
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

fn is_judged(shared: &Shared, report: &BackendReport) -> bool {
    let verdict = shared.capacity.verdict(&report.id);
    verdict.is_some_and(|v| v.incarnation == report.incarnation)
}

fn refused(shared: &Shared, report: &BackendReport) -> Option<Refusal> {
    let verdict = shared.capacity.verdict(&report.id)?;
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

fn welcome(shared: &Shared) -> Response<Body> {
    let (heartbeat, lease) = (shared.settings.heartbeat_ms, shared.settings.lease_ms);
    let body = format!("{{\"heartbeat_ms\":{heartbeat},\"lease_ms\":{lease}}}");
    json(&RequestId::random(), StatusCode::OK, Run::NotRun, body)
}

/// Whether an identifier belongs to another process, or to a later start of the same one.
fn is_held(known: &BackendReport, report: &BackendReport) -> bool {
    known.token_hash != report.token_hash || known.incarnation > report.incarnation
}

fn position(known: &[Known], id: &BackendId, incarnation: u64) -> Result<usize, Refusal> {
    let found = known.binary_search_by(|k| k.report.id.as_str().cmp(id.as_str()));
    let found = found
        .ok()
        .filter(|at| known[*at].report.incarnation == incarnation);
    found.ok_or_else(|| {
        Refusal::not_run(
            StatusCode::NOT_FOUND,
            "unknown-backend",
            format_compact!("{id} has not announced this incarnation here"),
            "announce again",
        )
    })
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
