use std::time::Instant;

use jaylock_rpc::v1::Member;

use super::core::Leading;

/// How far another replica is, as its leader knows.
#[derive(Debug, Clone)]
pub struct Progress {
    pub member: Member,
    /// First entry to send.
    pub next: u64,
    /// Last entry known to be on its disk.
    pub matched: u64,
    /// Commit index that it was told.
    pub told: u64,
    /// When the newest answered message was sent.
    pub heard: Option<Instant>,
    /// Generation it answered with; differs from the member's after a lost disk.
    pub generation: u64,
    /// Whether it needs a snapshot.
    pub install: bool,
}

impl Progress {
    pub fn new(member: Member, next: u64) -> Self {
        Self {
            generation: member.generation,
            member,
            next,
            matched: 0,
            told: 0,
            heard: None,
            install: false,
        }
    }
}

impl Leading {
    pub fn progress(&self, member: &Member) -> Option<&Progress> {
        self.peers.iter().find(|p| is_same(&p.member, member))
    }

    pub fn progress_mut(&mut self, member: &Member) -> Option<&mut Progress> {
        self.peers.iter_mut().find(|p| is_same(&p.member, member))
    }
}

/// Whether two records name one replica with one disk.
pub fn is_same(a: &Member, b: &Member) -> bool {
    a.instance == b.instance && a.generation == b.generation
}
