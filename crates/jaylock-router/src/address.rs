use std::hash::Hasher;

use http::{Response, StatusCode};
use jaylock_observe::RunStatus;
use jaylock_rpc::v1::{Configuration, Instance};
use jaylock_types::{Fnv, ProcessorShare, RequestId};
use serde::Serialize;

use crate::body::Body;
use crate::context::Context;
use crate::response::json_response;

#[derive(Serialize)]
struct AddressList {
    keep_ms: u32,
    routers: Vec<Address>,
}

#[derive(Serialize)]
struct Address {
    address: String,
    domain: String,
}

/// Smallest number of routers in a caller's failure domain for which other domains are left out.
const MIN_NEARBY: usize = 2;
/// Smallest part of a domain's even share of all routers for which other domains are left out, in percent.
///
/// Callers of a domain that has lost most of its routers would otherwise all meet at the few that are left.
const MIN_NEARBY_PERCENT: u64 = 60;
/// Fewest routers of a list that leaves out small ones.
const MIN_LISTED: usize = 3;

/// Returns the routers for a caller in a failure domain, only those of that domain if there are enough.
#[must_use]
pub fn routers_for<'a>(configuration: &'a Configuration, domain: &str) -> Vec<&'a Instance> {
    let is_serving = |i: &&Instance| !i.leaving && !i.caller_address.is_empty();
    let mut routers: Vec<&Instance> = configuration.instances.iter().filter(is_serving).collect();
    let is_nearby = |i: &&&Instance| i.domain == domain;
    let nearby = routers.iter().filter(is_nearby).count();
    let (near, all) = if capacities(&routers).is_some() {
        let capacity = |i: &&Instance| u64::from(i.capacity);
        let near = routers.iter().filter(is_nearby).map(capacity).sum();
        (near, routers.iter().map(capacity).sum())
    } else {
        (count(nearby), count(routers.len()))
    };
    let is_even = near * count(count_domains(&routers)) * 100 >= all * MIN_NEARBY_PERCENT;
    if nearby >= MIN_NEARBY && is_even {
        routers.retain(|i| i.domain == domain);
    }
    routers
}

fn count_domains(routers: &[&Instance]) -> usize {
    let mut domains: Vec<&str> = routers.iter().map(|i| i.domain.as_str()).collect();
    domains.sort_unstable();
    domains.dedup();
    domains.len()
}

/// The smallest and the largest capacity, if all routers report one.
fn capacities(routers: &[&Instance]) -> Option<(u32, u32)> {
    let is_valid = |i: &&Instance| ProcessorShare::new(i.capacity).is_some();
    if !routers.iter().all(is_valid) {
        return None;
    }
    let least = routers.iter().map(|i| i.capacity).min()?;
    let most = routers.iter().map(|i| i.capacity).max()?;
    Some((least, most))
}

/// Chooses the routers of a caller's list by their processors.
///
/// The load that this answers: routers of unequal size, of whose list each caller uses all alike. A list holds the largest routers, and
/// each smaller one with the probability of its part of them, so that all lists together name routers in proportion. It is
/// drawn by a hash of the caller and the router: so each instance returns the same list to the same caller, who drops
/// connections to routers that a newer list lacks. Routers of equal or unknown size are all returned.
#[must_use]
pub fn share_by_size<'a>(routers: Vec<&'a Instance>, caller: &str) -> Vec<&'a Instance> {
    let Some((_, most)) = capacities(&routers).filter(|(least, most)| least < most) else {
        return routers;
    };
    // A router is listed if its score is below 1.
    let score = |router: &Instance| {
        let part = f64::from(router.capacity) / f64::from(most);
        drawn_fraction(caller, &router.id) / part
    };
    let mut scored: Vec<(f64, &Instance)> = routers.into_iter().map(|r| (score(r), r)).collect();
    scored.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    let listed = scored.partition_point(|(score, _)| *score < 1.0);
    scored.truncate(listed.max(MIN_LISTED));
    scored.into_iter().map(|(_, router)| router).collect()
}

/// A number from 0 to 1 that is evenly distributed over callers and routers.
fn drawn_fraction(caller: &str, router: &str) -> f64 {
    let mut hasher = Fnv::default();
    hasher.write(caller.as_bytes());
    hasher.write(&[0]);
    hasher.write(router.as_bytes());
    // The upper bits of the hash of a short text depend on few of its letters.
    let mixed = (hasher.finish() ^ (hasher.finish() >> 31)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    let bits = u32::try_from(mixed >> 32).unwrap_or(u32::MAX);
    f64::from(bits) / f64::from(u32::MAX)
}

fn count(number: usize) -> u64 {
    u64::try_from(number).unwrap_or(u64::MAX)
}

/// Chooses at most `max_count` of the routers: those after `position` on the ring of all.
///
/// The load that this answers: more routers than a list holds. Lists of different positions spread callers over all
/// routers, and with the next position only one router of a list changes, so that callers keep their connections.
#[must_use]
pub fn select_routers(
    mut routers: Vec<&Instance>,
    max_count: usize,
    position: u64,
) -> Vec<&Instance> {
    if routers.is_empty() {
        return routers;
    }
    let start = usize::try_from(position % count(routers.len())).unwrap_or_default();
    routers.rotate_left(start);
    routers.truncate(max_count);
    routers
}

/// Hash of an instance's identifier, by which the lists of different instances differ.
#[must_use]
pub fn id_hash(id: &str) -> u64 {
    let mut hasher = Fnv::default();
    hasher.write(id.as_bytes());
    hasher.finish()
}

/// Responds with the addresses that callers may use, and for how long they may cache them.
///
/// `query` may contain the caller's failure domain, as `domain=ID`; `caller` is its address.
pub fn list(context: &Context, query: &str, caller: &str) -> Response<Body> {
    let current = context.view.current();
    let own_id = context.identity.instance.as_str();
    let is_leaving = |i: &Instance| context.lifecycle.is_shutting_down() && i.id == own_id;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let domain = pairs.find(|(key, _)| *key == "domain");
    let routers = routers_for(&current, domain.map_or("", |(_, value)| value));
    let serving = routers.into_iter().filter(|i| !is_leaving(i));
    let serving = share_by_size(serving.collect(), caller).into_iter();
    let body = AddressList {
        keep_ms: context.settings.address_ttl_ms,
        routers: serving.map(address).collect(),
    };
    let body = serde_json::to_vec(&body).unwrap_or_default();
    json_response(
        &RequestId::random(),
        StatusCode::OK,
        RunStatus::NotRun,
        body,
    )
}

/// Returns the caller addresses of all other instances that are not leaving.
pub fn others(context: &Context) -> Vec<String> {
    let own_id = context.identity.instance.as_str();
    let current = context.view.current();
    let serving = current.instances.iter();
    let serving = serving.filter(|i| !i.leaving && i.id != own_id);
    serving.map(|i| i.caller_address.clone()).collect()
}

fn address(instance: &Instance) -> Address {
    Address {
        address: instance.caller_address.clone(),
        domain: instance.domain.clone(),
    }
}
