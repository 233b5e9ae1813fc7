//! Responses that break off in their head, and errors where a stream should go on: callers never see them as complete.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use googletest::prelude::*;
use jaylock_tests::cases;
use serde_json::json;

use crate::harness::{CallerResponse, FakeBackend, ReceivedRequest, Reply, TestFleet, document};

/// Head of a response, in whose place a part of it is sent.
const HEAD: &str =
    "HTTP/1.1 200 OK\r\nAttempt-Id: ATTEMPT\r\nReplica-Seal: 3e1b.07\r\nContent-Length: 12\r\n";

/// Returns the events with these identifiers as a caller reads them.
fn events(ids: std::ops::RangeInclusive<u64>) -> String {
    let events = ids.map(|n| format!("id: {n}\ndata: piece {n}\n\n"));
    events.collect::<Vec<_>>().concat()
}

fn closing(reply: Reply) -> Reply {
    Reply {
        closes_connection: true,
        ..reply
    }
}

/// A chunked body with one chunk.
fn chunked(content_type: &str, text: &str) -> String {
    let length = text.len();
    format!(
        "Content-Type: {content_type}\r\nTransfer-Encoding: chunked\r\n\r\n{length:x}\r\n{text}\r\n0\r\n\r\n"
    )
}

/// Opens a stream that breaks off after its third event and gets `second` from the next backend server.
fn stream_then(
    second: impl Fn(&ReceivedRequest) -> Reply + Clone + Send + Sync + 'static,
) -> CallerResponse {
    let fleet = TestFleet::minimal();
    let reply = move |r: &ReceivedRequest| match r.header("last-event-id") {
        "" => r.events(1..=3, Reply::BROKEN_EVENT),
        _ => second(r),
    };
    let _both = ["b1", "b2"].map(|id| FakeBackend::start(&fleet, id, reply.clone()));
    fleet.caller().request("POST", "/draft/1").send()
}

/// Checks that the caller got the first three events, and nothing that looks like the end of the stream.
fn assert_cut(response: &CallerResponse) {
    assert_that!((response.status(), response.is_complete), eq((200, false)));
    assert_that!(response.body, eq(&events(1..=3)));
}

/// Defines cases in which a stream is cut after its third event, as the second response does not continue it.
macro_rules! cut_streams {
    ($($name:ident => $second:expr;)*) => {
        cases! {
            $($name => {
                assert_cut(&stream_then($second));
            };)*
        }
    };
}

cut_streams! {
    error_with_a_length_does_not_continue_a_stream => |r| r.respond("500 Internal Server Error", "error\n\nof the server\n\n");
    chunked_error_does_not_continue_a_stream => |r| r.sealed("502 Bad Gateway", &chunked("text/plain", "error\n\n"));
    error_that_ends_with_its_connection_does_not_continue_a_stream => |r| closing(r.sealed("500 Internal Server Error", "\r\nerror\n\n"));
    answer_without_content_does_not_complete_a_stream => |r| r.sealed("204 No Content", "\r\n");
    accepted_answer_does_not_continue_a_stream => |r| r.sealed("202 Accepted", &chunked("text/event-stream", "id: 4\ndata: piece 4\n\n"));
    text_does_not_continue_a_stream => |r| r.sealed("200 OK", &chunked("text/plain", "id: 4\ndata: piece 4\n\n"));
    complete_body_does_not_continue_a_stream => |r| r.sealed("200 OK", "Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}");
    error_head_among_the_events_does_not_continue_a_stream => |r| r.sealed("200 OK", &chunked("text/event-stream", "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nerror\n\n"));
    text_without_a_media_type_does_not_continue_a_stream => |r| r.sealed("200 OK", "Transfer-Encoding: chunked\r\n\r\n7\r\nerror\n\n\r\n0\r\n\r\n");
    answer_that_ends_before_its_first_event_does_not_complete_a_stream => |r| r.sealed("200 OK", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    connection_that_ends_after_the_head_does_not_complete_a_stream => |r| closing(r.sealed("200 OK", "Content-Type: text/event-stream\r\n\r\n"));
}

cases! {
    stream_goes_on_under_a_media_type_with_parameters => {
        let response = stream_then(|r| r.sealed("200 OK", &chunked("Text/Event-Stream; charset=utf-8", &events(4..=6))));
        assert_that!((response.is_complete, response.body.as_str()), eq((true, events(1..=6).as_str())));
    };
    stream_goes_on_after_a_comment => {
        let text = format!(": still at work\n\nweight-versions: 2\n{}", events(4..=6));
        let whole = format!("{}{text}", events(1..=3));
        let response = stream_then(move |r| r.sealed("200 OK", &chunked("text/event-stream", &text)));
        assert_that!((response.is_complete, response.body.as_str()), eq((true, whole.as_str())));
    };
    comment_alone_does_not_complete_a_stream => {
        let comment = ": still at work\n\n";
        let response = stream_then(move |r| r.sealed("200 OK", &chunked("text/event-stream", comment)));
        assert_that!((response.is_complete, response.body), eq(&(false, events(1..=3) + comment)));
    };
    stream_goes_on_at_a_third_backend_server_after_an_error => {
        let fleet = TestFleet::minimal();
        let mut patient = document(2);
        for route in patient["routes"].as_array_mut().expect("routes") {
            route["max_attempts"] = json!(3);
        }
        fleet.configure(&patient);
        let count = Arc::new(AtomicUsize::new(0));
        let reply = move |r: &ReceivedRequest| match count.fetch_add(1, Ordering::Relaxed) {
            0 => r.events(1..=3, Reply::BROKEN_EVENT),
            1 => r.respond("500 Internal Server Error", "error\n\n"),
            _ => r.events(4..=6, Reply::LAST_CHUNK),
        };
        let _all = ["b1", "b2", "b3"].map(|id| FakeBackend::start(&fleet, id, reply.clone()));
        let response = fleet.caller().request("POST", "/draft/1").send();
        assert_that!((response.is_complete, response.body.as_str()), eq((true, events(1..=6).as_str())));
    };
    // Guards against a head that broke off and reached the caller as a whole response with an empty or short body.
    head_that_breaks_off_reaches_no_caller_as_a_success => {
        let fleet = TestFleet::minimal();
        let backend = FakeBackend::start(&fleet, "b1", |r| {
            let cut: Option<usize> = r.request_line.split(['/', ' ']).find_map(|part| part.parse().ok());
            let head = HEAD.replace("ATTEMPT", r.header("attempt-id"));
            match cut {
                Some(length) => closing(Reply::from_text(&head[..length.min(head.len())])),
                None => r.respond("200 OK", "whole answer"),
            }
        });
        let longest = HEAD.len() + 16;
        for prefix in ["/once/", "/stream/"] {
            for length in 0..longest {
                // Each head that breaks off comes over a connection that was used before, and every other one over a new one.
                if length % 2 == 0 {
                    assert_that!(fleet.caller().request("POST", "/once/whole").send().status(), any!(eq(200), eq(503)));
                }
                let path = format!("{prefix}{length}");
                let response = fleet.caller().request("POST", &path).send();
                assert_that!(response.status(), any!(eq(502), eq(503)), "{path}");
            }
        }
        let cut = backend.received().iter().filter(|r| !r.request_line.contains("whole")).count();
        assert_that!(cut, ge(longest));
    };
    body_that_is_shorter_than_its_length_reaches_no_caller_as_a_success => {
        let fleet = TestFleet::minimal();
        let _backend = FakeBackend::start(&fleet, "b1", |r| closing(r.sealed("200 OK", "Content-Length: 12\r\n\r\nwhole")));
        assert_that!(fleet.caller().request("POST", "/once/1").send().status(), eq(502));
        let streamed = fleet.caller().request("POST", "/stream/1").send();
        assert_that!((streamed.status() == 200, streamed.is_complete), not(eq((true, true))));
    };
    // Guards against a stream that broke off and looked complete to callers who read it until the connection ends.
    stream_to_a_caller_of_an_older_protocol_ends_with_its_connection => {
        let fleet = TestFleet::minimal();
        let _backend = FakeBackend::start(&fleet, "b1", |r| match r.header("path") {
            "whole" => r.events(1..=3, Reply::LAST_CHUNK),
            _ => r.events(1..=3, Reply::BROKEN_EVENT),
        });
        for (path, is_whole) in [("whole", true), ("broken", false)] {
            let caller = fleet.caller().request("POST", "/stream/1").with("Path", path);
            let mut connection = TcpStream::connect(fleet.caller_address(1)).expect("a connection");
            let request = caller.text().replace("HTTP/1.1", "HTTP/1.0");
            connection.write_all(request.as_bytes()).expect("a request is sent");
            let mut received = Vec::new();
            let end = connection.read_to_end(&mut received);
            let text = String::from_utf8_lossy(&received);
            assert_that!(text, starts_with("HTTP/1.0 200"));
            assert_that!((end.is_ok(), text.ends_with(&events(1..=3))), eq((is_whole, true)));
        }
    };
    connection_that_ends_after_the_head_of_a_new_stream_is_an_error => {
        let fleet = TestFleet::minimal();
        let _backend = FakeBackend::start(&fleet, "b1", |r| closing(r.sealed("200 OK", "Content-Type: text/event-stream\r\n\r\n")));
        assert_that!(fleet.caller().request("POST", "/stream/1").send().status(), eq(502));
    };
    error_where_a_caller_takes_up_a_stream_is_forwarded_as_an_error => {
        let fleet = TestFleet::minimal();
        let _backend = FakeBackend::start(&fleet, "b1", |r| r.respond("500 Internal Server Error", "error"));
        let response = fleet.caller().request("POST", "/draft/1").with("Last-Event-Id", "3").send();
        assert_that!((response.status(), response.body.as_str()), eq((500, "error")));
    };
    success_that_is_no_stream_does_not_serve_a_caller_that_takes_one_up => {
        let fleet = TestFleet::minimal();
        let _both = ["b1", "b2"].map(|id| FakeBackend::start(&fleet, id, |r| r.sealed("200 OK", &chunked("text/plain", "error\n\n"))));
        let response = fleet.caller().request("POST", "/draft/1").with("Last-Event-Id", "3").send();
        assert_that!(response.status(), eq(502));
    };
}
