use compact_str::CompactString;
use jaylock_rpc::v1::applied::Result as Applied;
use jaylock_rpc::v1::claim_state::Kind;
use jaylock_rpc::v1::{Claim, ClaimState, Configuration, Done, ReleaseClaim, Settle};
use sha2::{Digest, Sha256};

use super::fleet::find_instance;
use super::results::uuid_time_ms;
use crate::storage::{ClaimOutcome, ClaimRecord};

/// How long a claim with a version 7 UUID as key is kept after the time in the key.
const RETENTION_MS: u64 = 7 * 24 * 3600 * 1000;

/// Minimum time between two removals of expired claims.
const SWEEP_INTERVAL_MS: u64 = 60_000;

/// Maximum number of claims of one organisation.
const MAX_CLAIMS_PER_ORGANISATION: usize = 20_000;

/// Maximum total size of the stored response bodies of all organisations.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Number of sorted lists of claims, one for each first byte of the digest, to keep them short.
const SHARDS: usize = 256;

/// Claims of non-idempotent requests, and their outcomes.
///
/// A claim whose key is a version 7 UUID is removed once the time in the key is older than
/// `RETENTION_MS`; from then on the key is refused as expired. Claims with other keys are kept
/// forever. An organisation that has its maximum number of claims gets no new one. When the stored
/// response bodies exceed their maximum size, the oldest are dropped.
#[derive(Debug)]
pub struct Claims {
    /// Each sorted by digest.
    shards: Vec<Vec<ClaimRecord>>,
    /// Sorted by organisation.
    counts: Vec<(CompactString, usize)>,
    body_bytes: usize,
    last_sweep_ms: u64,
}

impl Default for Claims {
    fn default() -> Self {
        Self {
            shards: vec![Vec::new(); SHARDS],
            counts: Vec::new(),
            body_bytes: 0,
            last_sweep_ms: 0,
        }
    }
}

impl Claims {
    pub fn restore(records: Vec<ClaimRecord>, last_sweep_ms: u64) -> Self {
        let mut claims = Self {
            last_sweep_ms,
            ..Self::default()
        };
        for record in records {
            claims.body_bytes += body_bytes_of(&record);
            claims.insert(record);
        }
        claims
    }

    /// Every claim, sorted by digest.
    pub fn records(&self) -> Vec<ClaimRecord> {
        self.shards.iter().flatten().cloned().collect()
    }

    pub fn last_sweep_ms(&self) -> u64 {
        self.last_sweep_ms
    }

    /// Claims a key for a router, or returns the state of the existing claim.
    pub fn claim(
        &mut self,
        claim: &Claim,
        at_ms: u64,
        configuration: &Configuration,
    ) -> Result<Applied, String> {
        if claim.key.is_empty() || claim.organisation.is_empty() {
            return Err("a claim needs an organisation and a key".into());
        }
        let digest = digest(&claim.organisation, &claim.key);
        if let Some(existing) = self.find(&digest) {
            return Ok(Applied::Claim(existing_state(existing, claim)));
        }
        let router = find_instance(configuration, &claim.router);
        if router.is_none_or(|i| i.incarnation != claim.incarnation) {
            return Err(format!(
                "the lease of instance {} has ended: renew it first",
                claim.router
            ));
        }
        let key_ms = uuid_time_ms(&claim.key).unwrap_or(0);
        if is_expired(key_ms, at_ms) {
            return Ok(Applied::Claim(state(Kind::Expired)));
        }
        if self.count(&claim.organisation) >= MAX_CLAIMS_PER_ORGANISATION {
            return Ok(Applied::Claim(state(Kind::Full)));
        }
        self.insert(ClaimRecord {
            digest,
            organisation: claim.organisation.clone(),
            fingerprint: claim.fingerprint.clone(),
            router: claim.router.clone(),
            incarnation: claim.incarnation,
            request: claim.request.clone(),
            at_ms,
            key_ms,
            orphaned: false,
            outcome: None,
        });
        Ok(Applied::Claim(ClaimState {
            request: claim.request.clone(),
            ..state(Kind::Granted)
        }))
    }

    /// Records the outcome of a claimed request; only the first outcome counts.
    pub fn settle(&mut self, settle: &Settle) -> Result<Applied, String> {
        let digest = digest(&settle.organisation, &settle.key);
        let Some(record) = self.find_mut(&digest) else {
            return Err("there is no such claim".into());
        };
        if record.router != settle.router || record.incarnation != settle.incarnation {
            return Err("another router holds the claim".into());
        }
        if record.outcome.is_none() {
            record.outcome = Some(ClaimOutcome {
                known: settle.known,
                status: settle.status,
                content_type: settle.content_type.clone(),
                body: settle.body.clone(),
                body_dropped: settle.body_dropped,
            });
            self.body_bytes += settle.body.len();
            self.evict_bodies();
        }
        Ok(Applied::Done(Done {}))
    }

    /// Removes the claim of a request that was never sent to a backend server.
    pub fn release(&mut self, release: &ReleaseClaim) -> Result<Applied, String> {
        let digest = digest(&release.organisation, &release.key);
        let Some(record) = self.find(&digest) else {
            return Ok(Applied::Done(Done {}));
        };
        if record.router != release.router || record.incarnation != release.incarnation {
            return Err("another router holds the claim".into());
        }
        // A delayed release may arrive after a later request of the same router claimed the key.
        if record.request != release.request {
            return Ok(Applied::Done(Done {}));
        }
        if record.outcome.is_some() {
            return Err("the claim is settled".into());
        }
        if record.request != release.request {
            return Err("another request holds the claim".into());
        }
        self.remove(&digest);
        Ok(Applied::Done(Done {}))
    }

    /// Marks claims without outcome as orphaned: those of a router up to an incarnation.
    pub fn orphan(&mut self, router: &str, incarnation: u64) {
        let is_open = |r: &&mut ClaimRecord| r.outcome.is_none() && r.router == router;
        for record in self.shards.iter_mut().flatten().filter(is_open) {
            if record.incarnation <= incarnation {
                record.orphaned = true;
            }
        }
    }

    /// Removes claims whose keys are expired.
    pub fn sweep(&mut self, at_ms: u64) {
        if at_ms < self.last_sweep_ms + SWEEP_INTERVAL_MS {
            return;
        }
        self.last_sweep_ms = at_ms;
        let mut expired = Vec::new();
        for shard in &mut self.shards {
            expired.extend(shard.extract_if(.., |r| is_expired(r.key_ms, at_ms)));
        }
        for record in expired {
            self.subtract(&record);
        }
    }

    fn evict_bodies(&mut self) {
        while self.body_bytes > MAX_BODY_BYTES {
            let records = self.shards.iter_mut().flatten();
            let oldest = records
                .filter(|r| body_bytes_of(r) > 0)
                .min_by(|a, b| (a.at_ms, &a.digest).cmp(&(b.at_ms, &b.digest)));
            let Some(outcome) = oldest.and_then(|r| r.outcome.as_mut()) else {
                return;
            };
            self.body_bytes -= outcome.body.len();
            outcome.body = Vec::new();
            outcome.body_dropped = true;
        }
    }

    fn count(&self, organisation: &str) -> usize {
        let position = self
            .counts
            .binary_search_by(|(o, _)| o.as_str().cmp(organisation));
        position.map_or(0, |position| self.counts[position].1)
    }

    fn insert(&mut self, record: ClaimRecord) {
        let organisation = CompactString::from(&record.organisation);
        match self.counts.binary_search_by(|(o, _)| o.cmp(&organisation)) {
            Ok(position) => self.counts[position].1 += 1,
            Err(position) => self.counts.insert(position, (organisation, 1)),
        }
        let shard = &mut self.shards[usize::from(record.digest[0])];
        if let Err(position) = shard.binary_search_by(|r| r.digest.cmp(&record.digest)) {
            shard.insert(position, record);
        }
    }

    fn remove(&mut self, digest: &[u8]) {
        let shard = &mut self.shards[usize::from(digest[0])];
        if let Ok(position) = shard.binary_search_by(|r| r.digest.as_slice().cmp(digest)) {
            let record = shard.remove(position);
            self.subtract(&record);
        }
    }

    fn subtract(&mut self, record: &ClaimRecord) {
        self.body_bytes -= body_bytes_of(record);
        let organisation = record.organisation.as_str();
        if let Ok(position) = self
            .counts
            .binary_search_by(|(o, _)| o.as_str().cmp(organisation))
        {
            self.counts[position].1 -= 1;
            if self.counts[position].1 == 0 {
                self.counts.remove(position);
            }
        }
    }

    fn find(&self, digest: &[u8]) -> Option<&ClaimRecord> {
        let shard = &self.shards[usize::from(digest[0])];
        let position = shard
            .binary_search_by(|r| r.digest.as_slice().cmp(digest))
            .ok()?;
        shard.get(position)
    }

    fn find_mut(&mut self, digest: &[u8]) -> Option<&mut ClaimRecord> {
        let shard = &mut self.shards[usize::from(digest[0])];
        let position = shard
            .binary_search_by(|r| r.digest.as_slice().cmp(digest))
            .ok()?;
        shard.get_mut(position)
    }
}

/// The reply to a claim whose key is already claimed.
fn existing_state(existing: &ClaimRecord, claim: &Claim) -> ClaimState {
    if existing.fingerprint != claim.fingerprint {
        return state(Kind::Mismatch);
    }
    let kind = match &existing.outcome {
        Some(outcome) if outcome.known => Kind::Settled,
        Some(_) => Kind::Unknown,
        None if existing.orphaned => Kind::Unknown,
        None if is_same_attempt(existing, claim) => Kind::Granted,
        None => Kind::Pending,
    };
    ClaimState {
        outcome: existing
            .outcome
            .as_ref()
            .map(|o| stored_outcome(existing, o, claim)),
        request: existing.request.clone(),
        ..state(kind)
    }
}

fn is_same_attempt(existing: &ClaimRecord, claim: &Claim) -> bool {
    existing.router == claim.router
        && existing.incarnation == claim.incarnation
        && existing.request == claim.request
}

fn stored_outcome(existing: &ClaimRecord, outcome: &ClaimOutcome, claim: &Claim) -> Settle {
    Settle {
        organisation: claim.organisation.clone(),
        key: claim.key.clone(),
        router: existing.router.clone(),
        incarnation: existing.incarnation,
        known: outcome.known,
        status: outcome.status,
        content_type: outcome.content_type.clone(),
        body: outcome.body.clone(),
        body_dropped: outcome.body_dropped,
    }
}

fn state(kind: Kind) -> ClaimState {
    ClaimState {
        kind: kind.into(),
        ..ClaimState::default()
    }
}

fn is_expired(key_ms: u64, at_ms: u64) -> bool {
    key_ms > 0 && key_ms + RETENTION_MS < at_ms
}

fn body_bytes_of(record: &ClaimRecord) -> usize {
    record.outcome.as_ref().map_or(0, |o| o.body.len())
}

fn digest(organisation: &str, key: &str) -> Vec<u8> {
    let mut hasher = Sha256::new();
    hasher.update(organisation.as_bytes());
    hasher.update([0]);
    hasher.update(key.as_bytes());
    hasher.finalize().to_vec()
}
