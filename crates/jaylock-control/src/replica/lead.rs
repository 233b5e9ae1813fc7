use std::rc::Rc;

use compio::runtime::JoinHandle;
use jaylock_rpc::v1::command::Body;
use jaylock_rpc::v1::{Event, Member, Noop};

use super::progress::is_same;
use super::{Progress, Shared, peer};
use crate::{leases, members};

/// A task that sends to one other replica; it ends when this is dropped.
struct Peer {
    member: Member,
    _task: JoinHandle<()>,
}

/// Leads until another does, the majority is silent for the lease, or the disk fails.
pub async fn lead(shared: &Rc<Shared>) {
    if shared.core.borrow().leading().is_none() {
        return;
    }
    let term = shared.core.borrow().term();
    log::info!(target: "control", "leads in term {term}");
    shared.leases.borrow_mut().begin();
    let _first = compio::runtime::spawn(commit_first(shared.clone()));
    let _leases = compio::runtime::spawn(leases::keep(shared.clone()));
    let _members = compio::runtime::spawn(members::keep(shared.clone()));
    let mut peers = Vec::new();
    let mut seen = shared.work.count();
    while leads(shared, term) {
        serve_members(shared, &mut peers);
        let pause = shared.settings.heartbeat_interval;
        let _ = compio::time::timeout(pause, shared.work.past(seen)).await;
        seen = shared.work.count();
    }
    shared.changed.raise();
}

/// Whether this replica still leads; one that no majority hears stops by itself.
fn leads(shared: &Shared, term: u64) -> bool {
    let now = shared.now();
    let mut core = shared.core.borrow_mut();
    if core.leading().is_none() || core.term() != term {
        return false;
    }
    let end = core.lease_end(shared.settings.leader_lease, now);
    if end.is_none_or(|end| end <= now) {
        log::warn!(target: "control", "a majority was not heard within the lease");
        core.follow("");
        return false;
    }
    true
}

/// Keeps one task for each other member, and notes on none else.
fn serve_members(shared: &Rc<Shared>, peers: &mut Vec<Peer>) {
    let current = shared.core.borrow().members.clone();
    let stays = |member: &Member| current.iter().any(|m| is_same(m, member));
    peers.retain(|p| stays(&p.member));
    let served: Vec<Member> = peers.iter().map(|p| p.member.clone()).collect();
    let newcomers = peer::newcomers(shared, &served);
    {
        let mut core = shared.core.borrow_mut();
        let next = core.log.last_index() + 1;
        let Some(leading) = core.leading_mut() else {
            return;
        };
        leading.peers.retain(|p| stays(&p.member));
        for member in &newcomers {
            if leading.progress(member).is_none() {
                leading.peers.push(Progress::new(member.clone(), next));
            }
        }
    }
    for member in newcomers {
        let task = peer::replicate(shared.clone(), member.clone());
        peers.push(Peer {
            member,
            _task: compio::runtime::spawn(task),
        });
    }
}

/// Commits an entry of the new term, and with it everything before.
async fn commit_first(shared: Rc<Shared>) {
    if shared.submit_body(Body::Noop(Noop {})).await.is_err() {
        return;
    }
    let event = Event {
        part: "control".into(),
        text: format!("{} leads", shared.identity.instance),
        ..Event::default()
    };
    let _ = shared.submit_body(Body::RecordEvent(event)).await;
}
