//! Changes of the configuration.

use jaylock_rpc::v1::applied::Result as Outcome;
use jaylock_rpc::v1::command::Body;
use jaylock_rpc::v1::{
    Adapter, Configuration, Done, Drain, Member, Model, Organisation, PoolLease, Quarantine,
    Service,
};
use jaylock_types::{AdapterId, BackendId, ModelId, OrganisationId, PoolId, ServiceId, VersionId};

use super::{document, fleet, ordered};

/// Bytes of the hash of a caller's key.
const HASH_BYTES: usize = 32;

/// A change that was made.
pub struct Change {
    pub outcome: Outcome,
    /// What the record of repairs says of it.
    pub event: Option<String>,
}

impl Change {
    fn quiet() -> Self {
        Self {
            outcome: Outcome::Done(Done {}),
            event: None,
        }
    }

    fn told(text: String) -> Self {
        Self {
            event: Some(text),
            ..Self::quiet()
        }
    }
}

/// Makes a change, or says why it can't be made.
pub fn change(
    next: &mut Configuration,
    body: &Body,
    index: u64,
    at_ms: u64,
) -> Result<Change, String> {
    match body {
        Body::PutOrganisation(organisation) => put_organisation(next, organisation)?,
        Body::RemoveOrganisation(id) => {
            let found = ordered::remove(&mut next.organisations, id, |o| &o.id);
            known(found, "organisation", id)?;
        }
        Body::PutModel(model) => put_model(next, model)?,
        Body::RemoveModel(id) => {
            if let Some(adapter) = next.adapters.iter().find(|a| a.model == *id) {
                return Err(format!("remove adapter {} of model {id} first", adapter.id));
            }
            let found = ordered::remove(&mut next.models, id, |m| &m.id);
            known(found, "model", id)?;
        }
        Body::PutAdapter(adapter) => put_adapter(next, adapter)?,
        Body::RemoveAdapter(id) => {
            let found = ordered::remove(&mut next.adapters, id, |a| &a.id);
            known(found, "adapter", id)?;
        }
        Body::PutService(service) => put_service(next, service)?,
        Body::RemoveService(id) => {
            let found = ordered::remove(&mut next.services, id, |s| &s.id);
            known(found, "service", id)?;
        }
        Body::DrainBackend(id) => {
            check::<BackendId>(id)?;
            let drain = Drain {
                backend: id.clone(),
            };
            ordered::put(&mut next.drains, drain, |d| &d.backend);
        }
        Body::UndrainBackend(id) => {
            let found = ordered::remove(&mut next.drains, id, |d| &d.backend);
            known(found, "drain of backend server", id)?;
        }
        Body::PutRoute(route) => document::put_route(next, route)?,
        Body::RemoveRoute(id) => document::remove_route(next, id)?,
        Body::PutDocument(document) => document::put(next, document)?,
        _ => return fleet_change(next, body, index, at_ms),
    }
    Ok(Change::quiet())
}

fn fleet_change(
    next: &mut Configuration,
    body: &Body,
    index: u64,
    at_ms: u64,
) -> Result<Change, String> {
    match body {
        Body::PutInstance(instance) => {
            fleet::put_instance(next, instance)?;
            Ok(Change::quiet())
        }
        Body::RemoveInstance(gone) => {
            fleet::remove_instance(next, gone)?;
            Ok(Change::told(format!(
                "instance {} is out: {}",
                gone.id, gone.reason
            )))
        }
        Body::AssignPool(lease) => {
            fleet::assign_pool(next, lease)?;
            let change = Change::told(assignment(lease));
            Ok(Change {
                outcome: Outcome::Epoch(lease.epoch),
                ..change
            })
        }
        Body::PutQuarantine(quarantine) => {
            fleet::put_quarantine(next, quarantine, at_ms);
            Ok(Change::told(judgement(quarantine)))
        }
        Body::IssueOrder(order) => {
            fleet::issue_order(next, order, index);
            Ok(Change {
                outcome: Outcome::Fence(index),
                event: None,
            })
        }
        Body::PutMember(member) => {
            fleet::put_member(&mut next.members, member);
            Ok(Change::told(membership(member)))
        }
        Body::RemoveMember(instance) => {
            fleet::remove_member(&mut next.members, instance);
            Ok(Change::told(format!("replica on {instance} is removed")))
        }
        _ => Err("the command is of no known kind: use a newer instance".into()),
    }
}

/// What a quarantine says of its request, for the record of repairs.
fn judgement(quarantine: &Quarantine) -> String {
    let request = &quarantine.request;
    match (quarantine.suspect, quarantine.until_ms) {
        (true, 0) => format!("request {request} ran through and is cleared"),
        (true, _) => format!("request {request} is suspected of a crash and tried alone"),
        (false, _) => format!("request {request} is in quarantine"),
    }
}

fn assignment(lease: &PoolLease) -> String {
    let PoolLease {
        pool,
        instance,
        epoch,
        ..
    } = lease;
    format!("pool {pool} is scheduled by {instance} under epoch {epoch}")
}

fn membership(member: &Member) -> String {
    let role = if member.voter { "votes" } else { "learns" };
    format!("replica on {} {role}", member.instance)
}

fn put_organisation(next: &mut Configuration, organisation: &Organisation) -> Result<(), String> {
    check::<OrganisationId>(&organisation.id)?;
    if organisation.weight == 0 {
        return Err("the weight of an organisation is at least 1".into());
    }
    check_keys(organisation, &next.organisations)?;
    ordered::put(&mut next.organisations, organisation.clone(), |o| &o.id);
    Ok(())
}

/// Checks that the keys of an organisation are hashes, and nobody else's.
pub fn check_keys(organisation: &Organisation, all: &[Organisation]) -> Result<(), String> {
    let hashes = &organisation.key_hashes;
    if hashes.iter().any(|h| h.len() != HASH_BYTES) {
        return Err("a key hash has 32 bytes: send the SHA-256 of the key".into());
    }
    let mut others = all.iter().filter(|o| o.id != organisation.id);
    match others.find(|o| o.key_hashes.iter().any(|h| hashes.contains(h))) {
        Some(other) => Err(format!(
            "organisation {} has this key: choose another",
            other.id
        )),
        None => Ok(()),
    }
}

fn put_model(next: &mut Configuration, model: &Model) -> Result<(), String> {
    check::<ModelId>(&model.id)?;
    check::<VersionId>(&model.version)?;
    check::<PoolId>(&model.pool)?;
    if ordered::find(&next.services, &model.pool, |s| &s.id).is_some() {
        return Err(format!(
            "{} is the pool of a service: name another",
            model.pool
        ));
    }
    ordered::put(&mut next.models, model.clone(), |m| &m.id);
    Ok(())
}

fn put_adapter(next: &mut Configuration, adapter: &Adapter) -> Result<(), String> {
    check::<AdapterId>(&adapter.id)?;
    check::<VersionId>(&adapter.version)?;
    let found = ordered::find(&next.models, &adapter.model, |m| &m.id).is_some();
    known(found, "model", &adapter.model)?;
    ordered::put(&mut next.adapters, adapter.clone(), |a| &a.id);
    Ok(())
}

fn put_service(next: &mut Configuration, service: &Service) -> Result<(), String> {
    check::<ServiceId>(&service.id)?;
    if next.models.iter().any(|m| m.pool == service.id) {
        return Err(format!(
            "{} is the pool of a model: name another",
            service.id
        ));
    }
    ordered::put(&mut next.services, service.clone(), |s| &s.id);
    Ok(())
}

/// Checks that a text can serve as an identifier.
pub fn check<T: std::str::FromStr<Err = jaylock_types::InvalidId>>(
    text: &str,
) -> Result<(), String> {
    text.parse::<T>().map(|_| ()).map_err(|e| e.to_string())
}

/// Checks that what a change names was found.
pub fn known(found: bool, kind: &str, id: &str) -> Result<(), String> {
    if found {
        return Ok(());
    }
    Err(format!("there is no {kind} {id}: list what there is"))
}
