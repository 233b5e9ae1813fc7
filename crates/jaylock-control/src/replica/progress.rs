use std::time::Instant;

use jaylock_rpc::v1::Member;

use super::core::LeaderState;

/// Replication progress of another replica, as its leader knows it.
#[derive(Debug, Clone)]
pub struct Progress {
    pub member: Member,
    /// Index of the next entry to send.
    pub next_index: u64,
    /// Index of the last entry known to be synced on the disk of the replica.
    pub match_index: u64,
    /// Highest commit index sent to the replica.
    pub sent_commit: u64,
    /// When the newest message that got a reply was sent.
    pub last_contact: Option<Instant>,
    /// When the newest part of the log or of a snapshot that got a reply was sent.
    pub last_transfer: Option<Instant>,
    /// Generation in the last reply; differs from the member record after a lost disk.
    pub generation: u64,
    /// Whether the replica needs a snapshot.
    pub needs_snapshot: bool,
}

impl Progress {
    pub fn new(member: Member, next_index: u64) -> Self {
        Self {
            generation: member.generation,
            member,
            next_index,
            match_index: 0,
            sent_commit: 0,
            last_contact: None,
            last_transfer: None,
            needs_snapshot: false,
        }
    }

    /// Records the reply to a part of the log or of a snapshot.
    pub fn record_transfer(&mut self, sent_at: Instant) {
        self.last_contact = self.last_contact.max(Some(sent_at));
        self.last_transfer = self.last_transfer.max(Some(sent_at));
    }
}

impl LeaderState {
    pub fn progress(&self, member: &Member) -> Option<&Progress> {
        self.peers
            .iter()
            .find(|p| is_same_replica(&p.member, member))
    }

    pub fn progress_mut(&mut self, member: &Member) -> Option<&mut Progress> {
        self.peers
            .iter_mut()
            .find(|p| is_same_replica(&p.member, member))
    }
}

/// Whether two records are of the same replica with the same disk.
pub fn is_same_replica(a: &Member, b: &Member) -> bool {
    a.instance == b.instance && a.generation == b.generation
}
