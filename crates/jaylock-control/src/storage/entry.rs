use bytes::Bytes;
use jaylock_rpc::v1::Entry;
use jaylock_rpc::v1::command::Body;
use prost::{DecodeError, Message};

/// A log entry in the encoding in which it is kept in memory, written to the disk and counted.
///
/// A decoded document takes several times as much memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EncodedEntry {
    index: u64,
    term: u64,
    at_ms: u64,
    changes_members: bool,
    bytes: Bytes,
}

impl EncodedEntry {
    /// Encodes an entry.
    pub fn encode(entry: &Entry) -> Self {
        Self::new(entry, entry.encode_to_vec().into())
    }

    /// Reads an entry from its encoding.
    ///
    /// # Errors
    /// The bytes are no entry.
    pub fn from_bytes(bytes: Bytes) -> Result<Self, DecodeError> {
        let entry = Entry::decode(bytes.clone())?;
        Ok(Self::new(&entry, bytes))
    }

    /// Decodes the entry.
    pub fn decode(&self) -> Entry {
        Entry::decode(self.bytes.clone()).expect("the encoding of an entry")
    }

    /// Position in the log.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Term of the leader that appended the entry.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Time at which the leader appended the entry, Unix ms.
    pub fn at_ms(&self) -> u64 {
        self.at_ms
    }

    /// Whether the entry adds, changes or removes a replica.
    pub fn changes_members(&self) -> bool {
        self.changes_members
    }

    /// The encoding.
    pub fn bytes(&self) -> &Bytes {
        &self.bytes
    }

    fn new(entry: &Entry, bytes: Bytes) -> Self {
        let body = entry.command.as_ref().and_then(|c| c.body.as_ref());
        Self {
            index: entry.index,
            term: entry.term,
            at_ms: entry.at_ms,
            changes_members: matches!(body, Some(Body::PutMember(_) | Body::RemoveMember(_))),
            bytes,
        }
    }
}
