//! Handlers of the calls from other replicas.

use std::rc::Rc;

use futures_channel::oneshot;
use jaylock_rpc::v1::{
    AppendReply, AppendRequest, Entry, GreetReply, InstallReply, InstallRequest, Member, VoteReply,
    VoteRequest,
};
use prost::Message;
use tonic::Status;

use super::Shared;
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

/// Returns the member record of this instance and whether it has joined a group.
pub fn greet(shared: &Shared) -> GreetReply {
    let core = shared.core.borrow();
    let generation = core.hard_state.generation;
    GreetReply {
        member: Some(Member {
            generation,
            ..shared.identity.clone()
        }),
        first_start: shared.bootstrap.is_first_start(),
        joined: core.log.last_index() > 0 || generation > FIRST_GENERATION,
    }
}

/// Handles a vote or pre-vote request.
pub async fn vote(shared: Rc<Shared>, request: VoteRequest) -> Result<VoteReply, Status> {
    shared.ensure_running()?;
    let _disk_guard = shared.disk_lock.lock().await;
    shared.ensure_running()?;
    let granted = match request {
        VoteRequest { poll: true, .. } => would_grant_vote(&shared, &request),
        _ => grant_vote(&shared, &request).await?,
    };
    let core = shared.core.borrow();
    Ok(VoteReply {
        term: core.term(),
        granted,
        generation: core.hard_state.generation,
        last_index: core.log.last_index(),
    })
}

fn would_grant_vote(shared: &Shared, request: &VoteRequest) -> bool {
    let core = shared.core.borrow();
    let since_contact = shared.now().duration_since(core.last_contact);
    core.hard_state.generation > 0
        && request.term > core.term()
        && since_contact >= shared.settings.election_timeout
        && core.leader_state().is_none()
        && is_up_to_date(shared, request)
}

async fn grant_vote(shared: &Shared, request: &VoteRequest) -> Result<bool, Status> {
    let (hard_state, last_contact) = {
        let core = shared.core.borrow();
        (core.hard_state.clone(), core.last_contact)
    };
    // The leader lease relies on this: a replica in contact with a leader votes for no other one.
    let since_contact = shared.now().duration_since(last_contact);
    let is_bound = since_contact < shared.settings.election_timeout || shared.holds_lease();
    if hard_state.generation == 0
        || (is_bound && !request.handover)
        || request.term < hard_state.term
    {
        return Ok(false);
    }
    let is_newer_term = request.term > hard_state.term;
    let voted_for = &hard_state.voted_for;
    let may_vote = is_newer_term || voted_for.is_empty() || *voted_for == request.candidate;
    if !may_vote || !is_up_to_date(shared, request) {
        if is_newer_term {
            shared.enter_term(request.term).await?;
        }
        return Ok(false);
    }
    // Term and vote are one write, as the candidate waits for it.
    let hard_state = HardState {
        generation: hard_state.generation,
        term: request.term,
        voted_for: request.candidate.clone(),
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

async fn write_entries(shared: &Shared, entries: Vec<Entry>) -> Result<(), Status> {
    let new_entries: Vec<EncodedEntry> = {
        let core = shared.core.borrow();
        let is_known =
            |e: &&Entry| e.index <= core.log.base_index() || core.log.term(e.index) == Some(e.term);
        let new = entries.iter().skip_while(is_known);
        new.map(EncodedEntry::encode).collect()
    };
    drop(entries);
    let Some(first) = new_entries.first().map(EncodedEntry::index) else {
        return Ok(());
    };
    if first <= shared.core.borrow().commit_index {
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
        snapshot.index > core.commit_index || !core.has_base()
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
    core.state = State::restore(snapshot);
    core.commit_index = index;
    core.rebuild_members();
    drop(core);
    shared.config_changed.notify();
    Ok(())
}
