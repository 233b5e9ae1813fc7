//! Backend servers that tell a router in a response to send them nothing.

use googletest::prelude::*;
use jaylock_tests::cases;

use crate::harness::{FakeBackend, ReceivedRequest, Reply, TestFleet};

/// Requests that are sent, one after the other.
const REQUEST_COUNT: usize = 20;

/// A refusal that asks for a pause longer than any test.
fn ask_for_pause(request: &ReceivedRequest) -> Reply {
    let id = request.header("attempt-id");
    Reply::from_text(&format!(
        "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\n\
         Retry-After: 60.5\r\nContent-Length: 0\r\n\r\n"
    ))
}

fn leave(request: &ReceivedRequest) -> Reply {
    request.sealed("200 OK", "Server-Leaving: 1\r\nContent-Length: 2\r\n\r\nok")
}

/// Sends requests to a backend server with this reply and a sound one; returns how many the first one got.
fn count_requests(reply: fn(&ReceivedRequest) -> Reply) -> usize {
    let fleet = TestFleet::minimal();
    let _sound = FakeBackend::start(&fleet, "b1", |r| r.respond("200 OK", "ok"));
    // Of two that are equally loaded, the one that registered last is used first.
    let excluded = FakeBackend::start(&fleet, "b2", reply);
    for _ in 0..REQUEST_COUNT {
        assert_that!(fleet.caller().send().status(), eq(200));
    }
    excluded.received().len()
}

cases! {
    backend_server_that_says_it_leaves_gets_further_requests => {
        assert_that!(count_requests(leave), le(1));
    };
    backend_server_that_asks_for_a_pause_gets_requests_during_it => {
        assert_that!(count_requests(ask_for_pause), le(1));
    };
    callers_wait_for_a_pause_of_the_only_backend_server => {
        let fleet = TestFleet::minimal();
        let backend = FakeBackend::start(&fleet, "b1", ask_for_pause);
        for _ in 0..3 {
            let response = fleet.caller().with("Time-Budget", "15000").send();
            assert_that!(response.status(), eq(503));
        }
        assert_that!(backend.received().len(), eq(1));
    };
}
