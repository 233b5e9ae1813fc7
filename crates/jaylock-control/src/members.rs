//! Maintains the members of the group, with at most one uncommitted change at a time.
//!
//! A replica that has lost its disk becomes a learner again.

use std::rc::Rc;
use std::time::Instant;

use jaylock_rpc::v1::command::Body;
use jaylock_rpc::v1::{AppendRequest, Configuration, Member};

use crate::replica::{Core, Progress, Shared};

/// Reply timeouts without contact after which a learner no longer counts as caught up.
const LEARNER_CONTACT_TIMEOUTS: u32 = 3;

/// Replaces lost disks and lost replicas while this replica is the leader.
pub async fn run(shared: Rc<Shared>) {
    loop {
        compio::time::sleep(shared.settings.heartbeat_interval).await;
        let Ok(configuration) = shared.read_configuration() else {
            continue;
        };
        if !is_change_committed(&shared.core.borrow()) {
            continue;
        }
        let change = match next_repair(&shared) {
            Some(change) => Some(change),
            None => add_spare(&shared, &configuration).await,
        };
        let Some(body) = change else {
            continue;
        };
        if !is_change_committed(&shared.core.borrow()) {
            continue;
        }
        match shared.submit_body(body).await {
            Ok(_) => {
                let voters = shared.core.borrow().voters().count();
                log::info!(target: "control", "the group has {voters} voters");
            }
            Err(error) => {
                log::debug!(target: "control", "the members were not changed: {error:?}");
            }
        }
    }
}

/// Whether the last change of the members is committed.
fn is_change_committed(core: &Core) -> bool {
    core.members_index <= core.state.index()
}

/// The change that a replica with a lost disk, a lost replica or a caught-up learner requires.
fn next_repair(shared: &Shared) -> Option<Body> {
    let now = shared.now();
    let core = shared.core.borrow();
    let leader_state = core.leader_state()?;
    // A replica that replies with another generation has lost its disk.
    let new_generation = leader_state
        .peers
        .iter()
        .find(|p| p.generation > 0 && p.generation != p.member.generation);
    if let Some(progress) = new_generation {
        return Some(Body::PutMember(Member {
            generation: progress.generation,
            voter: false,
            ..progress.member.clone()
        }));
    }
    let elected_at = leader_state.elected_at;
    let is_lost =
        |p: &&Progress| time_since_transfer(p, elected_at, now) >= shared.settings.replace_after;
    let lost = leader_state.peers.iter().find(is_lost);
    let learner = leader_state
        .peers
        .iter()
        .find(|p| is_caught_up(shared, &core, p, now));
    // The learner votes before the lost replica is removed: that one may return with its disk, while another disk is
    // lost. With the learner, those that are left then are a majority.
    if let Some(learner) = learner {
        return Some(Body::PutMember(Member {
            voter: true,
            ..learner.member.clone()
        }));
    }
    let lost = lost.filter(|lost| may_remove(shared, &core, lost))?;
    Some(Body::RemoveMember(lost.member.instance.clone()))
}

/// Whether the group loses nothing without a lost replica.
///
/// A lost voter counts for the majority without being part of it, so the group is safer without it. But with too few
/// voters, the tolerated losses could take all the disks that hold a change.
fn may_remove(shared: &Shared, core: &Core, lost: &Progress) -> bool {
    !is_voter(core, lost) || core.voters().count() > min_voters(shared.settings.tolerated_losses)
}

/// The fewest voters of which so many may be lost while a majority remains.
fn min_voters(tolerated_losses: usize) -> usize {
    2 * tolerated_losses.max(1) + 1
}

fn time_since_transfer(progress: &Progress, since: Instant, now: Instant) -> std::time::Duration {
    now.duration_since(progress.last_transfer.unwrap_or(since))
}

fn is_voter(core: &Core, progress: &Progress) -> bool {
    core.member(&progress.member.instance)
        .is_some_and(|m| m.voter)
}

/// Whether a replica is a learner in contact that has synced all committed entries.
fn is_caught_up(shared: &Shared, core: &Core, progress: &Progress, now: Instant) -> bool {
    let contact_timeout = shared.settings.reply_timeout * LEARNER_CONTACT_TIMEOUTS;
    let has_contact = progress
        .last_transfer
        .is_some_and(|sent_at| now.duration_since(sent_at) < contact_timeout);
    !is_voter(core, progress) && has_contact && progress.match_index >= core.commit_index
}

/// The change that adds a spare instance with a disk if a replica is missing.
async fn add_spare(shared: &Shared, configuration: &Configuration) -> Option<Body> {
    let spare = choose_spare(shared, configuration)?;
    let request = {
        let core = shared.core.borrow();
        AppendRequest {
            term: core.term(),
            leader: shared.identity.instance.clone(),
            ..AppendRequest::default()
        }
    };
    // No replica has generation 0, so the spare rejects the call and replies with its generation.
    let call = shared.transport.append(&spare, request);
    let reply = jaylock_rpc::with_timeout(shared.settings.reply_timeout, call).await;
    let generation = reply.ok()?.generation;
    log::info!(target: "control", "adding {} as a replica", spare.instance);
    (generation > 0).then_some(Body::PutMember(Member {
        generation,
        ..spare
    }))
}

fn choose_spare(shared: &Shared, configuration: &Configuration) -> Option<Member> {
    let now = shared.now();
    let core = shared.core.borrow();
    let leader_state = core.leader_state()?;
    let is_lost = |instance: &str| {
        let lost = leader_state
            .peers
            .iter()
            .find(|p| p.member.instance == instance);
        lost.is_some_and(|p| {
            time_since_transfer(p, leader_state.elected_at, now) >= shared.settings.replace_after
        })
    };
    let remaining = core.members.iter().filter(|m| !is_lost(&m.instance));
    let domains: Vec<&str> = remaining.map(|m| m.domain.as_str()).collect();
    if domains.len() >= shared.settings.voters {
        return None;
    }
    let leases = shared.leases.borrow();
    let candidates = configuration.instances.iter().filter(|i| {
        let is_live = leases.is_live(&i.id, now, shared.settings.instance_lease);
        i.disk && !i.leaving && is_live && core.member(&i.id).is_none()
    });
    let replica_count = |domain: &str| domains.iter().filter(|d| **d == domain).count();
    let spare = candidates.min_by_key(|i| (replica_count(&i.domain), i.id.clone()))?;
    Some(Member {
        instance: spare.id.clone(),
        generation: 0,
        peer_address: spare.peer_address.clone(),
        domain: spare.domain.clone(),
        voter: false,
    })
}
