use http::{Response, StatusCode};
use jaylock_observe::Run;
use jaylock_rpc::v1::Instance;
use jaylock_types::RequestId;
use serde::Serialize;

use crate::answer::json;
use crate::body::Body;
use crate::context::Context;

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

/// Answers which addresses callers may use, and for how long.
pub fn list(shared: &Context) -> Response<Body> {
    let current = shared.view.current();
    let own = shared.identity.instance.as_str();
    let leaves = |i: &Instance| i.leaving || (shared.lifecycle.is_leaving() && i.id == own);
    let live = current.instances.iter().filter(|i| !leaves(i));
    let body = AddressList {
        keep_ms: shared.settings.keep_ms,
        routers: live.map(address).collect(),
    };
    let body = serde_json::to_vec(&body).unwrap_or_default();
    json(&RequestId::random(), StatusCode::OK, Run::NotRun, body)
}

/// The addresses of the other live instances.
pub fn others(shared: &Context) -> Vec<String> {
    let own = shared.identity.instance.as_str();
    let current = shared.view.current();
    let live = current.instances.iter();
    let live = live.filter(|i| !i.leaving && i.id != own);
    live.map(|i| i.caller_address.clone()).collect()
}

fn address(instance: &Instance) -> Address {
    Address {
        address: instance.caller_address.clone(),
        domain: instance.domain.clone(),
    }
}
