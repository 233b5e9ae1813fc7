use std::hash::Hasher;

use http::{Response, StatusCode};
use jaylock_observe::RunStatus;
use jaylock_rpc::v1::{Configuration, Instance};
use jaylock_types::{Fnv, RequestId};
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
const MIN_NEARBY_PERCENT: usize = 60;

/// Returns the routers for a caller in a failure domain, only those of that domain if there are enough.
#[must_use]
pub fn routers_for<'a>(configuration: &'a Configuration, domain: &str) -> Vec<&'a Instance> {
    let is_serving = |i: &&Instance| !i.leaving && !i.caller_address.is_empty();
    let mut routers: Vec<&Instance> = configuration.instances.iter().filter(is_serving).collect();
    let nearby = routers.iter().filter(|i| i.domain == domain).count();
    let is_even = nearby * count_domains(&routers) * 100 >= routers.len() * MIN_NEARBY_PERCENT;
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
    let count = u64::try_from(routers.len()).unwrap_or(u64::MAX);
    let start = usize::try_from(position % count).unwrap_or_default();
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
/// `query` may contain the caller's failure domain, as `domain=ID`.
pub fn list(context: &Context, query: &str) -> Response<Body> {
    let current = context.view.current();
    let own_id = context.identity.instance.as_str();
    let is_leaving = |i: &Instance| context.lifecycle.is_shutting_down() && i.id == own_id;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let domain = pairs.find(|(key, _)| *key == "domain");
    let routers = routers_for(&current, domain.map_or("", |(_, value)| value));
    let serving = routers.into_iter().filter(|i| !is_leaving(i));
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
