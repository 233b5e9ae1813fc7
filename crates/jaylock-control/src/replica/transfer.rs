use jaylock_rpc::v1::{AppendRequest, Member};

use super::Shared;

/// Steps down and asks the voter with the longest log to start an election.
pub async fn transfer_leadership(shared: &Shared) {
    let Some((member, request)) = successor(shared) else {
        return;
    };
    // Step down first, so that nothing is served under the leader lease from here on.
    shared.core.borrow_mut().become_follower("");
    shared.activity.notify();
    shared.config_changed.notify();
    log::info!(target: "control", "transferring leadership to {}", member.instance);
    let call = shared.transport.append(&member, request);
    let _ = jaylock_rpc::with_timeout(shared.settings.reply_timeout, call).await;
}

fn successor(shared: &Shared) -> Option<(Member, AppendRequest)> {
    let core = shared.core.borrow();
    let voters = core.leader_state()?.peers.iter().filter(|p| {
        let voter = core.member(&p.member.instance);
        voter.is_some_and(|m| m.voter && m.generation == p.member.generation)
    });
    let best = voters.max_by_key(|p| (p.match_index, p.last_contact))?;
    let request = core.append_request(best.match_index, best.member.generation)?;
    let request = AppendRequest {
        campaign: true,
        ..request
    };
    Some((best.member.clone(), request))
}
