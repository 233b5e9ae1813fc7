//! Backend servers that send bytes without end, until the router closes the connection.

use std::thread;

use googletest::prelude::*;
use jaylock_tests::cases;

use crate::harness::{Caller, FakeBackend, ReceivedRequest, Reply, TestFleet, wait_until};

/// Callers that send requests at the same time.
const CALLER_COUNT: usize = 40;
/// Least memory of a machine that runs a router, in KiB.
const MACHINE_MEMORY_KIB: u64 = 160_000;
/// Size of an upload, of which the backend server reads nothing.
const UPLOAD_BYTES: usize = 60_000;
/// Least number of bytes without end that must have been sent, so that a test has reached the fault.
const MIN_ENDLESS_BYTES: usize = 1 << 20;

/// What the connections carry beside the replies without end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Connections {
    New,
    /// One of them has carried a request before.
    Kept,
    /// New ones, over which uploads are being sent.
    Uploading,
}

/// Sends requests to a backend server with endless replies, and checks what the router makes of them.
///
/// It must end each with an error or an incomplete response, close the connections to the backend server, stay within
/// the memory of a small machine, and go on to serve requests.
fn check_endless(
    connections: Connections,
    path: &'static str,
    reply: impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static,
) {
    let mut fleet = TestFleet::minimal();
    let sick = FakeBackend::start_early(&fleet, "sick", 0, move |r| {
        if r.request_line.contains("/sound") {
            return r.respond("200 OK", "found");
        }
        reply(r)
    });
    let sound: Caller = fleet.caller().request("GET", "/look/sound");
    if connections == Connections::Kept {
        assert_that!(sound.send().status(), eq(200));
    }
    let mut caller = fleet
        .caller()
        .request("GET", path)
        .with("Time-Budget", "2000");
    if connections == Connections::Uploading {
        caller = caller.request("POST", path).body(&"u".repeat(UPLOAD_BYTES));
    }
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
    assert_that!(sick.endless_bytes(), ge(MIN_ENDLESS_BYTES));
    if connections == Connections::Kept {
        let received = sick.received();
        let first = received[0].connection;
        let kept = received.iter().filter(|r| r.connection == first);
        assert_that!(kept.count(), ge(2));
    }
    wait_until("a sound request is served", || sound.send().status() == 200);
}

/// Defines a case for each kind of connection.
macro_rules! endless_replies {
    ($($name:ident => $path:literal, $reply:expr;)*) => {
        $(mod $name {
            use super::*;

            cases! {
                on_new_connections => {
                    check_endless(Connections::New, $path, $reply);
                };
                on_a_kept_connection => {
                    check_endless(Connections::Kept, $path, $reply);
                };
                during_uploads => {
                    check_endless(Connections::Uploading, $path, $reply);
                };
            }
        })*
    };
}

endless_replies! {
    head_without_end_is_read_for_ever => "/look/1", |_| Reply::from_text("HTTP/1.1 200 OK\r\n").with_endless("X-Filler: filler\r\n");
    name_of_a_field_without_end_is_read_for_ever => "/look/1", |_| Reply::from_text("HTTP/1.1 200 OK\r\n").with_endless("filler");
    informational_responses_without_end_are_read_for_ever => "/look/1", |_| Reply::from_text("").with_endless("HTTP/1.1 103 Early Hints\r\n\r\n");
    bytes_without_a_line_end_are_read_for_ever => "/look/1", |_| Reply::from_text("").with_endless("filler");
    line_ends_without_end_are_read_for_ever => "/look/1", |_| Reply::from_text("").with_endless("\r\n");
    body_without_end_is_read_for_ever => "/look/1", |r| r.sealed("200 OK", "\r\n").with_endless("filler");
    chunks_without_end_are_read_for_ever => "/look/1", |r| r.sealed("200 OK", "Transfer-Encoding: chunked\r\n\r\n").with_endless("1\r\nx\r\n");
    size_of_a_chunk_without_end_is_read_for_ever => "/look/1", |r| r.sealed("200 OK", "Transfer-Encoding: chunked\r\n\r\n").with_endless("0");
    extension_of_a_chunk_without_end_is_read_for_ever => "/look/1", |r| r.sealed("200 OK", "Transfer-Encoding: chunked\r\n\r\n5;").with_endless("filler");
    trailers_without_end_are_read_for_ever => "/look/1", |r| r.sealed("200 OK", "Transfer-Encoding: chunked\r\n\r\n0\r\n").with_endless("X-Filler: filler\r\n");
    error_body_without_end_is_read_for_ever => "/stream/1", |r| r.sealed("500 Internal Server Error", "\r\n").with_endless("filler");
    event_without_end_is_read_for_ever => "/stream/1", |r| r.sealed("200 OK", "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ").with_endless("filler");
    stream_of_comments_without_end_is_read_for_ever => "/stream/1", |r| r.sealed("200 OK", "Content-Type: text/event-stream\r\n\r\n").with_endless(": filler\n");
    events_without_end_outlast_the_deadline => "/stream/1", |r| r.sealed("200 OK", "Content-Type: text/event-stream\r\n\r\n").with_endless("data: filler\n\n");
}
