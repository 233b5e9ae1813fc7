use jaylock_rpc::v1::{Configuration, Route, Target};

/// The route for a host and a path: the one of that host with the longest prefix of the path.
pub fn find<'a>(configuration: &'a Configuration, host: &str, path: &str) -> Option<&'a Route> {
    let routes = &configuration.routes;
    let slashes = path.rmatch_indices('/');
    slashes.into_iter().find_map(|(at, _)| {
        let wanted = (host, &path[..=at]);
        let place = |r: &Route| (r.host.as_str(), r.prefix.as_str()).cmp(&wanted);
        let found = routes.binary_search_by(place).ok()?;
        Some(&routes[found])
    })
}

/// The service for a request, by the weights of the targets; `lot` lies between 0 and 1.
pub fn choose(targets: &[Target], lot: f64) -> Option<&str> {
    let total: u64 = targets.iter().map(|t| u64::from(t.weight)).sum();
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    let mut left = (lot * total as f64) as u64;
    let weighted = targets.iter().filter(|t| t.weight > 0);
    for target in weighted {
        match left.checked_sub(target.weight.into()) {
            Some(rest) => left = rest,
            None => return Some(&target.service),
        }
    }
    None
}
