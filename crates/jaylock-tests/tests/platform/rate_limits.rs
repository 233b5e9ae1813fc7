//! Backend servers that name the rate of requests which they take from all instances together.

use std::thread;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use jaylock_tests::cases;

use crate::harness::{Caller, FakeBackend, FleetSettings, ReceivedRequest, TestFleet, document};

/// Requests a second that the backend server takes.
const LIMIT: f64 = 4.0;
/// Routers through which requests come.
const ROUTER_COUNT: usize = 2;
/// Callers of each router that send one request after the other.
const CALLERS: usize = 4;
/// Time for which the callers send requests.
const TEST_TIME: Duration = Duration::from_secs(9);
/// Time in which all instances must know a limit.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time over which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests that may arrive within `WINDOW`: one and a half times what the limit allows, and 5.
const MAX_ARRIVALS: usize = 29;

fn start_fleet() -> TestFleet {
    let fleet = TestFleet::start_with(FleetSettings {
        router_count: ROUTER_COUNT,
        ..FleetSettings::default()
    });
    fleet.configure(&document(1));
    fleet
}

/// Lets callers send requests through all routers; a refused one is sent again after a moment.
fn flood(fleet: &TestFleet) {
    let end = Instant::now() + TEST_TIME;
    let callers = (0..ROUTER_COUNT * CALLERS).map(|at| {
        let caller = Caller::new(fleet.caller_address(1 + at % ROUTER_COUNT));
        thread::spawn(move || {
            while Instant::now() < end {
                if caller.try_send().is_ok_and(|r| r.status() == 503) {
                    thread::sleep(Duration::from_millis(50));
                }
            }
        })
    });
    for caller in callers.collect::<Vec<_>>() {
        caller.join().expect("a caller");
    }
}

/// The most requests that arrived within `WINDOW`, from `CONTACT_TIME` after the first one on.
fn max_arrivals(backend: &FakeBackend) -> usize {
    let times: Vec<Instant> = backend.received().iter().map(|r| r.arrived_at).collect();
    let from = times[0] + CONTACT_TIME;
    let late: Vec<Instant> = times.into_iter().filter(|at| *at >= from).collect();
    let counts = late.iter().map(|start| {
        let within = |at: &&Instant| **at >= *start && **at < *start + WINDOW;
        late.iter().filter(within).count()
    });
    counts.max().unwrap_or(0)
}

cases! {
    backend_server_gets_more_requests_than_the_limit_that_it_names => {
        let fleet = start_fleet();
        let reply = |r: &ReceivedRequest| {
            r.sealed("200 OK", &format!("Server-Limit: {LIMIT:.1}\r\nContent-Length: 2\r\n\r\nok"))
        };
        let backend = FakeBackend::start(&fleet, "b1", reply);
        flood(&fleet);
        assert_that!(max_arrivals(&backend), le(MAX_ARRIVALS));
    };
    // Guards against a cold time that a response names and nobody regards, while heartbeats say that there is none.
    backend_server_that_says_in_responses_that_it_is_cold_gets_more_requests_than_it_takes => {
        let fleet = TestFleet::start_with(FleetSettings {
            router_count: ROUTER_COUNT,
            ..FleetSettings::default()
        });
        let mut document = document(1);
        for service in document["services"].as_array_mut().expect("services") {
            service["cold_s"] = 1.into();
            service["cold_per_s"] = LIMIT.into();
        }
        fleet.configure(&document);
        let reply = |r: &ReceivedRequest| {
            r.sealed("200 OK", "Cold-Remaining: 2000\r\nContent-Length: 2\r\n\r\nok")
        };
        let backend = FakeBackend::start(&fleet, "b1", reply);
        flood(&fleet);
        assert_that!(max_arrivals(&backend), le(MAX_ARRIVALS));
        assert_that!(backend.received().len(), ge(20));
    };
}
