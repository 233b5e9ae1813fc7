use std::rc::Rc;
use std::time::Instant;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use jaylock_rpc::v1::{Member, VoteReply, VoteRequest};

use super::core::Leading;
use super::{Progress, Shared};
use crate::storage::Ballot;

/// A vote that counts.
struct Vote {
    member: Member,
    sent: Instant,
}

/// Follows a leader until this replica leads itself or is halted.
pub async fn follow(shared: &Rc<Shared>) {
    let mut patience = shared.patience();
    while !shared.is_halted() && shared.core.borrow().leading().is_none() {
        let seen = shared.work.count();
        let (silence, called) = {
            let core = shared.core.borrow();
            (shared.now().duration_since(core.heard), core.called)
        };
        if called || silence >= patience {
            stand(shared, called).await;
            patience = shared.patience();
            shared.core.borrow_mut().called = false;
            if shared.core.borrow().leading().is_none() {
                compio::time::sleep(patience / 4).await;
            }
            continue;
        }
        let pause = patience.saturating_sub(silence);
        let _ = compio::time::timeout(pause, shared.work.past(seen)).await;
    }
}

/// Stands for election: first a poll that disturbs nobody, then the vote.
async fn stand(shared: &Rc<Shared>, called: bool) {
    if !shared.core.borrow().is_voter() {
        return;
    }
    if !called && !poll(shared).await {
        return;
    }
    let Some(term) = vote_for_self(shared).await else {
        return;
    };
    log::info!(target: "control", "stands for election in term {term}");
    let votes = gather(shared, request(shared, term, false, called)).await;
    let quorum = shared.core.borrow().quorum();
    // The term may have passed while the votes came in.
    if votes.len() + 1 >= quorum && shared.core.borrow().term() == term {
        begin(shared, votes);
    }
}

async fn poll(shared: &Shared) -> bool {
    let (term, quorum) = {
        let core = shared.core.borrow();
        (core.seen_term + 1, core.quorum())
    };
    let votes = gather(shared, request(shared, term, true, false)).await;
    let silent = shared.now().duration_since(shared.core.borrow().heard);
    votes.len() + 1 >= quorum && silent >= shared.settings.election
}

async fn vote_for_self(shared: &Shared) -> Option<u64> {
    let _writing = shared.writing.lock().await;
    let ballot = {
        let mut core = shared.core.borrow_mut();
        let synced = core.log.synced();
        core.truncate(synced);
        Ballot {
            generation: core.ballot.generation,
            term: core.seen_term + 1,
            voted: shared.identity.instance.clone(),
        }
    };
    let term = ballot.term;
    shared.set_ballot(ballot).await.ok()?;
    Some(term)
}

fn request(shared: &Shared, term: u64, poll: bool, handover: bool) -> VoteRequest {
    let core = shared.core.borrow();
    VoteRequest {
        term,
        candidate: shared.identity.instance.clone(),
        generation: core.ballot.generation,
        last_index: core.log.last_index(),
        last_term: core.log.last_term(),
        poll,
        handover,
    }
}

/// Asks every other voter and returns once a majority with this replica has agreed.
async fn gather(shared: &Shared, request: VoteRequest) -> Vec<Vote> {
    let (members, needed) = {
        let core = shared.core.borrow();
        let others = core.voters().filter(|m| !core.is_own(m));
        let asked: Vec<Member> = others.cloned().collect();
        (asked, core.quorum() - 1)
    };
    let asked = members.into_iter().map(|m| ask(shared, m, request.clone()));
    let mut replies: FuturesUnordered<_> = asked.collect();
    let mut votes = Vec::new();
    while votes.len() < needed {
        let Some(vote) = replies.next().await else {
            break;
        };
        votes.extend(vote);
    }
    votes
}

async fn ask(shared: &Shared, member: Member, request: VoteRequest) -> Option<Vote> {
    let sent = shared.now();
    let call = shared.transport.vote(&member, request);
    let reply = jaylock_rpc::with_timeout(shared.settings.answer_timeout, call);
    let VoteReply {
        term,
        granted,
        generation,
        ..
    } = reply.await.ok()?;
    shared.note_term(term);
    // A voter that has lost its disk may have forgotten an earlier vote.
    let counts = granted && generation == member.generation;
    counts.then_some(Vote { member, sent })
}

fn begin(shared: &Shared, votes: Vec<Vote>) {
    let now = shared.now();
    let (next, others) = {
        let core = shared.core.borrow();
        let others = core.members.iter().filter(|m| !core.is_own(m));
        let others: Vec<Member> = others.cloned().collect();
        (core.log.last_index() + 1, others)
    };
    let mut leading = Leading {
        start: next,
        since: now,
        peers: others.into_iter().map(|m| Progress::new(m, next)).collect(),
    };
    // Who gave a vote gives none to another within the election time.
    for vote in votes {
        if let Some(progress) = leading.progress_mut(&vote.member) {
            progress.heard = Some(vote.sent);
        }
    }
    shared.begin(leading);
}
