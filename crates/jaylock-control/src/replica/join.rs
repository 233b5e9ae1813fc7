use std::rc::Rc;

use futures_util::future::join_all;
use jaylock_rpc::v1::{Member, VoteReply, VoteRequest};
use jaylock_types::unix_ms;

use super::founders::{self, Founders};
use super::{Bootstrap, Shared};
use crate::state::State;
use crate::storage::HardState;

/// Generation of the initial members of a group.
pub const FIRST_GENERATION: u64 = 1;

/// Whether a group exists, according to the replies of the other replicas.
pub enum GroupStatus {
    /// A group exists, or this instance may not form one.
    Exists,
    /// Too little is known of the other replicas.
    Unknown,
    /// Nothing was ever committed: the initial members, and the highest term they know.
    New(Vec<Member>, u64),
}

/// Decides whether a replica with an empty disk forms a new group or joins an existing one.
///
/// In an existing group the replica is a new generation and gets its state from the leader.
pub async fn join(shared: &Rc<Shared>) {
    if founders::record_first_start(shared).await.is_err() {
        return;
    }
    let mut founders = Founders::default();
    while shared.core.borrow().hard_state.generation == 0 && !shared.is_halted() {
        let group = match &shared.bootstrap {
            Bootstrap::Members(members) => query_members(shared, members).await,
            Bootstrap::Seeds { .. } => founders.query(shared).await,
        };
        let outcome = match group {
            GroupStatus::Exists => join_as_new_generation(shared).await,
            GroupStatus::New(members, term) => form_group(shared, members, term).await,
            GroupStatus::Unknown => {
                compio::time::sleep(shared.settings.heartbeat_interval).await;
                continue;
            }
        };
        if outcome.is_err() {
            return;
        }
    }
}

async fn join_as_new_generation(shared: &Shared) -> Result<(), tonic::Status> {
    let _disk_guard = shared.disk_lock.lock().await;
    let generation = unix_ms().max(FIRST_GENERATION + 1);
    log::info!(target: "control", "joining as generation {generation}");
    let hard_state = HardState {
        generation,
        ..HardState::default()
    };
    shared.save_hard_state(hard_state).await
}

async fn form_group(shared: &Shared, members: Vec<Member>, term: u64) -> Result<(), tonic::Status> {
    let _disk_guard = shared.disk_lock.lock().await;
    let voter = |member: Member| Member {
        generation: FIRST_GENERATION,
        voter: true,
        ..member
    };
    let mut members: Vec<Member> = members.into_iter().map(voter).collect();
    members.sort_by(|a, b| a.instance.cmp(&b.instance));
    log::info!(target: "control", "forming a group of {} replicas", members.len());
    let state = State::initial(members);
    if let Err(error) = shared.store.write_snapshot(&state.snapshot()).await {
        shared.halt(&error);
        return Err(tonic::Status::unavailable(error.to_string()));
    }
    {
        let mut core = shared.core.borrow_mut();
        core.state = state;
        core.rebuild_members();
        core.last_contact = shared.now();
    }
    // This replica may have voted in this term before its disk was lost: "-" blocks a second vote.
    let voted_for = if term > 0 { "-" } else { "" };
    let hard_state = HardState {
        generation: FIRST_GENERATION,
        term,
        voted_for: voted_for.into(),
        ..shared.core.borrow().hard_state.clone()
    };
    shared.save_hard_state(hard_state).await
}

async fn query_members(shared: &Shared, members: &[Member]) -> GroupStatus {
    let is_self = |m: &&Member| m.instance == shared.identity.instance;
    if !members.iter().any(|m| is_self(&m)) {
        return GroupStatus::Exists;
    }
    let others = members.iter().filter(|m| !is_self(m));
    let replies = join_all(others.map(|m| probe(shared, m))).await;
    let replies: Vec<VoteReply> = replies.into_iter().flatten().collect();
    if replies
        .iter()
        .any(|r| r.last_index > 0 || r.generation > FIRST_GENERATION)
    {
        return GroupStatus::Exists;
    }
    // A committed entry is on a majority of the disks, and this replica's lost disk may have been
    // one of them. With this many empty replies no majority can have held an entry.
    let quorum = members.len() / 2 + 1;
    let needed = members.len() - quorum + 1;
    if members.len() > 1 && replies.len() < needed {
        return GroupStatus::Unknown;
    }
    let term = replies.iter().map(|r| r.term).max().unwrap_or(0);
    GroupStatus::New(members.to_vec(), term)
}

/// Queries the generation, term and last index of a member.
///
/// The query is a pre-vote for term 0, which is never granted.
async fn probe(shared: &Shared, member: &Member) -> Option<VoteReply> {
    let request = VoteRequest {
        candidate: shared.identity.instance.clone(),
        poll: true,
        ..VoteRequest::default()
    };
    let call = shared.transport.vote(member, request);
    jaylock_rpc::with_timeout(shared.settings.reply_timeout, call)
        .await
        .ok()
}
