use jaylock_rpc::v1::{Applied, Configuration, Entry, Event};
use prost::Message;

/// Entries that were written and synced together.
#[derive(Clone, PartialEq, Message)]
pub struct EntryBatch {
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<Entry>,
}

/// Generation, term and vote of a replica.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct HardState {
    #[prost(uint64, tag = "1")]
    pub generation: u64,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Candidate that has the vote of this term; empty when none has.
    #[prost(string, tag = "3")]
    pub voted_for: String,
}

/// The state up to an entry, as it is stored and sent.
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
    pub answers: Vec<Answer>,
    /// Time of the newest answer that was forgotten.
    #[prost(uint64, tag = "6")]
    pub forgotten_ms: u64,
    #[prost(message, repeated, tag = "7")]
    pub claims: Vec<ClaimRecord>,
    /// Oldest first.
    #[prost(message, repeated, tag = "8")]
    pub events: Vec<Event>,
    /// When claims were last searched for expired ones.
    #[prost(uint64, tag = "9")]
    pub swept_ms: u64,
    /// The document in force as its author wrote it.
    #[prost(bytes = "vec", tag = "10")]
    pub source: Vec<u8>,
}

/// What became of a command.
#[derive(Clone, PartialEq, Message)]
pub struct Answer {
    #[prost(string, tag = "1")]
    pub id: String,
    #[prost(message, optional, tag = "2")]
    pub applied: Option<Applied>,
    #[prost(uint64, tag = "3")]
    pub at_ms: u64,
}

/// A claim, as it is stored.
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
    /// Time within the key; 0 when it carries none.
    #[prost(uint64, tag = "8")]
    pub key_ms: u64,
    /// Whether its router's lease ended before the outcome came.
    #[prost(bool, tag = "9")]
    pub lost: bool,
    #[prost(message, optional, tag = "10")]
    pub outcome: Option<Outcome>,
}

/// How a claimed request ended, as it is stored.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Outcome {
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
