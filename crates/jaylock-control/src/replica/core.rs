use std::collections::VecDeque;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use futures_channel::oneshot;
use jaylock_rpc::v1::command::Body;
use jaylock_rpc::v1::{AppendRequest, Applied, Command, Entry, Member};
use jaylock_types::unix_ms;
use thiserror::Error;

use super::log::Log;
use super::progress::Progress;
use crate::state::{State, put_member, remove_member};
use crate::storage::{EncodedEntry, HardState};

/// In-memory state of a replica.
pub struct Core {
    /// Instance that the replica runs on.
    pub instance: CompactString,
    /// Copy of the synced record; generation 0 until the replica has joined a group.
    pub hard_state: HardState,
    pub role: Role,
    /// Instance of the current leader; empty when unknown.
    pub leader: CompactString,
    /// When a leader last sent a message or this replica last granted a vote.
    pub last_contact: Instant,
    /// Whether a newer term or a vote is being written.
    pub is_term_pending: bool,
    /// The last election of this replica, until it is elected, is refused a vote or follows a leader.
    pub open_election: Option<OpenElection>,
    /// Whether the leader transfers leadership to this replica.
    pub is_election_requested: bool,
    /// Highest term seen in any message.
    pub highest_term: u64,
    pub log: Log,
    pub commit_index: u64,
    pub state: State,
    /// Members according to the newest entry, committed or not.
    pub members: Vec<Member>,
    /// Index of the newest entry that changes the members.
    pub members_index: u64,
    /// Why the replica is halted, if it is.
    pub halted: Option<Halt>,
    /// Commands that wait to be committed, sorted by index.
    pub pending: VecDeque<Pending>,
    /// Chunks received so far of a snapshot in transfer.
    pub partial_snapshot: Vec<u8>,
}

/// Why a replica neither votes nor replicates.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Halt {
    /// The disk failed; the replica keeps retrying it.
    #[error("{0}")]
    Disk(CompactString),
    /// As `Disk`, but before the disk was read, so that nothing is known of what it holds.
    #[error("{0}")]
    Unread(CompactString),
    /// The replica was shut down permanently.
    #[error("this replica is closed: ask another")]
    Closed,
}

/// Raft role of a replica.
pub enum Role {
    Follower,
    Leader(LeaderState),
}

/// An election in which this replica has voted for itself.
#[derive(Debug, Clone, Copy)]
pub struct OpenElection {
    pub term: u64,
    /// When the first votes were requested, or before.
    pub opened_at: Instant,
}

/// State that only a leader has.
pub struct LeaderState {
    /// Index of the first entry of this term; once it is committed, so are all entries before it.
    pub first_index: u64,
    pub elected_at: Instant,
    pub peers: Vec<Progress>,
}

/// A command that waits to be committed.
pub struct Pending {
    pub index: u64,
    pub sender: oneshot::Sender<Applied>,
}

impl Core {
    pub fn new(
        instance: &str,
        hard_state: HardState,
        state: State,
        log: Log,
        now: Instant,
    ) -> Self {
        let mut core = Self {
            instance: instance.into(),
            highest_term: hard_state.term,
            hard_state,
            role: Role::Follower,
            leader: CompactString::default(),
            last_contact: now,
            is_term_pending: false,
            open_election: None,
            is_election_requested: false,
            commit_index: state.index(),
            log,
            state,
            members: Vec::new(),
            members_index: 0,
            halted: None,
            pending: VecDeque::new(),
            partial_snapshot: Vec::new(),
        };
        core.rebuild_members();
        core
    }

    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Whether the replica was shut down permanently.
    pub fn is_closed(&self) -> bool {
        self.halted == Some(Halt::Closed)
    }

    /// Whether the disk was read and holds no vote and no entries.
    pub fn is_empty(&self) -> bool {
        let is_read = !matches!(self.halted, Some(Halt::Unread(_) | Halt::Closed));
        is_read && self.hard_state.generation == 0 && self.log.last_index() == 0
    }

    /// Whether the state that the first entry applies to is present.
    ///
    /// A new generation receives this state as a snapshot.
    pub fn has_base(&self) -> bool {
        !self.state.configuration().members.is_empty()
    }

    pub fn leader_state(&self) -> Option<&LeaderState> {
        match &self.role {
            Role::Leader(leader_state) => Some(leader_state),
            Role::Follower => None,
        }
    }

    pub fn leader_state_mut(&mut self) -> Option<&mut LeaderState> {
        match &mut self.role {
            Role::Leader(leader_state) => Some(leader_state),
            Role::Follower => None,
        }
    }

    pub fn member(&self, instance: &str) -> Option<&Member> {
        self.members.iter().find(|m| m.instance == instance)
    }

    pub fn voters(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|m| m.voter)
    }

    /// How long this replica is bound to no leader and no candidate.
    pub fn time_since_contact(&self, now: Instant) -> Duration {
        if self.is_term_pending {
            return Duration::ZERO;
        }
        now.duration_since(self.last_contact)
    }

    /// The election of this replica that is neither won nor lost.
    pub fn open_election(&self) -> Option<OpenElection> {
        let newest = (self.term(), self.term());
        self.open_election
            .filter(|election| (election.term, self.highest_term) == newest)
    }

    /// Whether a member record is of this replica with its current disk.
    pub fn is_self(&self, member: &Member) -> bool {
        member.instance == self.instance.as_str() && member.generation == self.hard_state.generation
    }

    /// Whether this replica counts towards a majority.
    pub fn is_voter(&self) -> bool {
        self.voters().any(|m| self.is_self(m))
    }

    /// Number of votes that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Address of the current leader; empty when unknown.
    pub fn leader_address(&self) -> String {
        let leader = self.member(&self.leader);
        leader.map(|m| m.peer_address.clone()).unwrap_or_default()
    }

    /// Recomputes the members from the state and the entries after it.
    pub fn rebuild_members(&mut self) {
        self.members = self.state.configuration().members.clone();
        self.members_index = 0;
        let later = self.log.entries_after(self.state.index());
        let changes = later.filter(|e| e.changes_members());
        for entry in changes.cloned().collect::<Vec<_>>() {
            self.apply_member_change(&entry);
        }
    }

    pub fn push(&mut self, entry: EncodedEntry) {
        if entry.changes_members() && entry.index() > self.state.index() {
            self.apply_member_change(&entry);
        }
        self.log.push(entry);
    }

    /// Removes the entries after `index`.
    pub fn truncate(&mut self, index: u64) {
        if index < self.log.last_index() {
            self.log.truncate(index);
            self.rebuild_members();
        }
    }

    /// The message with the entries after an index, for a replica with this generation; `None` before the base of the log.
    pub fn append_request(&self, prev_index: u64, generation: u64) -> Option<AppendRequest> {
        let prev_term = self.log.term(prev_index)?;
        let entries = self.log.batch(prev_index);
        Some(AppendRequest {
            term: self.term(),
            leader: self.instance.to_string(),
            prev_index,
            prev_term,
            commit: self.commit_index,
            entries: entries.iter().map(|e| e.bytes().clone()).collect(),
            generation,
            campaign: false,
        })
    }

    /// Appends a command as a new entry of the current term and returns its index.
    pub fn append_command(&mut self, command: Command) -> u64 {
        let before = self.log.get(self.log.last_index());
        let earliest = before.map_or(self.state.at_ms(), EncodedEntry::at_ms);
        let entry = Entry {
            index: self.log.last_index() + 1,
            term: self.term(),
            command: Some(command),
            at_ms: unix_ms().max(earliest),
        };
        self.push(EncodedEntry::encode(&entry));
        entry.index
    }

    /// Applies the committed entries and returns whether the configuration changed.
    pub fn apply_committed(&mut self) -> bool {
        let before = self.state.configuration().index;
        while self.state.index() < self.commit_index {
            let Some(entry) = self.log.get(self.state.index() + 1) else {
                break;
            };
            // `applied` of a retry has the index of the first try, so take the index of this entry.
            let index = entry.index();
            let applied = self.state.apply(&entry.decode());
            while self.pending.front().is_some_and(|p| p.index < index) {
                self.pending.pop_front();
            }
            if let Some(pending) = self.pending.pop_front_if(|p| p.index == index) {
                let _ = pending.sender.send(applied);
            }
        }
        self.state.configuration().index != before
    }

    /// Raises the commit index to the highest entry that a majority has synced.
    pub fn advance_commit(&mut self) {
        let term = self.term();
        let Some(leader_state) = self.leader_state() else {
            return;
        };
        let mut synced: Vec<u64> = self
            .voters()
            .map(|voter| match leader_state.progress(voter) {
                Some(progress) => progress.match_index,
                None if self.is_self(voter) => self.log.synced(),
                None => 0,
            })
            .collect();
        synced.sort_unstable_by(|a, b| b.cmp(a));
        let Some(index) = synced.get(self.quorum() - 1).copied() else {
            return;
        };
        // An entry of an older term is committed only together with a later entry of this term.
        if index > self.commit_index && self.log.term(index) == Some(term) {
            self.commit_index = index;
        }
    }

    /// When the leader lease ends; until then the leader may serve reads without asking others.
    pub fn lease_end(&self, lease: Duration, now: Instant) -> Option<Instant> {
        let leader_state = self.leader_state()?;
        let mut last_contact: Vec<Option<Instant>> = self
            .voters()
            .map(|voter| match leader_state.progress(voter) {
                Some(progress) => progress.last_contact,
                None => self.is_self(voter).then_some(now),
            })
            .collect();
        last_contact.sort_unstable_by(|a, b| b.cmp(a));
        let oldest = last_contact.get(self.quorum() - 1).copied().flatten()?;
        Some(oldest + lease)
    }

    /// Becomes a follower of `leader`; pending commands fail.
    pub fn become_follower(&mut self, leader: &str) {
        if self.leader_state().is_some() {
            log::info!(target: "control", "stepped down in term {}", self.term());
        }
        self.role = Role::Follower;
        self.open_election = None;
        self.leader = leader.into();
        self.pending.clear();
    }

    fn apply_member_change(&mut self, entry: &EncodedEntry) {
        let command = entry.decode().command;
        match command.as_ref().and_then(|c| c.body.as_ref()) {
            Some(Body::PutMember(member)) => put_member(&mut self.members, member),
            Some(Body::RemoveMember(instance)) => remove_member(&mut self.members, instance),
            _ => return,
        }
        self.members_index = entry.index();
    }
}
