use std::rc::Rc;

use compio::runtime::JoinHandle;
use jaylock_rpc::v1::command::Body;
use jaylock_rpc::v1::{Event, Member};

use super::progress::is_same_replica;
use super::{Progress, Shared, replication};
use crate::{leases, members};

/// Election timeouts without contact to a majority after which a leader steps down.
///
/// Without its lease a leader serves nothing, but its messages still reach those whose replies are slow.
const STEP_DOWN_TIMEOUTS: u32 = 2;

/// A task that replicates to one other replica; dropping this value cancels the task.
struct PeerTask {
    member: Member,
    _task: JoinHandle<()>,
}

/// Runs as leader until a newer term begins, a majority stays without contact, or the disk fails.
pub async fn run_leader(shared: &Rc<Shared>) {
    if shared.core.borrow().leader_state().is_none() {
        return;
    }
    let term = shared.core.borrow().term();
    log::info!(target: "control", "became leader in term {term}");
    shared.leases.borrow_mut().reset(shared.now());
    let _first_entry = compio::runtime::spawn(commit_first_entry(shared.clone()));
    let _leases = compio::runtime::spawn(leases::run(shared.clone()));
    let _members = compio::runtime::spawn(members::run(shared.clone()));
    let mut peers = Vec::new();
    let mut seen = shared.activity.count();
    while is_still_leader(shared, term) {
        update_peers(shared, &mut peers);
        let interval = shared.settings.heartbeat_interval;
        let _ = compio::time::timeout(interval, shared.activity.wait_past(seen)).await;
        seen = shared.activity.count();
    }
    shared.config_changed.notify();
}

/// Whether this replica is still the leader; steps down after some time without contact to a majority.
fn is_still_leader(shared: &Shared, term: u64) -> bool {
    let now = shared.now();
    let mut core = shared.core.borrow_mut();
    if core.leader_state().is_none() || core.term() != term {
        return false;
    }
    let timeout = shared.settings.election_timeout * STEP_DOWN_TIMEOUTS;
    let elected_at = core.leader_state().map(|l| l.elected_at);
    // The votes may be old, as they are written to disks.
    let end = core
        .lease_end(timeout, now)
        .max(elected_at.map(|at| at + timeout));
    if end.is_none_or(|end| end <= now) {
        log::warn!(target: "control", "stepping down: no reply from a majority within {timeout:?}");
        core.become_follower("");
        return false;
    }
    true
}

/// Keeps one replication task and one `Progress` for each other member.
fn update_peers(shared: &Rc<Shared>, peers: &mut Vec<PeerTask>) {
    let current = shared.core.borrow().members.clone();
    let is_member = |member: &Member| current.iter().any(|m| is_same_replica(m, member));
    peers.retain(|p| is_member(&p.member));
    let replicated: Vec<Member> = peers.iter().map(|p| p.member.clone()).collect();
    let new_peers = replication::new_peers(shared, &replicated);
    {
        let mut core = shared.core.borrow_mut();
        let next = core.log.last_index() + 1;
        let Some(leader_state) = core.leader_state_mut() else {
            return;
        };
        leader_state.peers.retain(|p| is_member(&p.member));
        for member in &new_peers {
            if leader_state.progress(member).is_none() {
                leader_state.peers.push(Progress::new(member.clone(), next));
            }
        }
    }
    for member in new_peers {
        let task = replication::replicate(shared.clone(), member.clone());
        peers.push(PeerTask {
            member,
            _task: compio::runtime::spawn(task),
        });
    }
}

/// Commits an entry of the new term, which commits all entries before it.
async fn commit_first_entry(shared: Rc<Shared>) {
    if shared.open_term().await.is_err() {
        return;
    }
    let event = Event {
        part: "control".into(),
        text: format!("{} leads", shared.identity.instance),
        ..Event::default()
    };
    let _ = shared.submit_body(Body::RecordEvent(event)).await;
}
