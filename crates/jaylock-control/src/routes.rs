//! Which route of the configuration a request belongs to, and services by their names.

use jaylock_rpc::v1::{Configuration, Route, Service};

/// Finds a service by its name.
#[must_use]
pub fn find_service<'a>(configuration: &'a Configuration, id: &str) -> Option<&'a Service> {
    let services = &configuration.services;
    // A document may name one service twice; the first entry counts.
    let first = services.partition_point(|service| service.id.as_str() < id);
    services.get(first).filter(|service| service.id == id)
}

/// Finds the route of a host, with or without a port, whose prefix is the longest match for a path.
#[must_use]
pub fn find_route<'a>(
    configuration: &'a Configuration,
    host: &str,
    path: &str,
) -> Option<&'a Route> {
    let host = host.to_ascii_lowercase();
    let find = |host| find_exact(configuration, host, path);
    find(&host).or_else(|| find(without_port(&host)?))
}

fn find_exact<'a>(configuration: &'a Configuration, host: &str, path: &str) -> Option<&'a Route> {
    let routes = &configuration.routes;
    let slashes = path.rmatch_indices('/');
    slashes.into_iter().find_map(|(offset, _)| {
        let wanted = (host, &path[..=offset]);
        let order = |r: &Route| (r.host.as_str(), r.prefix.as_str()).cmp(&wanted);
        let index = routes.binary_search_by(order).ok()?;
        Some(&routes[index])
    })
}

/// The host before a port; `None` if it has no port.
fn without_port(host: &str) -> Option<&str> {
    let (name, port) = host.rsplit_once(':')?;
    port.bytes().all(|b| b.is_ascii_digit()).then_some(name)
}
