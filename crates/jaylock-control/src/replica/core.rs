use std::collections::VecDeque;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use futures_channel::oneshot;
use jaylock_rpc::v1::command::Body;
use jaylock_rpc::v1::{Applied, Command, Entry, Member};
use jaylock_types::unix_ms;
use thiserror::Error;

use super::log::Log;
use super::progress::Progress;
use crate::state::{State, put_member, remove_member};
use crate::storage::Ballot;

/// What a replica holds in memory.
pub struct Core {
    /// Instance that the replica belongs to.
    pub instance: CompactString,
    /// As it stands on the disk; generation 0 while it is not known.
    pub ballot: Ballot,
    pub role: Role,
    /// Instance that leads; empty when none is known.
    pub leader: CompactString,
    /// When a leader was last heard or a vote given.
    pub heard: Instant,
    /// Whether the leader asked this replica to take its place.
    pub called: bool,
    /// Newest term that was heard of.
    pub seen_term: u64,
    pub log: Log,
    pub commit: u64,
    pub state: State,
    /// Members by the newest entry, committed or not.
    pub members: Vec<Member>,
    /// Index of the newest entry that changed the members.
    pub members_index: u64,
    /// Why the replica takes no part.
    pub halted: Option<Halt>,
    /// Commands that wait for their commit, by index.
    pub pending: VecDeque<Pending>,
    /// Pieces of a snapshot that is under way.
    pub incoming: Vec<u8>,
}

/// Why a replica takes no part.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Halt {
    /// Its disk has failed, and is tried again.
    #[error("{0}")]
    Disk(CompactString),
    /// It was closed for good.
    #[error("this replica is closed: ask another")]
    Closed,
}

/// What a replica does.
pub enum Role {
    /// Takes entries from a leader.
    Follower,
    /// Leads the group.
    Leader(Leading),
}

/// What a leader holds.
pub struct Leading {
    /// Index of its first entry; once that is committed, everything before is too.
    pub start: u64,
    pub since: Instant,
    pub peers: Vec<Progress>,
}

/// A command that waits for its commit.
pub struct Pending {
    pub index: u64,
    pub sender: oneshot::Sender<Applied>,
}

impl Core {
    pub fn new(instance: &str, ballot: Ballot, state: State, log: Log, now: Instant) -> Self {
        let mut core = Self {
            instance: instance.into(),
            seen_term: ballot.term,
            ballot,
            role: Role::Follower,
            leader: CompactString::default(),
            heard: now,
            called: false,
            commit: state.index(),
            log,
            state,
            members: Vec::new(),
            members_index: 0,
            halted: None,
            pending: VecDeque::new(),
            incoming: Vec::new(),
        };
        core.gather_members();
        core
    }

    pub fn term(&self) -> u64 {
        self.ballot.term
    }

    /// Whether it was closed for good.
    pub fn is_closed(&self) -> bool {
        self.halted == Some(Halt::Closed)
    }

    /// Whether it has the state that the entries build on; a new generation gets it as a snapshot.
    pub fn has_base(&self) -> bool {
        !self.state.configuration().members.is_empty()
    }

    pub fn leading(&self) -> Option<&Leading> {
        match &self.role {
            Role::Leader(leading) => Some(leading),
            Role::Follower => None,
        }
    }

    pub fn leading_mut(&mut self) -> Option<&mut Leading> {
        match &mut self.role {
            Role::Leader(leading) => Some(leading),
            Role::Follower => None,
        }
    }

    pub fn member(&self, instance: &str) -> Option<&Member> {
        self.members.iter().find(|m| m.instance == instance)
    }

    pub fn voters(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|m| m.voter)
    }

    /// Whether a record names this replica with this disk.
    pub fn is_own(&self, member: &Member) -> bool {
        member.instance == self.instance.as_str() && member.generation == self.ballot.generation
    }

    /// Whether this replica counts for a majority.
    pub fn is_voter(&self) -> bool {
        self.voters().any(|m| self.is_own(m))
    }

    /// Votes that make a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Address of the leader; empty when none is known.
    pub fn leader_address(&self) -> String {
        let leader = self.member(&self.leader);
        leader.map(|m| m.peer_address.clone()).unwrap_or_default()
    }

    /// Works the members out anew from the state and the entries after it.
    pub fn gather_members(&mut self) {
        self.members = self.state.configuration().members.clone();
        self.members_index = 0;
        for entry in self.log.rest(self.state.index()) {
            self.note_members(&entry);
        }
    }

    /// Adds an entry to the log.
    pub fn push(&mut self, entry: Entry) {
        self.note_members(&entry);
        self.log.push(entry);
    }

    /// Drops the entries after an index.
    pub fn truncate(&mut self, index: u64) {
        if index < self.log.last_index() {
            self.log.truncate(index);
            self.gather_members();
        }
    }

    /// Adds a command as the leader's newest entry and says its index.
    pub fn add(&mut self, command: Command) -> u64 {
        let before = self.log.get(self.log.last_index());
        let earliest = before.map_or(self.state.at_ms(), |e| e.at_ms);
        let entry = Entry {
            index: self.log.last_index() + 1,
            term: self.term(),
            command: Some(command),
            at_ms: unix_ms().max(earliest),
        };
        let index = entry.index;
        self.push(entry);
        index
    }

    /// Applies what is committed; says whether the configuration changed.
    pub fn apply(&mut self) -> bool {
        let before = self.state.configuration().index;
        while self.state.index() < self.commit {
            let Some(entry) = self.log.get(self.state.index() + 1) else {
                break;
            };
            // A resend is answered with the index of the first.
            let index = entry.index;
            let applied = self.state.apply(entry);
            while self.pending.front().is_some_and(|p| p.index < index) {
                self.pending.pop_front();
            }
            if let Some(pending) = self.pending.pop_front_if(|p| p.index == index) {
                let _ = pending.sender.send(applied);
            }
        }
        self.state.configuration().index != before
    }

    /// Raises the commit index to what a majority has synced.
    pub fn advance(&mut self) {
        let term = self.term();
        let Some(leading) = self.leading() else {
            return;
        };
        let mut synced: Vec<u64> = self
            .voters()
            .map(|voter| match leading.progress(voter) {
                Some(progress) => progress.matched,
                None if self.is_own(voter) => self.log.synced(),
                None => 0,
            })
            .collect();
        synced.sort_unstable_by(|a, b| b.cmp(a));
        let Some(index) = synced.get(self.quorum() - 1).copied() else {
            return;
        };
        // An entry of an older term is committed only by one of this term that follows it.
        if index > self.commit && self.log.term(index) == Some(term) {
            self.commit = index;
        }
    }

    /// Until when a leader may answer by itself.
    pub fn lease_end(&self, lease: Duration, now: Instant) -> Option<Instant> {
        let leading = self.leading()?;
        let mut heard: Vec<Option<Instant>> = self
            .voters()
            .map(|voter| match leading.progress(voter) {
                Some(progress) => progress.heard,
                None => self.is_own(voter).then_some(now),
            })
            .collect();
        heard.sort_unstable_by(|a, b| b.cmp(a));
        let oldest = heard.get(self.quorum() - 1).copied().flatten()?;
        Some(oldest + lease)
    }

    /// Stops leading; what waits for its commit is given up.
    pub fn follow(&mut self, leader: &str) {
        if self.leading().is_some() {
            log::info!(target: "control", "leads no more in term {}", self.term());
        }
        self.role = Role::Follower;
        self.leader = leader.into();
        self.pending.clear();
    }

    fn note_members(&mut self, entry: &Entry) {
        let body = entry.command.as_ref().and_then(|c| c.body.as_ref());
        match body {
            Some(Body::PutMember(member)) => put_member(&mut self.members, member),
            Some(Body::RemoveMember(instance)) => remove_member(&mut self.members, instance),
            _ => return,
        }
        self.members_index = entry.index;
    }
}
