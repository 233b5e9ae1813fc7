//! Applies changes to the configuration.

use jaylock_rpc::v1::applied::Result as Outcome;
use jaylock_rpc::v1::command::Body;
use jaylock_rpc::v1::{
    Adapter, Configuration, CrashCause, Done, Drain, Member, Model, Organisation, PoolLease,
    Quarantine, Service,
};
use jaylock_types::{AdapterId, BackendId, ModelId, OrganisationId, PoolId, ServiceId, VersionId};

use super::{departures, document, evacuations, fleet, keys, sorted};

/// A change that was applied.
pub struct Change {
    pub outcome: Outcome,
    /// Text for the event log.
    pub event: Option<String>,
}

impl Change {
    fn without_event() -> Self {
        Self {
            outcome: Outcome::Done(Done {}),
            event: None,
        }
    }

    fn with_event(text: String) -> Self {
        Self {
            event: Some(text),
            ..Self::without_event()
        }
    }
}

/// Applies a change; the error says why the change is refused, which then leaves everything as it is.
pub fn apply_change(
    next: &mut Configuration,
    body: &Body,
    index: u64,
    at_ms: u64,
) -> Result<Change, String> {
    match body {
        Body::PutOrganisation(organisation) => put_organisation(next, organisation)?,
        Body::RemoveOrganisation(id) => {
            let found = sorted::remove(&mut next.organisations, id, |o| &o.id);
            ensure_found(found, "organisation", id)?;
            // The removal of the last one must not open the routes to callers without a key.
            next.key_required = Some(true);
        }
        Body::PutModel(model) => put_model(next, model)?,
        Body::RemoveModel(id) => {
            if let Some(adapter) = next.adapters.iter().find(|a| a.model == *id) {
                return Err(format!("remove adapter {} of model {id} first", adapter.id));
            }
            let found = sorted::remove(&mut next.models, id, |m| &m.id);
            ensure_found(found, "model", id)?;
        }
        Body::PutAdapter(adapter) => put_adapter(next, adapter)?,
        Body::RemoveAdapter(id) => {
            let found = sorted::remove(&mut next.adapters, id, |a| &a.id);
            ensure_found(found, "adapter", id)?;
        }
        Body::PutService(service) => put_service(next, service)?,
        Body::RemoveService(id) => {
            let found = sorted::remove(&mut next.services, id, |s| &s.id);
            ensure_found(found, "service", id)?;
        }
        Body::DrainBackend(id) => {
            check_id::<BackendId>(id)?;
            let drain = Drain {
                backend: id.clone(),
            };
            sorted::put(&mut next.drains, drain, |d| &d.backend);
        }
        Body::UndrainBackend(id) => {
            let found = sorted::remove(&mut next.drains, id, |d| &d.backend);
            ensure_found(found, "drain of backend server", id)?;
        }
        Body::PutRoute(route) => document::put_route(next, route)?,
        Body::RemoveRoute(id) => document::remove_route(next, id)?,
        Body::PutDocument(document) => document::put_document(next, document),
        Body::RequireKeys(is_required) => document::require_keys(next, *is_required)?,
        _ => return apply_fleet_change(next, body, index, at_ms),
    }
    Ok(Change::without_event())
}

fn apply_fleet_change(
    next: &mut Configuration,
    body: &Body,
    index: u64,
    at_ms: u64,
) -> Result<Change, String> {
    match body {
        Body::PutInstance(instance) => {
            fleet::put_instance(next, instance)?;
            evacuations::put_domain(next, &instance.domain);
            Ok(Change::without_event())
        }
        Body::SetEvacuation(order) => {
            evacuations::set_evacuation(next, order, index, at_ms)?;
            Ok(Change::with_event(evacuations::evacuation_event(order)))
        }
        Body::RemoveInstance(gone) => {
            fleet::remove_instance(next, gone)?;
            Ok(Change::with_event(format!(
                "instance {} is out: {}",
                gone.id, gone.reason
            )))
        }
        Body::AssignPool(lease) => {
            fleet::assign_pool(next, lease)?;
            let change = Change::with_event(assignment_event(lease));
            Ok(Change {
                outcome: Outcome::Epoch(lease.epoch),
                ..change
            })
        }
        Body::PutQuarantine(quarantine) => {
            fleet::put_quarantine(next, quarantine, at_ms);
            Ok(Change::with_event(quarantine_event(quarantine)))
        }
        Body::PutCrashCause(cause) => {
            fleet::put_crash_cause(next, cause, at_ms);
            Ok(Change::with_event(crash_cause_event(cause)))
        }
        Body::PutDeparture(departure) => {
            check_id::<BackendId>(&departure.backend)?;
            departures::put_departure(next, departure, index, at_ms);
            // Hundreds in a release would push the other events out of the log.
            Ok(Change::without_event())
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
            Ok(Change::with_event(membership_event(member)))
        }
        Body::RemoveMember(instance) => {
            fleet::remove_member(&mut next.members, instance);
            Ok(Change::with_event(format!(
                "replica on {instance} is removed"
            )))
        }
        _ => Err("the command is of no known kind: use a newer instance".into()),
    }
}

/// Text of a quarantine for the event log.
fn quarantine_event(quarantine: &Quarantine) -> String {
    let request = &quarantine.request;
    match (quarantine.suspect, quarantine.until_ms) {
        (true, 0) => format!("request {request} ran through and is cleared"),
        (true, _) => format!("request {request} is suspected of a crash and tried alone"),
        (false, _) => format!("request {request} is in quarantine"),
    }
}

fn crash_cause_event(cause: &CrashCause) -> String {
    let CrashCause { pool, hash, .. } = cause;
    match cause.until_ms {
        0 => format!("requests with {hash:016x} crash no backend servers of pool {pool}"),
        _ => format!(
            "requests with {hash:016x} crash backend servers of pool {pool} and are in quarantine"
        ),
    }
}

fn assignment_event(lease: &PoolLease) -> String {
    let PoolLease {
        pool,
        instance,
        epoch,
        ..
    } = lease;
    format!("pool {pool} is scheduled by {instance} under epoch {epoch}")
}

fn membership_event(member: &Member) -> String {
    let role = if member.voter { "votes" } else { "learns" };
    format!("replica on {} {role}", member.instance)
}

fn put_organisation(next: &mut Configuration, organisation: &Organisation) -> Result<(), String> {
    check_id::<OrganisationId>(&organisation.id)?;
    if organisation.weight == 0 {
        return Err("the weight of an organisation is at least 1".into());
    }
    keys::check_new_keys(organisation, &next.organisations)?;
    sorted::put(&mut next.organisations, organisation.clone(), |o| &o.id);
    Ok(())
}

fn put_model(next: &mut Configuration, model: &Model) -> Result<(), String> {
    check_id::<ModelId>(&model.id)?;
    check_id::<VersionId>(&model.version)?;
    check_id::<PoolId>(&model.pool)?;
    if sorted::find(&next.services, &model.pool, |s| &s.id).is_some() {
        return Err(format!(
            "{} is the pool of a service: name another",
            model.pool
        ));
    }
    sorted::put(&mut next.models, model.clone(), |m| &m.id);
    Ok(())
}

fn put_adapter(next: &mut Configuration, adapter: &Adapter) -> Result<(), String> {
    check_id::<AdapterId>(&adapter.id)?;
    check_id::<VersionId>(&adapter.version)?;
    let found = sorted::find(&next.models, &adapter.model, |m| &m.id).is_some();
    ensure_found(found, "model", &adapter.model)?;
    sorted::put(&mut next.adapters, adapter.clone(), |a| &a.id);
    Ok(())
}

fn put_service(next: &mut Configuration, service: &Service) -> Result<(), String> {
    check_id::<ServiceId>(&service.id)?;
    if next.models.iter().any(|m| m.pool == service.id) {
        return Err(format!(
            "{} is the pool of a model: name another",
            service.id
        ));
    }
    sorted::put(&mut next.services, service.clone(), |s| &s.id);
    Ok(())
}

/// Checks that a text is a valid identifier.
pub fn check_id<T: std::str::FromStr<Err = jaylock_types::InvalidId>>(
    text: &str,
) -> Result<(), String> {
    text.parse::<T>().map(|_| ()).map_err(|e| e.to_string())
}

/// Returns an error if the item that a change refers to was not found.
pub fn ensure_found(is_found: bool, kind: &str, id: &str) -> Result<(), String> {
    if is_found {
        return Ok(());
    }
    Err(format!("there is no {kind} {id}: list what there is"))
}
