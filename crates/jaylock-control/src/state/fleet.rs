//! Configuration changes that the fleet makes itself.

use jaylock_rpc::v1::{
    Configuration, CrashCause, Instance, InstanceGone, Member, Order, PoolLease, Quarantine,
};

use super::sorted;

/// Time for which the end of a quarantine is remembered, so that another crash brings a longer one.
const CRASH_CAUSE_RETENTION_MS: u64 = 24 * 60 * 60 * 1000;
/// Causes of crashes that are kept; the one whose quarantine ends first gives way.
const MAX_CRASH_CAUSES: usize = 1024;

/// Finds an instance by its id.
pub fn find_instance<'a>(configuration: &'a Configuration, id: &str) -> Option<&'a Instance> {
    sorted::find(&configuration.instances, id, |i| &i.id)
}

/// Adds an instance, or replaces it by a newer incarnation.
pub fn put_instance(next: &mut Configuration, instance: &Instance) -> Result<(), String> {
    let existing = find_instance(next, &instance.id);
    if instance.id.is_empty() || instance.incarnation == 0 {
        return Err("an instance needs an id and an incarnation".into());
    }
    if existing.is_some_and(|k| k.incarnation > instance.incarnation) {
        return Err(format!(
            "a newer start of instance {} is known: end this process",
            instance.id
        ));
    }
    sorted::put(&mut next.instances, instance.clone(), |i| &i.id);
    Ok(())
}

/// Removes an instance whose lease has ended.
pub fn remove_instance(next: &mut Configuration, gone: &InstanceGone) -> Result<(), String> {
    let existing = find_instance(next, &gone.id);
    if existing.is_none_or(|k| k.incarnation != gone.incarnation) {
        return Err(format!("instance {} is not known in this start", gone.id));
    }
    sorted::remove(&mut next.instances, &gone.id, |i| &i.id);
    Ok(())
}

/// Assigns a pool to an instance under a newer epoch.
pub fn assign_pool(next: &mut Configuration, lease: &PoolLease) -> Result<(), String> {
    let holder = find_instance(next, &lease.instance);
    if holder.is_none_or(|i| i.incarnation != lease.incarnation) {
        return Err(format!("instance {} is gone", lease.instance));
    }
    let current = sorted::find(&next.pools, &lease.pool, |p| &p.pool);
    if lease.epoch <= current.map_or(0, |p| p.epoch) {
        return Err(format!("pool {} has a newer epoch", lease.pool));
    }
    sorted::put(&mut next.pools, lease.clone(), |p| &p.pool);
    Ok(())
}

/// Adds the quarantine of a fingerprint, or clears it if the given one has already expired.
///
/// Removes all expired quarantines as well. Two suspicions by different requests at different backend
/// servers become a quarantine. Only the request that raised a suspicion clears it, and a quarantine
/// is never shortened.
pub fn put_quarantine(next: &mut Configuration, quarantine: &Quarantine, at_ms: u64) {
    let list = &mut next.quarantines;
    list.retain(|q| q.until_ms > at_ms);
    let found = list.binary_search_by(|q| q.fingerprint.cmp(&quarantine.fingerprint));
    let clears = quarantine.until_ms <= at_ms;
    match found {
        Ok(position) if clears => {
            if list[position].suspect && list[position].request == quarantine.request {
                list.remove(position);
            }
        }
        Ok(position) => list[position] = merge(&list[position], quarantine),
        Err(_) if clears => {}
        Err(position) => list.insert(position, quarantine.clone()),
    }
}

/// Merges another crash into the quarantine of the same fingerprint.
fn merge(existing: &Quarantine, new: &Quarantine) -> Quarantine {
    let is_second_crash = existing.request != new.request && existing.backend != new.backend;
    Quarantine {
        suspect: existing.suspect && new.suspect && !is_second_crash,
        until_ms: existing.until_ms.max(new.until_ms),
        ..new.clone()
    }
}

/// Adds or removes what crashed backend servers of a pool; an earlier quarantine is never shortened.
pub fn put_crash_cause(next: &mut Configuration, cause: &CrashCause, at_ms: u64) {
    let list = &mut next.crash_causes;
    list.retain(|c| c.until_ms.saturating_add(CRASH_CAUSE_RETENTION_MS) > at_ms);
    let found = list
        .binary_search_by(|c| (c.pool.as_str(), c.hash).cmp(&(cause.pool.as_str(), cause.hash)));
    match found {
        Ok(position) if cause.until_ms == 0 => {
            list.remove(position);
        }
        Ok(position) if list[position].quarantines < cause.quarantines => {
            list[position] = cause.clone();
        }
        Ok(_) => {}
        Err(_) if cause.until_ms == 0 => {}
        Err(position) => list.insert(position, cause.clone()),
    }
    if list.len() > MAX_CRASH_CAUSES {
        let ends = list.iter().enumerate();
        let first = ends.min_by_key(|(_, c)| c.until_ms);
        let position = first.map_or(0, |(position, _)| position);
        list.remove(position);
    }
}

/// Replaces the order to a model engine.
pub fn issue_order(next: &mut Configuration, order: &Order, index: u64) {
    let order = Order {
        fence: index,
        ..order.clone()
    };
    sorted::put(&mut next.orders, order, |o| &o.backend);
}

/// Adds a replica, or changes whether it votes.
pub fn put_member(members: &mut Vec<Member>, member: &Member) {
    sorted::put(members, member.clone(), |m| &m.instance);
}

/// Removes a replica.
pub fn remove_member(members: &mut Vec<Member>, instance: &str) {
    sorted::remove(members, instance, |m| &m.instance);
}
