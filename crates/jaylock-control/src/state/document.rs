//! Routes, and documents that set all organisations, services and routes under one version.

use jaylock_rpc::v1::{Command, Configuration, Document, Route, command};
use jaylock_types::{OrganisationId, ServiceId};

use super::changes::{check_id, ensure_found};
use super::{keys, sorted};

/// Whether a document with this version or a higher one is already active.
pub fn is_superseded(current: &Configuration, document: &Document) -> bool {
    document.version <= current.document_version
}

/// Whether callers of routes that are not public need a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyRequirement {
    /// Callers need a key of an organisation.
    Required,
    /// Callers need no key.
    NotRequired,
    /// The active document comes from an earlier release, which recorded "no key is needed" and "no key is valid" alike.
    Unknown,
}

/// Returns whether callers of routes need a key.
///
/// They always need one where there are organisations, whatever the last document says.
#[must_use]
pub fn key_requirement(configuration: &Configuration) -> KeyRequirement {
    if !configuration.organisations.is_empty() {
        return KeyRequirement::Required;
    }
    match configuration.key_required {
        Some(true) => KeyRequirement::Required,
        None if configuration.document_version > 0 => KeyRequirement::Unknown,
        Some(false) | None => KeyRequirement::NotRequired,
    }
}

/// Sets whether callers of routes need a key while there are no organisations.
pub fn require_keys(next: &mut Configuration, is_required: bool) -> Result<(), String> {
    if !is_required && !next.organisations.is_empty() {
        return Err("callers need a key while there are organisations: remove them first".into());
    }
    next.key_required = Some(is_required);
    Ok(())
}

/// Checks that a document can become active; the error says why not.
pub fn validate(document: &Document) -> Result<(), String> {
    if document.version == 0 {
        return Err("the version of a document is at least 1".into());
    }
    for service in &document.services {
        check_id::<ServiceId>(&service.id)?;
    }
    for organisation in &document.organisations {
        check_id::<OrganisationId>(&organisation.id)?;
    }
    keys::check_keys(&document.organisations)?;
    let mut services: Vec<&str> = document.services.iter().map(|s| s.id.as_str()).collect();
    services.sort_unstable();
    for route in &document.routes {
        check_route(route, |id| services.binary_search(&id).is_ok())?;
    }
    let mut keys: Vec<(&str, &str)> = document.routes.iter().map(route_key).collect();
    keys.sort_unstable();
    match keys.windows(2).find(|pair| pair[0] == pair[1]) {
        Some(pair) => Err(format!(
            "two routes have host {} and prefix {}: keep one",
            pair[0].0, pair[0].1
        )),
        None => Ok(()),
    }
}

/// Checks that no two organisations of a document have a key in common.
///
/// Not part of [`validate`], as the logs of earlier releases may hold documents that break it.
pub fn check_shared_keys(document: &Document) -> Result<(), String> {
    keys::check_distinct_keys(&document.organisations)
}

/// Replaces all organisations, services and routes by those of a valid document that is newer.
pub fn put_document(next: &mut Configuration, document: &Document) {
    next.organisations.clone_from(&document.organisations);
    next.organisations.sort_by(|a, b| a.id.cmp(&b.id));
    next.services.clone_from(&document.services);
    next.services.sort_by(|a, b| a.id.cmp(&b.id));
    next.routes.clone_from(&document.routes);
    next.routes.sort_by(|a, b| route_key(a).cmp(&route_key(b)));
    next.limits = document.limits;
    next.key_required = document.key_required;
    next.document_version = document.version;
}

/// Adds a route, or replaces the one with the same id.
pub fn put_route(next: &mut Configuration, route: &Route) -> Result<(), String> {
    let services = &next.services;
    check_route(route, |id| sorted::find(services, id, |s| &s.id).is_some())?;
    let mut others = next.routes.iter().filter(|r| r.id != route.id);
    if let Some(other) = others.find(|r| route_key(r) == route_key(route)) {
        return Err(format!(
            "route {} has host {} and prefix {}: choose another prefix",
            other.id, other.host, other.prefix
        ));
    }
    next.routes.retain(|r| r.id != route.id);
    let position = next
        .routes
        .partition_point(|r| route_key(r) < route_key(route));
    next.routes.insert(position, route.clone());
    Ok(())
}

/// Removes a route.
pub fn remove_route(next: &mut Configuration, id: &str) -> Result<(), String> {
    let before = next.routes.len();
    next.routes.retain(|r| r.id != id);
    ensure_found(next.routes.len() < before, "route", id)
}

/// The command as watchers get it: without the source text of a document.
pub fn without_source(command: &Command) -> Command {
    let mut command = command.clone();
    if let Some(command::Body::PutDocument(document)) = &mut command.body {
        document.source.clear();
    }
    command
}

fn check_route(route: &Route, is_service: impl Fn(&str) -> bool) -> Result<(), String> {
    let id = &route.id;
    if route.host.is_empty() {
        return Err(format!("route {id} has no host: name one"));
    }
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        return Err(format!(
            "prefix {} of route {id} does not begin and end with a slash",
            route.prefix
        ));
    }
    if route.timeout_ms == 0 {
        return Err(format!("route {id} allows no time: set a timeout"));
    }
    let weights = route.targets.iter().map(|t| u64::from(t.weight));
    if weights.sum::<u64>() == 0 {
        return Err(format!(
            "the weights of route {id} add up to 0: give one service a weight"
        ));
    }
    for target in &route.targets {
        ensure_found(is_service(&target.service), "service", &target.service)?;
    }
    Ok(())
}

fn route_key(route: &Route) -> (&str, &str) {
    (&route.host, &route.prefix)
}
