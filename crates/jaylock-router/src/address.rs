use http::{Response, StatusCode};
use jaylock_observe::RunStatus;
use jaylock_rpc::v1::{Configuration, Instance};
use jaylock_types::RequestId;
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

/// Returns the routers for a caller in a failure domain, only those of that domain if there are enough.
#[must_use]
pub fn routers_for<'a>(configuration: &'a Configuration, domain: &str) -> Vec<&'a Instance> {
    let is_serving = |i: &&Instance| !i.leaving && !i.caller_address.is_empty();
    let mut routers: Vec<&Instance> = configuration.instances.iter().filter(is_serving).collect();
    let nearby = routers.iter().filter(|i| i.domain == domain).count();
    if nearby >= MIN_NEARBY {
        routers.retain(|i| i.domain == domain);
    }
    routers
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
