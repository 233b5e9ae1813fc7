use std::rc::Rc;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use jaylock_rpc::v1::{Member, VoteReply, VoteRequest};

use super::core::{LeaderState, OpenElection};
use super::{Progress, Shared};
use crate::storage::HardState;

/// A voter has refused its vote.
struct Refused;

/// Replies to a vote request.
struct Ballot {
    /// Voters that grant their votes and still have the disks of their member records.
    votes: Vec<Member>,
    /// Whether a voter has refused its vote.
    is_refused: bool,
}

/// Runs as a follower until this replica becomes leader or halts.
pub async fn run_follower(shared: &Rc<Shared>) {
    let mut election_timeout = shared.random_election_timeout();
    while !shared.is_halted() && shared.core.borrow().leader_state().is_none() {
        let seen = shared.activity.count();
        let (since_contact, is_transfer) = {
            let core = shared.core.borrow();
            (
                core.time_since_contact(shared.now()),
                core.is_election_requested,
            )
        };
        if is_transfer || since_contact >= election_timeout {
            run_election(shared, is_transfer).await;
            election_timeout = shared.random_election_timeout();
            shared.core.borrow_mut().is_election_requested = false;
            if shared.core.borrow().leader_state().is_none() {
                compio::time::sleep(election_timeout / 4).await;
            }
            continue;
        }
        let remaining = election_timeout.saturating_sub(since_contact);
        let _ = compio::time::timeout(remaining, shared.activity.wait_past(seen)).await;
    }
}

/// Runs an election: a pre-vote that raises no term, then the vote.
///
/// A leadership transfer (`is_transfer`) skips the pre-vote.
async fn run_election(shared: &Rc<Shared>, is_transfer: bool) {
    if !shared.core.borrow().is_voter() {
        return;
    }
    let Some(election) = begin_term(shared, is_transfer).await else {
        return;
    };
    let term = election.term;
    let request = vote_request(shared, term, false, is_transfer);
    let Ballot { votes, is_refused } = collect_votes(shared, request).await;
    if is_refused {
        shared.core.borrow_mut().open_election = None;
    }
    let quorum = shared.core.borrow().quorum();
    // A newer term may have begun while the votes were collected.
    if votes.len() + 1 >= quorum && shared.core.borrow().term() == term {
        become_leader(shared, &votes, election);
    }
}

/// Returns the open election, or begins one in a new term.
///
/// The voters of an open election may still be writing their votes.
async fn begin_term(shared: &Shared, is_transfer: bool) -> Option<OpenElection> {
    let open_election = shared.core.borrow().open_election();
    if open_election.is_some() {
        return open_election;
    }
    if !is_transfer && !wins_pre_vote(shared).await {
        return None;
    }
    let election = vote_for_self(shared, is_transfer).await?;
    log::info!(target: "control", "starting an election in term {}", election.term);
    Some(election)
}

async fn wins_pre_vote(shared: &Shared) -> bool {
    let (term, quorum) = {
        let core = shared.core.borrow();
        (core.highest_term + 1, core.quorum())
    };
    let request = vote_request(shared, term, true, false);
    let Ballot { votes, .. } = collect_votes(shared, request).await;
    votes.len() + 1 >= quorum && may_vote_for_self(shared)
}

fn may_vote_for_self(shared: &Shared) -> bool {
    let since_contact = shared.core.borrow().time_since_contact(shared.now());
    since_contact >= shared.settings.election_timeout
}

/// Votes for this replica in a new term and returns the election; `None` if this replica is halted or its disk fails.
///
/// Removes entries that this replica appended as a leader but has not synced.
async fn vote_for_self(shared: &Shared, is_transfer: bool) -> Option<OpenElection> {
    let _disk_guard = shared.disk_lock.lock().await;
    shared.ensure_running().ok()?;
    // A heartbeat may have been answered in the meantime, and the leader relies on it.
    if !is_transfer && !may_vote_for_self(shared) {
        return None;
    }
    let hard_state = {
        let mut core = shared.core.borrow_mut();
        let synced = core.log.synced();
        core.truncate(synced);
        HardState {
            term: core.highest_term + 1,
            voted_for: shared.identity.instance.clone(),
            ..core.hard_state.clone()
        }
    };
    let term = hard_state.term;
    shared.save_hard_state(hard_state).await.ok()?;
    let election = OpenElection {
        term,
        opened_at: shared.now(),
    };
    shared.core.borrow_mut().open_election = Some(election);
    Some(election)
}

fn vote_request(shared: &Shared, term: u64, is_pre_vote: bool, is_transfer: bool) -> VoteRequest {
    let core = shared.core.borrow();
    VoteRequest {
        term,
        candidate: shared.identity.instance.clone(),
        generation: core.hard_state.generation,
        last_index: core.log.last_index(),
        last_term: core.log.last_term(),
        poll: is_pre_vote,
        handover: is_transfer,
    }
}

/// Requests votes from all other voters and returns once they form a majority with this replica.
async fn collect_votes(shared: &Shared, request: VoteRequest) -> Ballot {
    let (members, needed) = {
        let core = shared.core.borrow();
        let others = core.voters().filter(|m| !core.is_self(m));
        let others: Vec<Member> = others.cloned().collect();
        (others, core.quorum() - 1)
    };
    let calls = members
        .into_iter()
        .map(|m| request_vote(shared, m, request.clone()));
    let mut replies: FuturesUnordered<_> = calls.collect();
    let mut ballot = Ballot {
        votes: Vec::new(),
        is_refused: false,
    };
    while ballot.votes.len() < needed {
        match replies.next().await {
            Some(Some(Ok(vote))) => ballot.votes.push(vote),
            Some(Some(Err(Refused))) => ballot.is_refused = true,
            Some(None) => {}
            None => break,
        }
    }
    ballot
}

/// Requests a vote; returns `None` without a reply.
async fn request_vote(
    shared: &Shared,
    member: Member,
    request: VoteRequest,
) -> Option<Result<Member, Refused>> {
    let call = shared.transport.vote(&member, request);
    let reply = jaylock_rpc::with_timeout(shared.settings.reply_timeout, call);
    let VoteReply {
        term,
        granted,
        generation,
        ..
    } = reply.await.ok()?;
    shared.observe_term(term);
    // A voter that lost its disk may have lost the record of an earlier vote.
    let counts = granted && generation == member.generation;
    Some(counts.then_some(member).ok_or(Refused))
}

fn become_leader(shared: &Shared, votes: &[Member], election: OpenElection) {
    let now = shared.now();
    let (next, others) = {
        let core = shared.core.borrow();
        let others = core.members.iter().filter(|m| !core.is_self(m));
        let others: Vec<Member> = others.cloned().collect();
        (core.log.last_index() + 1, others)
    };
    let mut leader_state = LeaderState {
        first_index: next,
        elected_at: now,
        peers: others.into_iter().map(|m| Progress::new(m, next)).collect(),
    };
    // A voter grants no other vote within the election timeout, so its first grant counts as a contact.
    for voter in votes {
        if let Some(progress) = leader_state.progress_mut(voter) {
            progress.last_contact = Some(election.opened_at);
        }
    }
    shared.become_leader(leader_state);
}
