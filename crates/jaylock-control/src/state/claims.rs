use compact_str::CompactString;
use jaylock_rpc::v1::applied::Result as Applied;
use jaylock_rpc::v1::claim_state::Kind;
use jaylock_rpc::v1::{Claim, ClaimState, Configuration, Done, ReleaseClaim, Settle};
use sha2::{Digest, Sha256};

use super::answers::key_time;
use super::fleet::find_instance;
use crate::storage::{ClaimRecord, Outcome};

/// How long a claim is remembered whose key carries its time, ms.
const RETENTION_MS: u64 = 7 * 24 * 3600 * 1000;

/// Time between two searches for expired claims, ms.
const SWEEP_MS: u64 = 60_000;

/// Claims of one organisation.
const ORGANISATION_LIMIT: usize = 20_000;

/// Bytes of the answers that are kept, over all organisations.
const BODY_LIMIT: usize = 8 << 20;

/// Claims are spread by the first byte of their digest, which keeps each sorted list short.
const SHARDS: usize = 256;

/// Requests that may not be repeated, and how they ended.
///
/// A claim whose key is a UUID of version 7 is forgotten once the time within the key is older
/// than the retention, and such a key is refused as expired from then on. Every other key is kept
/// for ever. An organisation at its bound claims nothing new; the oldest copies of answers are
/// dropped first.
#[derive(Debug)]
pub struct Claims {
    /// Each sorted by digest.
    shards: Vec<Vec<ClaimRecord>>,
    /// Sorted by organisation.
    counts: Vec<(CompactString, usize)>,
    body_bytes: usize,
    swept_ms: u64,
}

impl Default for Claims {
    fn default() -> Self {
        Self {
            shards: vec![Vec::new(); SHARDS],
            counts: Vec::new(),
            body_bytes: 0,
            swept_ms: 0,
        }
    }
}

impl Claims {
    pub fn restore(records: Vec<ClaimRecord>, swept_ms: u64) -> Self {
        let mut claims = Self {
            swept_ms,
            ..Self::default()
        };
        for record in records {
            claims.body_bytes += body_length(&record);
            claims.insert(record);
        }
        claims
    }

    /// Every claim, sorted by digest.
    pub fn records(&self) -> Vec<ClaimRecord> {
        self.shards.iter().flatten().cloned().collect()
    }

    pub fn swept_ms(&self) -> u64 {
        self.swept_ms
    }

    /// Claims a key for a router, or tells who has it.
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
        if let Some(known) = self.find(&digest) {
            return Ok(Applied::Claim(known_state(known, claim)));
        }
        let router = find_instance(configuration, &claim.router);
        if router.is_none_or(|i| i.incarnation != claim.incarnation) {
            return Err(format!(
                "the lease of instance {} has ended: renew it first",
                claim.router
            ));
        }
        let key_ms = key_time(&claim.key).unwrap_or(0);
        if is_expired(key_ms, at_ms) {
            return Ok(Applied::Claim(state(Kind::Expired)));
        }
        if self.count(&claim.organisation) >= ORGANISATION_LIMIT {
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
            lost: false,
            outcome: None,
        });
        Ok(Applied::Claim(ClaimState {
            request: claim.request.clone(),
            ..state(Kind::Granted)
        }))
    }

    /// Records how a claimed request ended; only the first outcome counts.
    pub fn settle(&mut self, settle: &Settle) -> Result<Applied, String> {
        let digest = digest(&settle.organisation, &settle.key);
        let Some(record) = self.find_mut(&digest) else {
            return Err("there is no such claim".into());
        };
        if record.router != settle.router || record.incarnation != settle.incarnation {
            return Err("another router holds the claim".into());
        }
        if record.outcome.is_none() {
            record.outcome = Some(Outcome {
                known: settle.known,
                status: settle.status,
                content_type: settle.content_type.clone(),
                body: settle.body.clone(),
                body_dropped: settle.body_dropped,
            });
            self.body_bytes += settle.body.len();
            self.drop_bodies();
        }
        Ok(Applied::Done(Done {}))
    }

    /// Gives a claim back whose request never left.
    pub fn release(&mut self, release: &ReleaseClaim) -> Result<Applied, String> {
        let digest = digest(&release.organisation, &release.key);
        let Some(record) = self.find(&digest) else {
            return Ok(Applied::Done(Done {}));
        };
        if record.router != release.router || record.incarnation != release.incarnation {
            return Err("another router holds the claim".into());
        }
        // A release that was held up may come after a later request of its router took the key.
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

    /// Marks the open claims of a router's starts up to an incarnation as lost.
    pub fn lose(&mut self, router: &str, incarnation: u64) {
        let open = |r: &&mut ClaimRecord| r.outcome.is_none() && r.router == router;
        for record in self.shards.iter_mut().flatten().filter(open) {
            if record.incarnation <= incarnation {
                record.lost = true;
            }
        }
    }

    /// Forgets claims whose keys can't come again.
    pub fn sweep(&mut self, at_ms: u64) {
        if at_ms < self.swept_ms + SWEEP_MS {
            return;
        }
        self.swept_ms = at_ms;
        let mut gone = Vec::new();
        for shard in &mut self.shards {
            gone.extend(shard.extract_if(.., |r| is_expired(r.key_ms, at_ms)));
        }
        for record in gone {
            self.uncount(&record);
        }
    }

    fn drop_bodies(&mut self) {
        while self.body_bytes > BODY_LIMIT {
            let held = self.shards.iter_mut().flatten();
            let oldest = held
                .filter(|r| body_length(r) > 0)
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
        let at = self
            .counts
            .binary_search_by(|(o, _)| o.as_str().cmp(organisation));
        at.map_or(0, |at| self.counts[at].1)
    }

    fn insert(&mut self, record: ClaimRecord) {
        let organisation = CompactString::from(&record.organisation);
        match self.counts.binary_search_by(|(o, _)| o.cmp(&organisation)) {
            Ok(at) => self.counts[at].1 += 1,
            Err(at) => self.counts.insert(at, (organisation, 1)),
        }
        let shard = &mut self.shards[usize::from(record.digest[0])];
        if let Err(at) = shard.binary_search_by(|r| r.digest.cmp(&record.digest)) {
            shard.insert(at, record);
        }
    }

    fn remove(&mut self, digest: &[u8]) {
        let shard = &mut self.shards[usize::from(digest[0])];
        if let Ok(at) = shard.binary_search_by(|r| r.digest.as_slice().cmp(digest)) {
            let record = shard.remove(at);
            self.uncount(&record);
        }
    }

    fn uncount(&mut self, record: &ClaimRecord) {
        self.body_bytes -= body_length(record);
        let organisation = record.organisation.as_str();
        if let Ok(at) = self
            .counts
            .binary_search_by(|(o, _)| o.as_str().cmp(organisation))
        {
            self.counts[at].1 -= 1;
            if self.counts[at].1 == 0 {
                self.counts.remove(at);
            }
        }
    }

    fn find(&self, digest: &[u8]) -> Option<&ClaimRecord> {
        let shard = &self.shards[usize::from(digest[0])];
        let at = shard
            .binary_search_by(|r| r.digest.as_slice().cmp(digest))
            .ok()?;
        shard.get(at)
    }

    fn find_mut(&mut self, digest: &[u8]) -> Option<&mut ClaimRecord> {
        let shard = &mut self.shards[usize::from(digest[0])];
        let at = shard
            .binary_search_by(|r| r.digest.as_slice().cmp(digest))
            .ok()?;
        shard.get_mut(at)
    }
}

/// What the sender of a claim hears when the key is known.
fn known_state(known: &ClaimRecord, claim: &Claim) -> ClaimState {
    if known.fingerprint != claim.fingerprint {
        return state(Kind::Mismatch);
    }
    let kind = match &known.outcome {
        Some(outcome) if outcome.known => Kind::Settled,
        Some(_) => Kind::Unknown,
        None if known.lost => Kind::Unknown,
        None if is_same_try(known, claim) => Kind::Granted,
        None => Kind::Pending,
    };
    ClaimState {
        outcome: known.outcome.as_ref().map(|o| settled(known, o, claim)),
        request: known.request.clone(),
        ..state(kind)
    }
}

fn is_same_try(known: &ClaimRecord, claim: &Claim) -> bool {
    known.router == claim.router
        && known.incarnation == claim.incarnation
        && known.request == claim.request
}

fn settled(known: &ClaimRecord, outcome: &Outcome, claim: &Claim) -> Settle {
    Settle {
        organisation: claim.organisation.clone(),
        key: claim.key.clone(),
        router: known.router.clone(),
        incarnation: known.incarnation,
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

fn body_length(record: &ClaimRecord) -> usize {
    record.outcome.as_ref().map_or(0, |o| o.body.len())
}

fn digest(organisation: &str, key: &str) -> Vec<u8> {
    let mut hasher = Sha256::new();
    hasher.update(organisation.as_bytes());
    hasher.update([0]);
    hasher.update(key.as_bytes());
    hasher.finalize().to_vec()
}
