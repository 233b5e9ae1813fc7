//! Departures that were acknowledged, when all processes end that had heard of them.

use googletest::prelude::*;
use jaylock_tests::cases;

use crate::harness::{FakeBackend, TestFleet, document, wait_until};

/// Instances that serve control.
const CONTROL_COUNT: usize = 3;
/// Requests after the late heartbeat.
const REQUESTS: usize = 12;

/// Requests that reach a backend server whose late heartbeat arrives after its departure and a start of the whole fleet.
fn requests_after(departure: impl Fn(&FakeBackend, &TestFleet) -> u16) -> usize {
    let mut fleet = TestFleet::start(CONTROL_COUNT, 1);
    fleet.configure(&document(1));
    let stays = FakeBackend::start(&fleet, "b1", |r| r.respond("200 OK", "done"));
    let leaves = FakeBackend::start(&fleet, "b2", |r| r.respond("200 OK", "done"));
    assert_that!(departure(&leaves, &fleet), eq(200));
    for at in 0..=CONTROL_COUNT {
        fleet.kill(at);
    }
    for at in 0..=CONTROL_COUNT {
        fleet.start_instance(at, false);
    }
    let caller = fleet.caller();
    wait_until("a request is served", || {
        caller.try_send().is_ok_and(|r| r.status() == 200)
    });
    leaves.send_late_heartbeat(&fleet);
    let before = stays.received().len();
    for _ in 0..REQUESTS {
        assert_that!(caller.send().status(), eq(200));
    }
    assert_that!(stays.received().len(), gt(before));
    leaves.received().len()
}

cases! {
    // Guards against an acknowledged departure that only processes know of which end.
    late_heartbeat_brings_no_request_to_a_backend_server_that_was_deregistered_before_all_processes_ended => {
        assert_that!(requests_after(FakeBackend::deregister), eq(0));
    };
    late_heartbeat_brings_no_request_to_a_backend_server_that_was_draining_before_all_processes_ended => {
        assert_that!(requests_after(FakeBackend::drain), eq(0));
    };
}
