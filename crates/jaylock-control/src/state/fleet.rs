//! Changes that the fleet makes by itself.

use jaylock_rpc::v1::{
    Configuration, Instance, InstanceGone, Member, Order, PoolLease, Quarantine,
};

use super::ordered;

/// The instance under an id.
pub fn find_instance<'a>(configuration: &'a Configuration, id: &str) -> Option<&'a Instance> {
    ordered::find(&configuration.instances, id, |i| &i.id)
}

/// Enters an instance, or a newer start of it.
pub fn put_instance(next: &mut Configuration, instance: &Instance) -> Result<(), String> {
    let known = find_instance(next, &instance.id);
    if instance.id.is_empty() || instance.incarnation == 0 {
        return Err("an instance needs an id and an incarnation".into());
    }
    if known.is_some_and(|k| k.incarnation > instance.incarnation) {
        return Err(format!(
            "a newer start of instance {} is known: end this process",
            instance.id
        ));
    }
    ordered::put(&mut next.instances, instance.clone(), |i| &i.id);
    Ok(())
}

/// Takes an instance away whose lease ended.
pub fn remove_instance(next: &mut Configuration, gone: &InstanceGone) -> Result<(), String> {
    let known = find_instance(next, &gone.id);
    if known.is_none_or(|k| k.incarnation != gone.incarnation) {
        return Err(format!("instance {} is not known in this start", gone.id));
    }
    ordered::remove(&mut next.instances, &gone.id, |i| &i.id);
    Ok(())
}

/// Gives a pool to an instance under a newer epoch.
pub fn assign_pool(next: &mut Configuration, lease: &PoolLease) -> Result<(), String> {
    let holder = find_instance(next, &lease.instance);
    if holder.is_none_or(|i| i.incarnation != lease.incarnation) {
        return Err(format!("instance {} is gone", lease.instance));
    }
    let current = ordered::find(&next.pools, &lease.pool, |p| &p.pool);
    if lease.epoch <= current.map_or(0, |p| p.epoch) {
        return Err(format!("pool {} has a newer epoch", lease.pool));
    }
    ordered::put(&mut next.pools, lease.clone(), |p| &p.pool);
    Ok(())
}

/// Enters a fingerprint that must not run, and drops those whose time is over.
///
/// Suspicions of two requests for crashes of two backend servers make a quarantine. Only the request that
/// made a suspicion clears it, and nothing shortens a quarantine.
pub fn put_quarantine(next: &mut Configuration, quarantine: &Quarantine, at_ms: u64) {
    let list = &mut next.quarantines;
    list.retain(|q| q.until_ms > at_ms);
    let found = list.binary_search_by(|q| q.fingerprint.cmp(&quarantine.fingerprint));
    let is_clearing = quarantine.until_ms <= at_ms;
    match found {
        Ok(at) if is_clearing => {
            if list[at].suspect && list[at].request == quarantine.request {
                list.remove(at);
            }
        }
        Ok(at) => list[at] = joined(&list[at], quarantine),
        Err(_) if is_clearing => {}
        Err(at) => list.insert(at, quarantine.clone()),
    }
}

/// What is known of a fingerprint after another crash.
fn joined(known: &Quarantine, new: &Quarantine) -> Quarantine {
    let is_second = known.request != new.request && known.backend != new.backend;
    Quarantine {
        suspect: known.suspect && new.suspect && !is_second,
        until_ms: known.until_ms.max(new.until_ms),
        ..new.clone()
    }
}

/// Makes an order to a model engine the newest one.
pub fn issue_order(next: &mut Configuration, order: &Order, index: u64) {
    let order = Order {
        fence: index,
        ..order.clone()
    };
    ordered::put(&mut next.orders, order, |o| &o.backend);
}

/// Enters a replica, or changes whether it votes.
pub fn put_member(members: &mut Vec<Member>, member: &Member) {
    ordered::put(members, member.clone(), |m| &m.instance);
}

/// Takes a replica away.
pub fn remove_member(members: &mut Vec<Member>, instance: &str) {
    ordered::remove(members, instance, |m| &m.instance);
}
