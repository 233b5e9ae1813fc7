//! Handlers of the calls from other replicas.

use std::rc::Rc;

use bytes::Bytes;
use futures_channel::oneshot;
use jaylock_rpc::v1::{
    AppendReply, AppendRequest, GreetReply, InstallReply, InstallRequest, Member, VoteReply,
    VoteRequest,
};
use prost::Message;
use tonic::Status;

use super::Shared;
use super::core::Halt;
use super::join::FIRST_GENERATION;
use super::log::Log;
use crate::state::State;
use crate::storage::{EncodedEntry, HardState, Snapshot};

/// Runs a handler to completion even if its caller disconnects, so that no write stops half-way.
pub async fn run_to_completion<T: 'static>(
    handler: impl Future<Output = Result<T, Status>> + 'static,
) -> Result<T, Status> {
    let (sender, receiver) = oneshot::channel();
    compio::runtime::spawn(async move {
        let _ = sender.send(handler.await);
    })
    .detach();
    let stopped = |_| Status::unavailable("this replica has stopped: ask another");
    receiver.await.map_err(stopped)?
}

/// Returns the member record of this instance and what its disk holds.
pub fn greet(shared: &Shared) -> Result<GreetReply, Status> {
    let core = shared.core.borrow();
    if let Some(reason @ Halt::Unread(_)) = &core.halted {
        return Err(Status::unavailable(reason.to_string()));
    }
    let joined = core.log.last_index() > 0;
    let is_founder = core.hard_state.generation == FIRST_GENERATION && !joined;
    Ok(GreetReply {
        member: Some(Member {
            generation: core.hard_state.generation,
            ..shared.identity.clone()
        }),
        joined,
        seeds: core.hard_state.first_seeds.clone(),
        members: if is_founder {
            core.members.clone()
        } else {
            Vec::new()
        },
    })
}

/// Handles a vote or pre-vote request.
pub async fn vote(shared: Rc<Shared>, request: VoteRequest) -> Result<VoteReply, Status> {
    ensure_voting(&shared, &request)?;
    let granted = if request.poll {
        would_grant_vote(&shared, &request)
    } else {
        let _disk_guard = shared.disk_lock.lock().await;
        shared.ensure_running()?;
        grant_vote(&shared, &request).await?
    };
    let core = shared.core.borrow();
    Ok(VoteReply {
        term: core.term(),
        granted,
        generation: core.hard_state.generation,
        last_index: core.log.last_index(),
    })
}

/// Fails if the replica is halted; but one with an empty disk says so, as the others wait for that to form a group.
fn ensure_voting(shared: &Shared, request: &VoteRequest) -> Result<(), Status> {
    if request.poll && shared.core.borrow().is_empty() {
        return Ok(());
    }
    shared.ensure_running()
}

fn would_grant_vote(shared: &Shared, request: &VoteRequest) -> bool {
    let core = shared.core.borrow();
    core.hard_state.generation > 0
        && request.term > core.term()
        && core.time_since_contact(shared.now()) >= shared.settings.election_timeout
        && !shared.holds_lease()
        && is_up_to_date(shared, request)
}

async fn grant_vote(shared: &Shared, request: &VoteRequest) -> Result<bool, Status> {
    let (hard_state, since_contact) = {
        let core = shared.core.borrow();
        let since_contact = core.time_since_contact(shared.now());
        (core.hard_state.clone(), since_contact)
    };
    // A repeated grant binds no longer than the first, as a candidate that can't win repeats its requests.
    if request.term == hard_state.term && request.candidate == hard_state.voted_for {
        return Ok(true);
    }
    // The leader lease relies on this: a replica in contact with a leader votes for no other one.
    let is_bound = since_contact < shared.settings.election_timeout || shared.holds_lease();
    if hard_state.generation == 0
        || (is_bound && !request.handover)
        || request.term < hard_state.term
    {
        return Ok(false);
    }
    let is_new_term = request.term > hard_state.term;
    if !is_up_to_date(shared, request) {
        if is_new_term {
            shared.enter_term(request.term).await?;
        }
        return Ok(false);
    }
    if !is_new_term && !hard_state.voted_for.is_empty() {
        return Ok(false);
    }
    let hard_state = HardState {
        term: request.term,
        voted_for: request.candidate.clone(),
        ..hard_state
    };
    shared.save_hard_state(hard_state).await?;
    shared.core.borrow_mut().last_contact = shared.now();
    Ok(true)
}

/// Whether the log of a candidate is at least as up to date as this one.
fn is_up_to_date(shared: &Shared, request: &VoteRequest) -> bool {
    let core = shared.core.borrow();
    (request.last_term, request.last_index) >= (core.log.last_term(), core.log.last_index())
}

/// Handles entries from the leader: appends and syncs them.
pub async fn append(shared: Rc<Shared>, request: AppendRequest) -> Result<AppendReply, Status> {
    shared.ensure_running()?;
    if let Some(reply) = confirm_contact(&shared, &request) {
        return Ok(reply);
    }
    let _disk_guard = shared.disk_lock.lock().await;
    shared.ensure_running()?;
    let generation = shared.core.borrow().hard_state.generation;
    if generation == 0 {
        return Err(Status::unavailable(
            "this replica is still joining: ask again",
        ));
    }
    if generation != request.generation || request.term < shared.core.borrow().term() {
        return Ok(append_reply(&shared, false, 0));
    }
    accept_leader(&shared, request.term, &request.leader).await?;
    shared.core.borrow_mut().is_election_requested = request.campaign;
    if request.campaign {
        shared.activity.notify();
    }
    if !log_matches(&shared, &request) {
        let last = shared.core.borrow().log.last_index();
        let hint = last.min(request.prev_index.saturating_sub(1));
        return Ok(append_reply(&shared, false, hint));
    }
    let last_verified = request.prev_index + request.entries.len() as u64;
    write_entries(&shared, request.entries).await?;
    set_commit(&shared, request.commit.min(last_verified));
    Ok(append_reply(&shared, true, last_verified))
}

/// Replies to a heartbeat of the leader that this replica follows without waiting for the disk.
fn confirm_contact(shared: &Shared, request: &AppendRequest) -> Option<AppendReply> {
    let is_confirmed = {
        let core = shared.core.borrow();
        request.entries.is_empty()
            && !request.campaign
            && !core.is_term_pending
            && core.leader_state().is_none()
            && core.leader == request.leader
            && core.term() == request.term
            && core.hard_state.generation == request.generation
            && request.prev_index <= core.log.synced()
    };
    if !is_confirmed || !log_matches(shared, request) {
        return None;
    }
    shared.core.borrow_mut().last_contact = shared.now();
    set_commit(shared, request.commit.min(request.prev_index));
    Some(append_reply(shared, true, request.prev_index))
}

fn append_reply(shared: &Shared, is_success: bool, synced: u64) -> AppendReply {
    let core = shared.core.borrow();
    AppendReply {
        term: core.term(),
        success: is_success,
        synced,
        generation: core.hard_state.generation,
    }
}

/// Follows the leader of a term.
///
/// Removes entries that this replica appended as a leader but has not synced.
async fn accept_leader(shared: &Shared, term: u64, leader: &str) -> Result<(), Status> {
    if term > shared.core.borrow().term() {
        shared.enter_term(term).await?;
    }
    let mut core = shared.core.borrow_mut();
    if core.leader != leader || core.leader_state().is_some() {
        core.become_follower(leader);
        log::info!(target: "control", "following {leader} in term {term}");
    }
    let synced = core.log.synced();
    core.truncate(synced);
    core.last_contact = shared.now();
    Ok(())
}

/// Whether the log equals that of the leader up to the entry before the new ones.
fn log_matches(shared: &Shared, request: &AppendRequest) -> bool {
    let core = shared.core.borrow();
    // Entries before the base are committed, and therefore equal on all replicas.
    let base_matches = request.prev_index < core.log.base_index()
        || core.log.term(request.prev_index) == Some(request.prev_term);
    core.has_base() && base_matches
}

async fn write_entries(shared: &Shared, entries: Vec<Bytes>) -> Result<(), Status> {
    let entries: Result<Vec<_>, _> = entries.into_iter().map(EncodedEntry::from_bytes).collect();
    let mut new_entries =
        entries.map_err(|_| Status::invalid_argument("an entry can't be read: send it again"))?;
    {
        let core = shared.core.borrow();
        let is_known = |e: &EncodedEntry| {
            e.index() <= core.log.base_index() || core.log.term(e.index()) == Some(e.term())
        };
        let known_count = new_entries.iter().take_while(|e| is_known(e)).count();
        new_entries.drain(..known_count);
    }
    let Some(first) = new_entries.first().map(EncodedEntry::index) else {
        return Ok(());
    };
    if replaces_committed(shared, first) {
        return Err(Status::data_loss(
            "the leader would replace committed entries",
        ));
    }
    if let Err(error) = shared.store.append(&new_entries).await {
        shared.halt(&error);
        return Err(Status::unavailable(error.to_string()));
    }
    let mut core = shared.core.borrow_mut();
    core.truncate(first - 1);
    for entry in new_entries {
        core.push(entry);
    }
    let last = core.log.last_index();
    core.log.set_synced(last);
    Ok(())
}

/// Whether an entry would replace a committed one.
///
/// A leader may step down while its disk lacks entries that the others have committed; it takes them again as a follower.
fn replaces_committed(shared: &Shared, index: u64) -> bool {
    let core = shared.core.borrow();
    index <= core.commit_index.min(core.log.last_index())
}

fn set_commit(shared: &Shared, index: u64) {
    let mut core = shared.core.borrow_mut();
    if index <= core.commit_index {
        return;
    }
    core.commit_index = index;
    let changed = core.apply_committed();
    drop(core);
    shared.activity.notify();
    if changed {
        shared.config_changed.notify();
    }
}

/// Handles a chunk of a snapshot; the last chunk installs the snapshot.
pub async fn install(shared: Rc<Shared>, request: InstallRequest) -> Result<InstallReply, Status> {
    shared.ensure_running()?;
    let _disk_guard = shared.disk_lock.lock().await;
    shared.ensure_running()?;
    let (generation, term) = {
        let core = shared.core.borrow();
        (core.hard_state.generation, core.term())
    };
    let reply = |term| InstallReply { term, generation };
    if generation == 0 || generation != request.generation || request.term < term {
        return Ok(reply(term));
    }
    accept_leader(&shared, request.term, &request.leader).await?;
    let Some(bytes) = collect_chunk(&shared, &request)? else {
        return Ok(reply(request.term));
    };
    let snapshot = Snapshot::decode(bytes.as_slice())
        .map_err(|_| Status::invalid_argument("the snapshot can't be read: send it again"))?;
    let is_newer = {
        let core = shared.core.borrow();
        snapshot.index > core.commit_index.min(core.log.last_index()) || !core.has_base()
    };
    if is_newer {
        install_snapshot(&shared, snapshot).await?;
    }
    Ok(reply(request.term))
}

/// Adds a chunk; returns the whole snapshot with the last chunk.
fn collect_chunk(shared: &Shared, request: &InstallRequest) -> Result<Option<Vec<u8>>, Status> {
    let mut core = shared.core.borrow_mut();
    if request.offset == 0 {
        core.partial_snapshot.clear();
    }
    if core.partial_snapshot.len() as u64 != request.offset {
        core.partial_snapshot.clear();
        return Err(Status::out_of_range(
            "a piece is missing: begin the snapshot again",
        ));
    }
    core.partial_snapshot.extend_from_slice(&request.chunk);
    Ok(request
        .last
        .then(|| std::mem::take(&mut core.partial_snapshot)))
}

async fn install_snapshot(shared: &Shared, snapshot: Snapshot) -> Result<(), Status> {
    let (index, term) = (snapshot.index, snapshot.term);
    let write = async {
        shared.store.write_snapshot(&snapshot).await?;
        shared.store.rewrite(&[]).await
    };
    if let Err(error) = write.await {
        shared.halt(&error);
        return Err(Status::unavailable(error.to_string()));
    }
    log::info!(target: "control", "installed a snapshot at index {index}");
    let mut core = shared.core.borrow_mut();
    core.log = Log::starting_after(index, term);
    if index > core.state.index() || !core.has_base() {
        core.state = State::restore(snapshot);
        core.commit_index = index;
    }
    core.rebuild_members();
    drop(core);
    shared.config_changed.notify();
    Ok(())
}
