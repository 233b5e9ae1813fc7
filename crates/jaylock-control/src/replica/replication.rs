use std::pin::pin;
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use futures_util::future::{Either, select};
use jaylock_rpc::v1::{AppendReply, AppendRequest, Member};

use super::Shared;
use super::progress::is_same_replica;
use super::snapshot_transfer::send_snapshot;
use crate::transport::time_for;

/// Replicates the log to one other replica for as long as this one leads.
pub async fn replicate(shared: Rc<Shared>, member: Member) {
    loop {
        let seen = shared.activity.count();
        let Some(wants_snapshot) = needs_snapshot(&shared, &member) else {
            return;
        };
        let succeeded = if wants_snapshot {
            send_snapshot(&shared, &member).await
        } else {
            send_entries(&shared, &member).await
        };
        if succeeded && has_updates(&shared, &member) {
            continue;
        }
        let interval = shared.settings.heartbeat_interval;
        if succeeded {
            let _ = compio::time::timeout(interval, wait_for_updates(&shared, &member, seen)).await;
        } else {
            compio::time::sleep(interval).await;
        }
    }
}

/// Returns once there is an entry or commit index that the other replica lacks.
async fn wait_for_updates(shared: &Shared, member: &Member, mut seen: u64) {
    loop {
        shared.activity.wait_past(seen).await;
        seen = shared.activity.count();
        if has_updates(shared, member) {
            return;
        }
    }
}

fn has_updates(shared: &Shared, member: &Member) -> bool {
    let core = shared.core.borrow();
    let Some(progress) = core.leader_state().and_then(|l| l.progress(member)) else {
        return true;
    };
    let is_same_disk = progress.generation == member.generation;
    is_same_disk
        && (progress.next_index <= core.log.last_index()
            || progress.sent_commit < core.commit_index)
}

/// Whether the other replica needs a snapshot.
///
/// Returns `None` if this replica is no longer the leader or the other one no longer a member.
fn needs_snapshot(shared: &Shared, member: &Member) -> Option<bool> {
    let core = shared.core.borrow();
    let progress = core.leader_state()?.progress(member)?;
    Some(progress.needs_snapshot || progress.next_index <= core.log.base_index())
}

async fn send_entries(shared: &Shared, member: &Member) -> bool {
    let Some(request) = append_request(shared, member) else {
        return false;
    };
    let (sent_at, commit) = (shared.now(), request.commit);
    // A large document takes longer to send, to read and to write.
    let bytes = request.entries.iter().map(Bytes::len).sum();
    let timeout = time_for(shared.settings.reply_timeout, bytes);
    let call = shared.transport.append(member, request);
    let reply = jaylock_rpc::with_timeout(timeout, call);
    let contacts = keep_contact(shared, member);
    let Either::Left((Ok(reply), _)) = select(pin!(reply), pin!(contacts)).await else {
        return false;
    };
    record_reply(shared, member, sent_at, commit, &reply);
    true
}

/// Keeps contact with a replica whose disk may take long to write what it was sent.
async fn keep_contact(shared: &Shared, member: &Member) {
    while shared.core.borrow().leader_state().is_some() {
        compio::time::sleep(shared.settings.heartbeat_interval).await;
        let request = AppendRequest {
            term: shared.core.borrow().term(),
            leader: shared.identity.instance.clone(),
            generation: member.generation,
            ..AppendRequest::default()
        };
        let sent_at = shared.now();
        let call = shared.transport.append(member, request);
        let reply = jaylock_rpc::with_timeout(shared.settings.reply_timeout, call).await;
        if let Ok(reply) = reply {
            record_contact(shared, member, sent_at, &reply);
        }
    }
}

fn record_contact(shared: &Shared, member: &Member, sent_at: Instant, reply: &AppendReply) {
    shared.observe_term(reply.term);
    let mut core = shared.core.borrow_mut();
    let is_same = reply.term == core.term() && reply.generation == member.generation;
    let progress = core.leader_state_mut().and_then(|l| l.progress_mut(member));
    if let Some(progress) = progress.filter(|_| is_same) {
        progress.last_contact = progress.last_contact.max(Some(sent_at));
    }
}

fn append_request(shared: &Shared, member: &Member) -> Option<AppendRequest> {
    let core = shared.core.borrow();
    let progress = core.leader_state()?.progress(member)?;
    core.append_request(progress.next_index - 1, member.generation)
}

fn record_reply(
    shared: &Shared,
    member: &Member,
    sent_at: Instant,
    commit: u64,
    reply: &AppendReply,
) {
    shared.observe_term(reply.term);
    let mut core = shared.core.borrow_mut();
    let term = core.term();
    let base = core.log.base_index();
    let Some(progress) = core.leader_state_mut().and_then(|l| l.progress_mut(member)) else {
        return;
    };
    progress.generation = reply.generation;
    if reply.generation != member.generation || reply.term != term {
        return;
    }
    progress.record_transfer(sent_at);
    if reply.success {
        progress.match_index = progress.match_index.max(reply.synced);
        progress.next_index = progress.match_index + 1;
        progress.sent_commit = commit.min(progress.match_index);
        drop(core);
        shared.advance_commit();
        return;
    }
    progress.next_index = (reply.synced + 1)
        .min(progress.next_index.saturating_sub(1))
        .max(1);
    // A later generation starts without the initial members, which are in no log entry.
    progress.needs_snapshot =
        progress.next_index <= base || (reply.synced == 0 && member.generation > 1);
}

/// Members other than this replica that have no replication task yet.
pub fn new_peers(shared: &Shared, known: &[Member]) -> Vec<Member> {
    let core = shared.core.borrow();
    let others = core.members.iter().filter(|m| !core.is_self(m));
    let unknown = others.filter(|m| !known.iter().any(|s| is_same_replica(s, m)));
    unknown.cloned().collect()
}
