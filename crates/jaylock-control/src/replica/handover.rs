use jaylock_rpc::v1::{AppendRequest, Member};

use super::Shared;

/// Stops leading and asks the voter with the longest log to stand for election.
pub async fn hand_over(shared: &Shared) {
    let Some((member, request)) = successor(shared) else {
        return;
    };
    // From here on nothing is answered under the old lease.
    shared.core.borrow_mut().follow("");
    shared.work.raise();
    shared.changed.raise();
    log::info!(target: "control", "hands over to {}", member.instance);
    let call = shared.transport.append(&member, request);
    let _ = jaylock_rpc::with_timeout(shared.settings.answer_timeout, call).await;
}

fn successor(shared: &Shared) -> Option<(Member, AppendRequest)> {
    let core = shared.core.borrow();
    let voters = core.leading()?.peers.iter().filter(|p| {
        let voter = core.member(&p.member.instance);
        voter.is_some_and(|m| m.voter && m.generation == p.member.generation)
    });
    let best = voters.max_by_key(|p| (p.matched, p.heard))?;
    let prev_index = best.matched;
    let request = AppendRequest {
        term: core.term(),
        leader: shared.identity.instance.clone(),
        prev_index,
        prev_term: core.log.term(prev_index)?,
        commit: core.commit.min(prev_index),
        entries: core.log.batch(prev_index),
        generation: best.member.generation,
        campaign: true,
    };
    Some((best.member.clone(), request))
}
