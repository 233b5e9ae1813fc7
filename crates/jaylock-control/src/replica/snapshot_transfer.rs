use std::rc::Rc;
use std::time::Instant;

use jaylock_rpc::v1::{InstallReply, InstallRequest, Member};
use prost::Message;

use super::Shared;

/// Size of one chunk of a snapshot.
const SNAPSHOT_CHUNK_BYTES: usize = 256 << 10;

/// Reply timeouts allowed for one chunk of a snapshot.
const CHUNK_TIMEOUT_FACTOR: u32 = 10;

/// A snapshot in the encoding in which it is sent to all replicas that need it at the same time.
#[derive(Debug)]
pub struct OutgoingSnapshot {
    index: u64,
    term: u64,
    bytes: Vec<u8>,
}

/// Sends a snapshot in chunks; returns whether the other replica has installed it.
pub async fn send_snapshot(shared: &Shared, member: &Member) -> bool {
    let snapshot = current_snapshot(shared);
    let chunk_timeout = shared.settings.reply_timeout * CHUNK_TIMEOUT_FACTOR;
    let mut offset = 0;
    while offset < snapshot.bytes.len() {
        let request = chunk_request(shared, member, &snapshot, offset);
        offset += request.chunk.len();
        let sent_at = shared.now();
        let call = shared.transport.install(member, request);
        let Ok(reply) = jaylock_rpc::with_timeout(chunk_timeout, call).await else {
            return false;
        };
        if !record_reply(shared, member, sent_at, &reply) {
            return false;
        }
    }
    let mut core = shared.core.borrow_mut();
    if let Some(progress) = core.leader_state_mut().and_then(|l| l.progress_mut(member)) {
        progress.needs_snapshot = false;
        progress.match_index = progress.match_index.max(snapshot.index);
        progress.next_index = progress.match_index + 1;
    }
    true
}

/// The snapshot that is on its way to another replica, if the log goes on after it, or a new one.
fn current_snapshot(shared: &Shared) -> Rc<OutgoingSnapshot> {
    let mut outgoing = shared.outgoing_snapshot.borrow_mut();
    let core = shared.core.borrow();
    let continues_in_log = |s: &Rc<OutgoingSnapshot>| s.index >= core.log.base_index();
    if let Some(snapshot) = outgoing.upgrade().filter(continues_in_log) {
        return snapshot;
    }
    let snapshot = core.state.snapshot();
    let snapshot = Rc::new(OutgoingSnapshot {
        index: snapshot.index,
        term: snapshot.term,
        bytes: snapshot.encode_to_vec(),
    });
    *outgoing = Rc::downgrade(&snapshot);
    snapshot
}

fn chunk_request(
    shared: &Shared,
    member: &Member,
    snapshot: &OutgoingSnapshot,
    offset: usize,
) -> InstallRequest {
    let end = snapshot.bytes.len().min(offset + SNAPSHOT_CHUNK_BYTES);
    InstallRequest {
        term: shared.core.borrow().term(),
        leader: shared.identity.instance.clone(),
        last_index: snapshot.index,
        last_term: snapshot.term,
        offset: offset as u64,
        chunk: snapshot.bytes[offset..end].to_vec(),
        last: end == snapshot.bytes.len(),
        generation: member.generation,
    }
}

/// Records the reply to a chunk; returns whether the next one may be sent.
fn record_reply(shared: &Shared, member: &Member, sent_at: Instant, reply: &InstallReply) -> bool {
    shared.observe_term(reply.term);
    let mut core = shared.core.borrow_mut();
    let term = core.term();
    let Some(progress) = core.leader_state_mut().and_then(|l| l.progress_mut(member)) else {
        return false;
    };
    progress.generation = reply.generation;
    if reply.generation != member.generation || reply.term != term {
        return false;
    }
    progress.record_transfer(sent_at);
    true
}
