//! What a replica does with the messages of the others.

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
use crate::storage::{Ballot, Image};

/// Runs a handler to its end, also when its caller has gone: a write must not stop half-way.
pub async fn whole<T: 'static>(
    handler: impl Future<Output = Result<T, Status>> + 'static,
) -> Result<T, Status> {
    let (sender, receiver) = oneshot::channel();
    compio::runtime::spawn(async move {
        let _ = sender.send(handler.await);
    })
    .detach();
    let ended = |_| Status::unavailable("this replica has stopped: ask another");
    receiver.await.map_err(ended)?
}

/// Tells who this instance is and whether it has joined a group.
pub fn greet(shared: &Shared) -> GreetReply {
    let core = shared.core.borrow();
    let generation = core.ballot.generation;
    GreetReply {
        member: Some(Member {
            generation,
            ..shared.identity.clone()
        }),
        first_start: shared.bootstrap.is_first_start(),
        joined: core.log.last_index() > 0 || generation > FIRST_GENERATION,
    }
}

/// Answers a candidate.
pub async fn vote(shared: Rc<Shared>, request: VoteRequest) -> Result<VoteReply, Status> {
    shared.check()?;
    let _writing = shared.writing.lock().await;
    shared.check()?;
    let granted = match request {
        VoteRequest { poll: true, .. } => would_vote(&shared, &request),
        _ => give_vote(&shared, &request).await?,
    };
    let core = shared.core.borrow();
    Ok(VoteReply {
        term: core.term(),
        granted,
        generation: core.ballot.generation,
        last_index: core.log.last_index(),
    })
}

fn would_vote(shared: &Shared, request: &VoteRequest) -> bool {
    let core = shared.core.borrow();
    let silence = shared.now().duration_since(core.heard);
    core.ballot.generation > 0
        && request.term > core.term()
        && silence >= shared.settings.election_timeout
        && core.leading().is_none()
        && is_recent(shared, request)
}

async fn give_vote(shared: &Shared, request: &VoteRequest) -> Result<bool, Status> {
    let (ballot, heard) = {
        let core = shared.core.borrow();
        (core.ballot.clone(), core.heard)
    };
    // Whoever heard a leader lately votes for no other: that is what the leader's lease rests on.
    let silence = shared.now().duration_since(heard);
    let is_bound = silence < shared.settings.election_timeout || shared.holds_lease();
    if ballot.generation == 0 || (is_bound && !request.handover) || request.term < ballot.term {
        return Ok(false);
    }
    if request.term > ballot.term {
        shared.enter_term(request.term).await?;
    }
    let voted = shared.core.borrow().ballot.voted.clone();
    if !(voted.is_empty() || voted == request.candidate) || !is_recent(shared, request) {
        return Ok(false);
    }
    let ballot = Ballot {
        generation: ballot.generation,
        term: request.term,
        voted: request.candidate.clone(),
    };
    shared.set_ballot(ballot).await?;
    shared.core.borrow_mut().heard = shared.now();
    Ok(true)
}

/// Whether a candidate's log holds all that this one does.
fn is_recent(shared: &Shared, request: &VoteRequest) -> bool {
    let core = shared.core.borrow();
    (request.last_term, request.last_index) >= (core.log.last_term(), core.log.last_index())
}

/// Takes entries from the leader and syncs them.
pub async fn append(shared: Rc<Shared>, request: AppendRequest) -> Result<AppendReply, Status> {
    shared.check()?;
    let _writing = shared.writing.lock().await;
    shared.check()?;
    let known = shared.core.borrow().ballot.generation;
    if known == 0 {
        return Err(Status::unavailable(
            "this replica is still joining: ask again",
        ));
    }
    if known != request.generation || request.term < shared.core.borrow().term() {
        return Ok(reply(&shared, false, 0));
    }
    accept_leader(&shared, request.term, &request.leader).await?;
    shared.core.borrow_mut().called = request.campaign;
    if request.campaign {
        shared.work.raise();
    }
    if !matches(&shared, &request) {
        let last = shared.core.borrow().log.last_index();
        let hint = last.min(request.prev_index.saturating_sub(1));
        return Ok(reply(&shared, false, hint));
    }
    let verified = request.prev_index + request.entries.len() as u64;
    write_entries(&shared, request.entries).await?;
    commit(&shared, request.commit.min(verified));
    Ok(reply(&shared, true, verified))
}

fn reply(shared: &Shared, success: bool, synced: u64) -> AppendReply {
    let core = shared.core.borrow();
    AppendReply {
        term: core.term(),
        success,
        synced,
        generation: core.ballot.generation,
    }
}

/// Follows the leader of a term, and drops what this replica had added as a leader but not synced.
async fn accept_leader(shared: &Shared, term: u64, leader: &str) -> Result<(), Status> {
    if term > shared.core.borrow().term() {
        shared.enter_term(term).await?;
    }
    let mut core = shared.core.borrow_mut();
    if core.leader != leader || core.leading().is_some() {
        core.follow(leader);
        log::info!(target: "control", "follows {leader} in term {term}");
    }
    let synced = core.log.synced();
    core.truncate(synced);
    core.heard = shared.now();
    Ok(())
}

/// Whether the log agrees with the leader's up to the entry before the new ones.
fn matches(shared: &Shared, request: &AppendRequest) -> bool {
    let core = shared.core.borrow();
    // What stands before the base is committed, and so is equal everywhere.
    let agrees = request.prev_index < core.log.base_index()
        || core.log.term(request.prev_index) == Some(request.prev_term);
    core.has_base() && agrees
}

async fn write_entries(shared: &Shared, entries: Vec<Entry>) -> Result<(), Status> {
    let fresh: Vec<Entry> = {
        let core = shared.core.borrow();
        let known =
            |e: &Entry| e.index <= core.log.base_index() || core.log.term(e.index) == Some(e.term);
        entries.into_iter().skip_while(known).collect()
    };
    let Some(first) = fresh.first().map(|e| e.index) else {
        return Ok(());
    };
    if first <= shared.core.borrow().commit {
        return Err(Status::data_loss(
            "the leader would replace committed entries",
        ));
    }
    if let Err(error) = shared.store.append(fresh.clone()).await {
        shared.halt(&error);
        return Err(Status::unavailable(error.to_string()));
    }
    let mut core = shared.core.borrow_mut();
    core.truncate(first - 1);
    for entry in fresh {
        core.push(entry);
    }
    let last = core.log.last_index();
    core.log.set_synced(last);
    Ok(())
}

fn commit(shared: &Shared, index: u64) {
    let mut core = shared.core.borrow_mut();
    if index <= core.commit {
        return;
    }
    core.commit = index;
    let changed = core.apply();
    drop(core);
    shared.work.raise();
    if changed {
        shared.changed.raise();
    }
}

/// Takes a piece of a snapshot; the last one puts it in place.
pub async fn install(shared: Rc<Shared>, request: InstallRequest) -> Result<InstallReply, Status> {
    shared.check()?;
    let _writing = shared.writing.lock().await;
    shared.check()?;
    let (generation, term) = {
        let core = shared.core.borrow();
        (core.ballot.generation, core.term())
    };
    let answer = |term| InstallReply { term, generation };
    if generation == 0 || generation != request.generation || request.term < term {
        return Ok(answer(term));
    }
    accept_leader(&shared, request.term, &request.leader).await?;
    let Some(bytes) = collect(&shared, &request)? else {
        return Ok(answer(request.term));
    };
    let image = Image::decode(bytes.as_slice())
        .map_err(|_| Status::invalid_argument("the snapshot can't be read: send it again"))?;
    let is_news = {
        let core = shared.core.borrow();
        image.index > core.commit || !core.has_base()
    };
    if is_news {
        put_image(&shared, image).await?;
    }
    Ok(answer(request.term))
}

/// Adds a piece; gives all of them with the last one.
fn collect(shared: &Shared, request: &InstallRequest) -> Result<Option<Vec<u8>>, Status> {
    let mut core = shared.core.borrow_mut();
    if request.offset == 0 {
        core.incoming.clear();
    }
    if core.incoming.len() as u64 != request.offset {
        core.incoming.clear();
        return Err(Status::out_of_range(
            "a piece is missing: begin the snapshot again",
        ));
    }
    core.incoming.extend_from_slice(&request.chunk);
    Ok(request.last.then(|| std::mem::take(&mut core.incoming)))
}

async fn put_image(shared: &Shared, image: Image) -> Result<(), Status> {
    let (index, term) = (image.index, image.term);
    let written = async {
        shared.store.write_image(&image).await?;
        shared.store.rewrite(Vec::new()).await
    };
    if let Err(error) = written.await {
        shared.halt(&error);
        return Err(Status::unavailable(error.to_string()));
    }
    log::info!(target: "control", "took a snapshot at index {index}");
    let mut core = shared.core.borrow_mut();
    core.log = Log::after(index, term);
    core.state = State::restore(image);
    core.commit = index;
    core.gather_members();
    drop(core);
    shared.changed.raise();
    Ok(())
}
