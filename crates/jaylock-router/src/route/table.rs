use jaylock_rpc::v1::{Configuration, Route, Target};

/// Finds the route of a host whose prefix is the longest match for a path.
pub fn find<'a>(configuration: &'a Configuration, host: &str, path: &str) -> Option<&'a Route> {
    let routes = &configuration.routes;
    let slashes = path.rmatch_indices('/');
    slashes.into_iter().find_map(|(offset, _)| {
        let wanted = (host, &path[..=offset]);
        let order = |r: &Route| (r.host.as_str(), r.prefix.as_str()).cmp(&wanted);
        let index = routes.binary_search_by(order).ok()?;
        Some(&routes[index])
    })
}

/// Picks a service by the weights of the targets, for a random `fraction` between 0 and 1.
pub fn pick_service(targets: &[Target], fraction: f64) -> Option<&str> {
    let total: u64 = targets.iter().map(|t| u64::from(t.weight)).sum();
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    let mut offset = (fraction * total as f64) as u64;
    let weighted = targets.iter().filter(|t| t.weight > 0);
    for target in weighted {
        match offset.checked_sub(target.weight.into()) {
            Some(rest) => offset = rest,
            None => return Some(&target.service),
        }
    }
    None
}
