use bytes::Bytes;
use jaylock_rpc::v1::{Applied, Configuration, Event};
use prost::Message;

/// Entries that were written and synced together.
#[derive(Clone, PartialEq, Message)]
pub struct EntryBatch {
    /// Each entry in its encoding.
    #[prost(bytes = "bytes", repeated, tag = "1")]
    pub entries: Vec<Bytes>,
}

/// Generation, term and vote of a replica.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct HardState {
    /// Identifies the disk; a replica that joins a group with an empty disk gets a new generation.
    #[prost(uint64, tag = "1")]
    pub generation: u64,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Candidate that got the vote in this term; empty if no vote was given.
    #[prost(string, tag = "3")]
    pub voted_for: String,
    /// Sorted addresses of the seeds, if the disk is in use since the first start of the fleet and belongs to one of them.
    #[prost(string, repeated, tag = "4")]
    pub first_seeds: Vec<String>,
}

/// The state after an entry, as it is stored and sent to other replicas.
#[derive(Clone, PartialEq, Message)]
pub struct Snapshot {
    #[prost(uint64, tag = "1")]
    pub index: u64,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    #[prost(uint64, tag = "3")]
    pub at_ms: u64,
    #[prost(message, optional, tag = "4")]
    pub configuration: Option<Configuration>,
    /// Oldest first.
    #[prost(message, repeated, tag = "5")]
    pub results: Vec<StoredResult>,
    /// Time of the newest result that was evicted.
    #[prost(uint64, tag = "6")]
    pub evicted_ms: u64,
    #[prost(message, repeated, tag = "7")]
    pub claims: Vec<ClaimRecord>,
    /// Oldest first.
    #[prost(message, repeated, tag = "8")]
    pub events: Vec<Event>,
    /// When expired claims were last removed.
    #[prost(uint64, tag = "9")]
    pub last_sweep_ms: u64,
    /// Source text of the active document.
    #[prost(bytes = "bytes", tag = "10")]
    pub document_source: Bytes,
}

/// The result of a command, stored so that a retry gets the same result.
#[derive(Clone, PartialEq, Message)]
pub struct StoredResult {
    #[prost(string, tag = "1")]
    pub id: String,
    #[prost(message, optional, tag = "2")]
    pub applied: Option<Applied>,
    #[prost(uint64, tag = "3")]
    pub at_ms: u64,
}

/// A stored claim.
#[derive(Clone, PartialEq, Message)]
pub struct ClaimRecord {
    /// SHA-256 of organisation and key.
    #[prost(bytes = "vec", tag = "1")]
    pub digest: Vec<u8>,
    #[prost(string, tag = "2")]
    pub organisation: String,
    #[prost(bytes = "vec", tag = "3")]
    pub fingerprint: Vec<u8>,
    #[prost(string, tag = "4")]
    pub router: String,
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
    #[prost(string, tag = "6")]
    pub request: String,
    #[prost(uint64, tag = "7")]
    pub at_ms: u64,
    /// Time embedded in the key; 0 if the key has none.
    #[prost(uint64, tag = "8")]
    pub key_ms: u64,
    /// Whether the lease of the router ended before an outcome was recorded.
    #[prost(bool, tag = "9")]
    pub orphaned: bool,
    #[prost(message, optional, tag = "10")]
    pub outcome: Option<ClaimOutcome>,
}

/// The stored outcome of a claimed request.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ClaimOutcome {
    #[prost(bool, tag = "1")]
    pub known: bool,
    #[prost(uint32, tag = "2")]
    pub status: u32,
    #[prost(string, tag = "3")]
    pub content_type: String,
    #[prost(bytes = "vec", tag = "4")]
    pub body: Vec<u8>,
    #[prost(bool, tag = "5")]
    pub body_dropped: bool,
}
