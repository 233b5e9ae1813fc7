use std::net::SocketAddr;
use std::rc::Rc;

use futures_util::future::join_all;
use jaylock_rpc::v1::{GreetReply, Member, VoteReply, VoteRequest};
use jaylock_types::unix_ms;

use super::{Origin, Shared};
use crate::state::State;
use crate::storage::Ballot;

/// Generation of the first members of a group.
pub const FIRST_GENERATION: u64 = 1;

/// What the others say about a group.
enum Group {
    /// It has entries, or this instance is none of its first members.
    Exists,
    /// Too few have answered.
    Unknown,
    /// Nothing was ever committed: it begins with these members, after the newest term they know.
    New(Vec<Member>, u64),
}

/// Decides what a replica with an empty disk is: a first member of a new group, or a new
/// generation that learns from the leader of an existing one.
pub async fn join(shared: &Rc<Shared>) {
    while shared.core.borrow().ballot.generation == 0 && !shared.is_halted() {
        let group = match &shared.origin {
            Origin::Members(members) => ask_members(shared, members).await,
            Origin::Seeds {
                addresses,
                is_first,
            } => ask_seeds(shared, addresses, *is_first).await,
        };
        let outcome = match group {
            Group::Exists => return_new(shared).await,
            Group::New(members, term) => found(shared, members, term).await,
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

async fn found(shared: &Shared, members: Vec<Member>, term: u64) -> Result<(), tonic::Status> {
    let _writing = shared.writing.lock().await;
    let voter = |member: Member| Member {
        generation: FIRST_GENERATION,
        voter: true,
        ..member
    };
    let mut members: Vec<Member> = members.into_iter().map(voter).collect();
    members.sort_by(|a, b| a.instance.cmp(&b.instance));
    log::info!(target: "control", "forms a group of {} replicas", members.len());
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

async fn ask_members(shared: &Shared, members: &[Member]) -> Group {
    let own = |m: &&Member| m.instance == shared.identity.instance;
    if !members.iter().any(|m| own(&m)) {
        return Group::Exists;
    }
    let others = members.iter().filter(|m| !own(m));
    let replies = join_all(others.map(|m| probe(shared, m))).await;
    let replies: Vec<VoteReply> = replies.into_iter().flatten().collect();
    if replies
        .iter()
        .any(|r| r.last_index > 0 || r.generation > FIRST_GENERATION)
    {
        return Group::Exists;
    }
    // An entry that was committed is on a majority of the disks, one of which may have been this
    // one: so many empty answers leave no room for it.
    let quorum = members.len() / 2 + 1;
    let needed = members.len() - quorum + 1;
    if members.len() > 1 && replies.len() < needed {
        return Group::Unknown;
    }
    let term = replies.iter().map(|r| r.term).max().unwrap_or(0);
    Group::New(members.to_vec(), term)
}

/// Asks the seeds who they are; all of them must say that the fleet starts for the first time.
///
/// Without that word an empty disk joins what exists, so that a lost disk never forms a second group.
async fn ask_seeds(shared: &Shared, seeds: &[SocketAddr], is_first: bool) -> Group {
    let own: Option<SocketAddr> = shared.identity.peer_address.parse().ok();
    let is_seed = seeds.iter().any(|seed| Some(*seed) == own);
    if !is_first || !is_seed {
        return Group::Exists;
    }
    let others = seeds.iter().filter(|seed| Some(**seed) != own);
    let replies = join_all(others.map(|seed| greet(shared, *seed))).await;
    if replies.iter().flatten().any(|r| r.joined || !r.first_start) {
        return Group::Exists;
    }
    let members: Option<Vec<Member>> = replies.into_iter().map(|r| r?.member).collect();
    match members {
        Some(mut members) => {
            members.push(shared.identity.clone());
            Group::New(members, 0)
        }
        None => Group::Unknown,
    }
}

async fn greet(shared: &Shared, seed: SocketAddr) -> Option<GreetReply> {
    let call = shared.transport.greet(seed);
    jaylock_rpc::with_timeout(shared.settings.answer_timeout, call)
        .await
        .ok()
}

async fn probe(shared: &Shared, member: &Member) -> Option<VoteReply> {
    let request = VoteRequest {
        candidate: shared.identity.instance.clone(),
        poll: true,
        ..VoteRequest::default()
    };
    let call = shared.transport.vote(member, request);
    jaylock_rpc::with_timeout(shared.settings.answer_timeout, call)
        .await
        .ok()
}
