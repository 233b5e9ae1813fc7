use std::rc::Rc;
use std::time::Instant;

use jaylock_rpc::v1::{AppendReply, AppendRequest, InstallRequest, Member};
use prost::Message;

use super::Shared;
use super::progress::is_same;

/// Bytes of one piece of a snapshot.
const PIECE_BYTES: usize = 256 << 10;

/// Answer times that one piece of a snapshot may take.
const PIECE_PATIENCE: u32 = 10;

/// Keeps one other replica up to date while this one leads.
pub async fn replicate(shared: Rc<Shared>, member: Member) {
    loop {
        let seen = shared.work.count();
        let Some(wants_image) = needs_image(&shared, &member) else {
            return;
        };
        let answered = if wants_image {
            install(&shared, &member).await
        } else {
            append(&shared, &member).await
        };
        if answered && has_more(&shared, &member) {
            continue;
        }
        let pause = shared.settings.heartbeat;
        if answered {
            let _ = compio::time::timeout(pause, wait_for_more(&shared, &member, seen)).await;
        } else {
            compio::time::sleep(pause).await;
        }
    }
}

/// Returns once there is an entry or a commit that the other replica does not have.
async fn wait_for_more(shared: &Shared, member: &Member, mut seen: u64) {
    loop {
        shared.work.past(seen).await;
        seen = shared.work.count();
        if has_more(shared, member) {
            return;
        }
    }
}

fn has_more(shared: &Shared, member: &Member) -> bool {
    let core = shared.core.borrow();
    let Some(progress) = core.leading().and_then(|l| l.progress(member)) else {
        return true;
    };
    let is_known = progress.generation == member.generation;
    is_known && (progress.next <= core.log.last_index() || progress.told < core.commit)
}

/// `None` once this replica leads no more or the other is no member.
fn needs_image(shared: &Shared, member: &Member) -> Option<bool> {
    let core = shared.core.borrow();
    let progress = core.leading()?.progress(member)?;
    Some(progress.install || progress.next <= core.log.base_index())
}

async fn append(shared: &Shared, member: &Member) -> bool {
    let Some(request) = request(shared, member) else {
        return false;
    };
    let (sent, commit) = (shared.now(), request.commit);
    let call = shared.transport.append(member, request);
    let reply = jaylock_rpc::with_timeout(shared.settings.answer_timeout, call).await;
    let Ok(reply) = reply else {
        return false;
    };
    note(shared, member, sent, commit, &reply);
    true
}

fn request(shared: &Shared, member: &Member) -> Option<AppendRequest> {
    let core = shared.core.borrow();
    let progress = core.leading()?.progress(member)?;
    let prev_index = progress.next - 1;
    Some(AppendRequest {
        term: core.term(),
        leader: shared.identity.instance.clone(),
        prev_index,
        prev_term: core.log.term(prev_index)?,
        commit: core.commit,
        entries: core.log.batch(prev_index),
        generation: member.generation,
        campaign: false,
    })
}

fn note(shared: &Shared, member: &Member, sent: Instant, commit: u64, reply: &AppendReply) {
    shared.note_term(reply.term);
    let mut core = shared.core.borrow_mut();
    let term = core.term();
    let base = core.log.base_index();
    let Some(progress) = core.leading_mut().and_then(|l| l.progress_mut(member)) else {
        return;
    };
    progress.generation = reply.generation;
    if reply.generation != member.generation || reply.term != term {
        return;
    }
    progress.heard = progress.heard.max(Some(sent));
    if reply.success {
        progress.matched = progress.matched.max(reply.synced);
        progress.next = progress.matched + 1;
        progress.told = commit.min(progress.matched);
        drop(core);
        shared.advance();
        return;
    }
    progress.next = (reply.synced + 1)
        .min(progress.next.saturating_sub(1))
        .max(1);
    // A later generation began without the group's first members, which no entry holds.
    progress.install = progress.next <= base || (reply.synced == 0 && member.generation > 1);
}

async fn install(shared: &Shared, member: &Member) -> bool {
    let image = shared.core.borrow().state.image();
    let bytes = image.encode_to_vec();
    let limit = shared.settings.answer_timeout * PIECE_PATIENCE;
    let mut offset = 0;
    while offset < bytes.len() {
        let end = bytes.len().min(offset + PIECE_BYTES);
        let request = InstallRequest {
            term: shared.core.borrow().term(),
            leader: shared.identity.instance.clone(),
            last_index: image.index,
            last_term: image.term,
            offset: offset as u64,
            chunk: bytes[offset..end].to_vec(),
            last: end == bytes.len(),
            generation: member.generation,
        };
        let sent = shared.now();
        let call = shared.transport.install(member, request);
        let Ok(reply) = jaylock_rpc::with_timeout(limit, call).await else {
            return false;
        };
        shared.note_term(reply.term);
        let mut core = shared.core.borrow_mut();
        let term = core.term();
        let Some(progress) = core.leading_mut().and_then(|l| l.progress_mut(member)) else {
            return false;
        };
        progress.generation = reply.generation;
        if reply.generation != member.generation || reply.term != term {
            return false;
        }
        progress.heard = progress.heard.max(Some(sent));
        offset = end;
    }
    let mut core = shared.core.borrow_mut();
    if let Some(progress) = core.leading_mut().and_then(|l| l.progress_mut(member)) {
        progress.install = false;
        progress.matched = progress.matched.max(image.index);
        progress.next = progress.matched + 1;
    }
    true
}

/// Members that a leader sends to, but for those that it already does.
pub fn newcomers(shared: &Shared, served: &[Member]) -> Vec<Member> {
    let core = shared.core.borrow();
    let others = core.members.iter().filter(|m| !core.is_own(m));
    let unserved = others.filter(|m| !served.iter().any(|s| is_same(s, m)));
    unserved.cloned().collect()
}
