//! Backend servers that send bytes without end, until the router closes the connection.

use std::thread;

use googletest::prelude::*;
use jaylock_tests::cases;

use crate::harness::{Caller, FakeBackend, ReceivedRequest, Reply, TestFleet, wait_until};

/// Callers that send requests at the same time.
const CALLER_COUNT: usize = 40;
/// Least memory of a machine that runs a router, in KiB.
const MACHINE_MEMORY_KIB: u64 = 160_000;

/// Sends requests to a backend server with endless replies, and checks what the router makes of them.
///
/// It must end each with an error or an incomplete response, close the connections to the backend server, stay within
/// the memory of a small machine, and go on to serve requests.
fn check_endless(path: &'static str, reply: fn(&ReceivedRequest) -> Reply) {
    let mut fleet = TestFleet::minimal();
    let sick = FakeBackend::start(&fleet, "sick", move |r| {
        if r.request_line.contains("/sound") {
            return r.respond("200 OK", "found");
        }
        reply(r)
    });
    let caller = fleet
        .caller()
        .request("GET", path)
        .with("Time-Budget", "2000");
    let callers = (0..CALLER_COUNT).map(|_| {
        let caller = caller.clone();
        thread::spawn(move || caller.send())
    });
    for caller in callers.collect::<Vec<_>>() {
        let response = caller.join().expect("a response");
        let is_success = response.status() == 200 && response.is_complete;
        assert_that!(is_success, eq(false));
    }
    wait_until("the connections to the backend server are closed", || {
        sick.active_count() == 0
    });
    assert_that!(fleet.peak_memory_kib(1), lt(MACHINE_MEMORY_KIB));
    let sound: Caller = fleet.caller().request("GET", "/look/sound");
    wait_until("a sound request is served", || sound.send().status() == 200);
}

cases! {
    head_without_end_is_read_for_ever => {
        check_endless("/look/1", |_| Reply::from_text("HTTP/1.1 200 OK\r\n").with_endless("X-Filler: filler\r\n"));
    };
    informational_responses_without_end_are_read_for_ever => {
        check_endless("/look/1", |_| Reply::from_text("").with_endless("HTTP/1.1 103 Early Hints\r\n\r\n"));
    };
    bytes_without_a_line_end_are_read_for_ever => {
        check_endless("/look/1", |_| Reply::from_text("").with_endless("filler"));
    };
    body_without_end_is_read_for_ever => {
        check_endless("/look/1", |r| {
            r.sealed("200 OK", "\r\n").with_endless("filler")
        });
    };
    error_body_without_end_is_read_for_ever => {
        check_endless("/stream/1", |r| {
            r.sealed("500 Internal Server Error", "\r\n").with_endless("filler")
        });
    };
    event_without_end_is_read_for_ever => {
        check_endless("/stream/1", |r| {
            r.sealed("200 OK", "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ").with_endless("filler")
        });
    };
    stream_of_comments_without_end_is_read_for_ever => {
        check_endless("/stream/1", |r| {
            r.sealed("200 OK", "Content-Type: text/event-stream\r\n\r\n").with_endless(": filler\n")
        });
    };
    events_without_end_outlast_the_deadline => {
        check_endless("/stream/1", |r| {
            r.sealed("200 OK", "Content-Type: text/event-stream\r\n\r\n").with_endless("data: filler\n\n")
        });
    };
}
