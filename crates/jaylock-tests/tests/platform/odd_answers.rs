//! Bytes that are no answer, though they begin like one: callers never get them.

use googletest::prelude::*;
use jaylock_tests::cases;

use crate::harness::{FakeBackend, ReceivedRequest, Reply, TestFleet};

/// Routes of each kind.
const ROUTES: [&str; 4] = ["/once/", "/look/", "/stream/", "/draft/"];
/// Text of an answer after its status code.
const REST: &str = "\r\nAttempt-Id: ATTEMPT\r\nReplica-Seal: 3e1b.07\r\nContent-Type: text/event-stream\r\nContent-Length: 13\r\n\r\nid: 1\ndata: 1";
/// Answers with an odd line, whose place is marked, each with the body of another framing.
const HEADS: [&str; 3] = [
    "HTTP/1.1 200 OK\r\nODD\r\nAttempt-Id: ATTEMPT\r\nReplica-Seal: 3e1b.07\r\nContent-Length: 5\r\n\r\nwhole",
    "HTTP/1.1 200 OK\r\nAttempt-Id: ATTEMPT\r\nReplica-Seal: 3e1b.07\r\nTransfer-Encoding: chunked\r\nODD\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nAttempt-Id: ATTEMPT\r\nODD\r\nReplica-Seal: 3e1b.07\r\n\r\nwhole",
];

/// What a connection carried before the answer, and when it comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Connection {
    New,
    Kept,
    /// A new one, over which an upload is being sent.
    Uploading,
}

/// Sends each of these answers to each kind of route, and checks that no caller gets one.
fn check_answers(connection: Connection, answers: Vec<String>) {
    let fleet = TestFleet::minimal();
    let count = answers.len();
    let backend = FakeBackend::start_early(&fleet, "b1", 0, move |r| match number(r) {
        Some(number) => Reply {
            closes_connection: true,
            ..Reply::from_text(&answers[number].replace("ATTEMPT", r.header("attempt-id")))
        },
        None => r.respond("200 OK", "sound"),
    });
    for prefix in ROUTES {
        for number in 0..count {
            if connection == Connection::Kept {
                let sound = fleet.caller().request("POST", "/look/sound").send();
                assert_that!(sound.status(), eq(200));
            }
            let mut caller = fleet.caller().request("POST", &format!("{prefix}{number}"));
            if connection == Connection::Uploading {
                caller = caller.body(&"u".repeat(60_000));
            }
            let response = caller.send();
            assert_that!(
                (response.status(), response.is_complete),
                eq((502, true)),
                "{prefix}{number}: {:?}",
                response.answer
            );
        }
    }
    let received = backend.received();
    let odd = received.iter().filter(|r| number(r).is_some()).count();
    assert_that!(odd, eq(count * ROUTES.len()));
    assert_that!(backend.end_count(), eq(odd));
    if connection == Connection::Kept {
        let is_kept = |at: &usize| {
            let earlier = &received[..*at];
            earlier
                .iter()
                .any(|r| r.connection == received[*at].connection)
        };
        let kept = (0..received.len()).filter(is_kept);
        // On a slow machine some have been idle for too long.
        assert_that!(kept.count(), ge(odd / 2));
    }
    assert_that!(fleet.broken_answers(1), eq(odd));
    let log = fleet.log(1);
    let mut lines = log.lines();
    assert!(lines.any(|line| line.contains("an attempt broke off") && line.contains("backend=b1")));
}

/// Number of the answer that a request asks for.
fn number(request: &ReceivedRequest) -> Option<usize> {
    let mut parts = request.request_line.split(['/', ' ']);
    parts.find_map(|part| part.parse().ok())
}

fn with_statuses(statuses: &[&str]) -> Vec<String> {
    let answers = statuses.iter().map(|s| format!("HTTP/1.1 {s}{REST}"));
    answers.collect()
}

fn with_lines(lines: &[&str]) -> Vec<String> {
    let heads = HEADS.iter();
    let answers = heads.flat_map(|head| lines.iter().map(|line| head.replace("ODD", line)));
    answers.collect()
}

/// Defines a case for each kind of connection.
macro_rules! odd_answers {
    ($($name:ident => $answers:expr;)*) => {
        $(mod $name {
            use super::*;

            cases! {
                on_a_new_connection => {
                    check_answers(Connection::New, $answers);
                };
                on_a_kept_connection => {
                    check_answers(Connection::Kept, $answers);
                };
                during_an_upload => {
                    check_answers(Connection::Uploading, $answers);
                };
            }
        })*
    };
}

odd_answers! {
    status_000 => with_statuses(&["000", "000 OK", "000 "]);
    other_odd_status => with_statuses(&["099 X", "001 OK", "20", "20 OK", "2x0 OK", "-20 OK", "+20 OK", "1000 OK", "OK", ""]);
    // Guards against three digits that HTTP knows no class of and that reach callers as a status.
    status_beyond_599 => with_statuses(&["600 X", "600", "799 X", "999 OK"]);
    unasked_change_of_protocol => with_statuses(&["101 Switching Protocols", "101 X\r\nUpgrade: other\r\nConnection: upgrade"]);
    blank_in_the_name_of_a_field => with_lines(&["X Odd: 1", "X-Odd : 1", "X-Odd\t: 1", " X-Odd: 1", "\tX-Odd: 1", "X\tOdd: 1", "Content-Length : 3", "Transfer-Encoding : chunked", "Content- Length: 3"]);
    control_byte_in_the_name_of_a_field => with_lines(&["X\u{1}Odd: 1", "X-Odd\u{1f}: 1", "\u{8}X-Odd: 1", "X\0Odd: 1", "X\u{7f}Odd: 1", "X\u{b}Odd: 1", "X\rOdd: 1", "Content-Length\u{1}: 3"]);
    other_odd_name_of_a_field => with_lines(&[": 1", "X-Odd", "X(Odd): 1", "X\u{e9}Odd: 1", "{\"x\": 1}"]);
    transfer_encoding_that_is_not_chunked => [
        "Transfer-Encoding: gzip", "Transfer-Encoding: identity", "Transfer-Encoding: chunked, gzip", "Transfer-Encoding: x\r\nContent-Length: 5",
        "Transfer-Encoding: gzip, chunked", "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked", "Transfer-Encoding:",
    ].map(|fields| format!("HTTP/1.1 200 OK\r\nAttempt-Id: ATTEMPT\r\nReplica-Seal: 3e1b.07\r\n{fields}\r\n\r\n5\r\nwhole\r\n0\r\n\r\n")).into();
    length_that_is_no_number => [
        "Content-Length: x", "Content-Length: -5", "Content-Length: +5", "Content-Length: 5 5", "Content-Length: 5\r\nContent-Length: 6", "Content-Length:",
    ].map(|fields| format!("HTTP/1.1 200 OK\r\nAttempt-Id: ATTEMPT\r\nReplica-Seal: 3e1b.07\r\n{fields}\r\n\r\nwhole")).into();
}
