//! Evacuations of failure domains, and the names of the domains that may be evacuated.

use jaylock_rpc::v1::applied::Result as Outcome;
use jaylock_rpc::v1::{Configuration, Done, Evacuation, SetEvacuation};

use super::sorted;

/// Maximum number of failure domains that are recorded, which bounds the configuration.
const MAX_DOMAINS: usize = 1024;
/// Maximum number of failure domains that an error lists.
const MAX_LISTED_DOMAINS: usize = 16;

/// Finds the last order for a failure domain; `None` if it was never evacuated.
#[must_use]
pub fn find_evacuation<'a>(
    configuration: &'a Configuration,
    domain: &str,
) -> Option<&'a Evacuation> {
    sorted::find(&configuration.evacuations, domain, |e| &e.domain)
}

/// Whether nothing may be sent to the backend servers of a failure domain.
#[must_use]
pub fn is_evacuated(configuration: &Configuration, domain: &str) -> bool {
    find_evacuation(configuration, domain).is_some_and(|e| e.since_ms > 0)
}

/// Whether an instance of this failure domain has ever registered.
#[must_use]
pub fn is_known_domain(configuration: &Configuration, domain: &str) -> bool {
    let found = configuration
        .domains
        .binary_search_by(|d| d.as_str().cmp(domain));
    found.is_ok()
}

/// The result of an order that changes nothing; `None` if it changes its entry.
pub fn result_without_change(
    current: &Configuration,
    order: &SetEvacuation,
) -> Result<Option<Outcome>, String> {
    check_domain(current, &order.domain)?;
    if is_evacuated(current, &order.domain) == order.evacuated {
        return Ok(Some(Outcome::Done(Done {})));
    }
    let index = find_evacuation(current, &order.domain).map_or(0, |e| e.index);
    // Otherwise a call that a suspended instance held back would undo what was acknowledged meanwhile.
    Ok((order.prior_index != index).then_some(Outcome::Conflict(current.revision)))
}

/// Evacuates or restores a failure domain.
pub fn set_evacuation(
    next: &mut Configuration,
    order: &SetEvacuation,
    index: u64,
    at_ms: u64,
) -> Result<(), String> {
    check_domain(next, &order.domain)?;
    let restored_ms = find_evacuation(next, &order.domain).map_or(0, |e| e.restored_ms);
    // A time of 0 stands for none.
    let at_ms = at_ms.max(1);
    let (since_ms, restored_ms) = if order.evacuated {
        (at_ms, restored_ms)
    } else {
        (0, at_ms)
    };
    let entry = Evacuation {
        domain: order.domain.clone(),
        index,
        since_ms,
        restored_ms,
    };
    sorted::put(&mut next.evacuations, entry, |e| &e.domain);
    Ok(())
}

/// Text of an order for the event log.
pub fn evacuation_event(order: &SetEvacuation) -> String {
    let state = if order.evacuated {
        "evacuated"
    } else {
        "restored"
    };
    format!("domain {} is {state}", order.domain)
}

/// Records the failure domain of an instance, unless too many are recorded.
pub fn put_domain(next: &mut Configuration, domain: &str) {
    let domains = &mut next.domains;
    if domain.is_empty() || domains.len() >= MAX_DOMAINS {
        return;
    }
    if let Err(position) = domains.binary_search_by(|d| d.as_str().cmp(domain)) {
        domains.insert(position, domain.into());
    }
}

/// Records the failure domains of all instances where an earlier release recorded none.
pub fn derive_domains(mut configuration: Configuration) -> Configuration {
    if !configuration.domains.is_empty() {
        return configuration;
    }
    let instances = configuration.instances.iter();
    let domains: Vec<String> = instances.map(|i| i.domain.clone()).collect();
    for domain in domains {
        put_domain(&mut configuration, &domain);
    }
    configuration
}

fn check_domain(configuration: &Configuration, domain: &str) -> Result<(), String> {
    if is_known_domain(configuration, domain) {
        return Ok(());
    }
    let known = configuration.domains.iter().take(MAX_LISTED_DOMAINS);
    let known: Vec<&str> = known.map(String::as_str).collect();
    Err(format!(
        "no instance ever registered in failure domain \"{domain}\": name one of {}",
        known.join(", ")
    ))
}
