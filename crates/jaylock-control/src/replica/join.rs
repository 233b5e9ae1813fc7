use std::rc::Rc;

use jaylock_rpc::v1::{Member, VoteReply, VoteRequest};
use jaylock_types::unix_ms;

use super::Shared;
use crate::state::State;
use crate::storage::Ballot;

/// Generation of the first members of a group.
const FIRST_GENERATION: u64 = 1;

/// What the others say about a group.
enum Group {
    /// It has entries, or this instance is none of its first members.
    Exists,
    /// Too few have answered.
    Unknown,
    /// So many have no entries that nothing was ever committed; the newest term they know.
    New(u64),
}

/// Decides what a replica with an empty disk is: a first member of a new group, or a new
/// generation that learns from the leader of an existing one.
pub async fn join(shared: &Rc<Shared>) {
    while shared.core.borrow().ballot.generation == 0 && !shared.is_halted() {
        let outcome = match ask(shared).await {
            Group::Exists => return_new(shared).await,
            Group::New(term) => found(shared, term).await,
            Group::Unknown => {
                compio::time::sleep(shared.settings.heartbeat).await;
                continue;
            }
        };
        if outcome.is_err() {
            return;
        }
    }
}

async fn return_new(shared: &Shared) -> Result<(), tonic::Status> {
    let _writing = shared.writing.lock().await;
    let generation = unix_ms().max(FIRST_GENERATION + 1);
    log::info!(target: "control", "joins as generation {generation}");
    let ballot = Ballot {
        generation,
        ..Ballot::default()
    };
    shared.set_ballot(ballot).await
}

async fn found(shared: &Shared, term: u64) -> Result<(), tonic::Status> {
    let _writing = shared.writing.lock().await;
    let voter = |member: &Member| Member {
        generation: FIRST_GENERATION,
        voter: true,
        ..member.clone()
    };
    let mut members: Vec<Member> = shared.bootstrap.iter().map(voter).collect();
    members.sort_by(|a, b| a.instance.cmp(&b.instance));
    let state = State::initial(members);
    if let Err(error) = shared.store.write_image(&state.image()).await {
        shared.halt(&error);
        return Err(tonic::Status::unavailable(error.to_string()));
    }
    {
        let mut core = shared.core.borrow_mut();
        core.state = state;
        core.gather_members();
        core.heard = shared.now();
    }
    // A vote may have been given in this term before a disk was lost.
    let given = if term > 0 { "-" } else { "" };
    let ballot = Ballot {
        generation: FIRST_GENERATION,
        term,
        voted: given.into(),
    };
    shared.set_ballot(ballot).await
}

async fn ask(shared: &Shared) -> Group {
    let own = |m: &&Member| m.instance == shared.identity.instance;
    if !shared.bootstrap.iter().any(|m| own(&m)) {
        return Group::Exists;
    }
    let others = shared.bootstrap.iter().filter(|m| !own(m));
    let replies = futures_util::future::join_all(others.map(|m| probe(shared, m))).await;
    let replies: Vec<VoteReply> = replies.into_iter().flatten().collect();
    if replies
        .iter()
        .any(|r| r.last_index > 0 || r.generation > FIRST_GENERATION)
    {
        return Group::Exists;
    }
    // An entry that was committed is on a majority of the disks, one of which may have been this
    // one: so many empty answers leave no room for it.
    let members = shared.bootstrap.len();
    let quorum = members / 2 + 1;
    let needed = members - quorum + 1;
    if members > 1 && replies.len() < needed {
        return Group::Unknown;
    }
    Group::New(replies.iter().map(|r| r.term).max().unwrap_or(0))
}

async fn probe(shared: &Shared, member: &Member) -> Option<VoteReply> {
    let request = VoteRequest {
        candidate: shared.identity.instance.clone(),
        poll: true,
        ..VoteRequest::default()
    };
    let call = shared.transport.vote(member, request);
    jaylock_rpc::within(shared.settings.answer_timeout, call)
        .await
        .ok()
}
