//! Which replicas belong to the group: one change at a time, and none without its disk.

use std::rc::Rc;
use std::time::Instant;

use jaylock_rpc::v1::command::Body;
use jaylock_rpc::v1::{AppendRequest, Configuration, Member};

use crate::replica::{Core, Progress, Shared};

/// Answer times after which a learner that is heard counts as caught up no more.
const HEARD_ANSWERS: u32 = 3;

/// Replaces lost disks and lost replicas while this replica leads.
pub async fn keep(shared: Rc<Shared>) {
    loop {
        compio::time::sleep(shared.settings.heartbeat_interval).await;
        let Ok(configuration) = shared.read_configuration() else {
            continue;
        };
        if !is_settled(&shared.core.borrow()) {
            continue;
        }
        let change = match repair(&shared) {
            Some(change) => Some(change),
            None => recruit(&shared, &configuration).await,
        };
        let Some(body) = change else {
            continue;
        };
        if !is_settled(&shared.core.borrow()) {
            continue;
        }
        match shared.submit_body(body).await {
            Ok(_) => {
                let voters = shared.core.borrow().voters().count();
                log::info!(target: "control", "replicas vote: {voters}");
            }
            Err(refusal) => {
                log::debug!(target: "control", "members were not changed: {refusal:?}");
            }
        }
    }
}

/// Whether the last change of members is committed.
fn is_settled(core: &Core) -> bool {
    core.members_index <= core.state.index()
}

fn repair(shared: &Shared) -> Option<Body> {
    let now = shared.now();
    let core = shared.core.borrow();
    let leader_state = core.leader_state()?;
    // A replica that answers under another generation has lost its disk.
    let reborn = leader_state
        .peers
        .iter()
        .find(|p| p.generation > 0 && p.generation != p.member.generation);
    if let Some(progress) = reborn {
        return Some(Body::PutMember(Member {
            generation: progress.generation,
            voter: false,
            ..progress.member.clone()
        }));
    }
    let elected_at = leader_state.elected_at;
    let is_lost = |p: &&Progress| silence(p, elected_at, now) >= shared.settings.replace_after;
    let lost = leader_state.peers.iter().find(is_lost);
    let learner = leader_state
        .peers
        .iter()
        .find(|p| is_ready(shared, &core, p, now));
    let voters = core.voters().count();
    match (learner, lost) {
        // The place is cleared first: so long, the majority does not grow.
        (Some(_), Some(lost)) if voters >= shared.settings.voters => {
            Some(Body::RemoveMember(lost.member.instance.clone()))
        }
        (Some(learner), _) => Some(Body::PutMember(Member {
            voter: true,
            ..learner.member.clone()
        })),
        (None, Some(lost)) if !is_voter(&core, lost) => {
            Some(Body::RemoveMember(lost.member.instance.clone()))
        }
        _ => None,
    }
}

fn silence(progress: &Progress, since: Instant, now: Instant) -> std::time::Duration {
    now.duration_since(progress.last_contact.unwrap_or(since))
}

fn is_voter(core: &Core, progress: &Progress) -> bool {
    core.member(&progress.member.instance)
        .is_some_and(|m| m.voter)
}

/// Whether a learner has all that is committed on its disk.
fn is_ready(shared: &Shared, core: &Core, progress: &Progress, now: Instant) -> bool {
    let recent = shared.settings.reply_timeout * HEARD_ANSWERS;
    let is_heard = progress
        .last_contact
        .is_some_and(|at| now.duration_since(at) < recent);
    !is_voter(core, progress) && is_heard && progress.match_index >= core.commit_index
}

/// Takes a spare instance with a disk in, when a replica is missing.
async fn recruit(shared: &Shared, configuration: &Configuration) -> Option<Body> {
    let spare = choose(shared, configuration)?;
    let request = {
        let core = shared.core.borrow();
        AppendRequest {
            term: core.term(),
            leader: shared.identity.instance.clone(),
            ..AppendRequest::default()
        }
    };
    // Generation 0 is nobody's: the spare answers with its own.
    let call = shared.transport.append(&spare, request);
    let reply = jaylock_rpc::with_timeout(shared.settings.reply_timeout, call).await;
    let generation = reply.ok()?.generation;
    log::info!(target: "control", "takes {} in as a replica", spare.instance);
    (generation > 0).then_some(Body::PutMember(Member {
        generation,
        ..spare
    }))
}

fn choose(shared: &Shared, configuration: &Configuration) -> Option<Member> {
    let now = shared.now();
    let core = shared.core.borrow();
    let leader_state = core.leader_state()?;
    let is_lost = |instance: &str| {
        let lost = leader_state
            .peers
            .iter()
            .find(|p| p.member.instance == instance);
        lost.is_some_and(|p| {
            silence(p, leader_state.elected_at, now) >= shared.settings.replace_after
        })
    };
    let staying = core.members.iter().filter(|m| !is_lost(&m.instance));
    let domains: Vec<&str> = staying.map(|m| m.domain.as_str()).collect();
    if domains.len() >= shared.settings.voters {
        return None;
    }
    let leases = shared.leases.borrow();
    let candidates = configuration.instances.iter().filter(|i| {
        let is_live = leases.is_live(&i.id, now, shared.settings.instance_lease);
        i.disk && !i.leaving && is_live && core.member(&i.id).is_none()
    });
    let held = |domain: &str| domains.iter().filter(|d| **d == domain).count();
    let spare = candidates.min_by_key(|i| (held(&i.domain), i.id.clone()))?;
    Some(Member {
        instance: spare.id.clone(),
        generation: 0,
        peer_address: spare.peer_address.clone(),
        domain: spare.domain.clone(),
        voter: false,
    })
}
