//! Requests that crash backend servers a moment after their callers have left.

use std::thread;
use std::time::Duration;

use googletest::prelude::*;
use jaylock_tests::cases;

use crate::harness::{FakeBackend, FleetSettings, ReceivedRequest, Reply, TestFleet, document};

/// Backend servers, each of which crashes for good.
const BACKENDS: usize = 8;
/// Time for which a caller waits.
const PATIENCE: Duration = Duration::from_millis(150);
/// Time for which a backend server runs the request until it crashes.
const RUN_TIME: Duration = Duration::from_millis(250);
/// Time between two requests, in which the crash of the one before is found: a router checks a backend server up to 1.5 s after a run, for 0.25 s at most.
const PAUSE: Duration = Duration::from_secs(2);
/// Backend servers that a request may crash: two until it is suspected, one in a trial, and one while the trial's crash is found.
const MAX_CRASHES: usize = 4;

fn reply(request: &ReceivedRequest) -> Reply {
    if !request.request_line.contains("deadly") {
        return request.respond("200 OK", "done");
    }
    thread::sleep(RUN_TIME);
    request.crash()
}

/// Number of backend servers that crash under a request that comes again and again.
fn crashes(path: &'static str) -> usize {
    let fleet = TestFleet::start_with(FleetSettings {
        control_count: 1,
        router_count: 2,
        ..FleetSettings::default()
    });
    fleet.configure(&document(1));
    let names: Vec<String> = (0..BACKENDS).map(|at| format!("b{at}")).collect();
    let backends: Vec<FakeBackend> = names
        .iter()
        .map(|id| FakeBackend::start(&fleet, id, reply))
        .collect();
    for _ in 0..BACKENDS {
        let caller = fleet.caller().request("GET", path);
        let _ = caller.try_send_within(PATIENCE);
        thread::sleep(PAUSE);
    }
    backends
        .iter()
        .filter(|backend| backend.has_crashed())
        .count()
}

cases! {
    // Guards against a request that crashes one backend server after the other, as its callers leave before each crash.
    request_whose_callers_leave_crashes_all_backend_servers => {
        assert_that!(crashes("/look/deadly"), le(MAX_CRASHES));
    };
    stream_whose_callers_leave_crashes_all_backend_servers => {
        assert_that!(crashes("/stream/deadly"), le(MAX_CRASHES));
    };
}
