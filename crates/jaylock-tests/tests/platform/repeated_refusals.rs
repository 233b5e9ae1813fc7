//! Backend servers that write an earlier response once more on a kept connection.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use googletest::prelude::*;
use jaylock_tests::cases;

use crate::harness::{FakeBackend, ReceivedRequest, Reply, TestFleet};

/// A refusal that names no request.
const UNNAMED: &str =
    "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
/// A refusal of the request whose response makes the connection a kept one.
const EARLIER: &str = "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: earlier\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
/// A refusal of another backend server's request, which names none.
const MISDIRECTED: &str =
    "HTTP/1.1 421 Misdirected Request\r\nReplica-Id: other\r\nContent-Length: 0\r\n\r\n";
/// A refusal that asks for a pause and says that the backend server leaves.
const NOTICES: &str = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRetry-After: 60\r\nServer-Leaving: 1\r\n\
     Content-Length: 0\r\n\r\n";
/// Pause in which bytes on an idle connection arrive.
const IDLE: Duration = Duration::from_millis(50);

/// When the repeated bytes are written.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Moment {
    /// Right after the response to the request before.
    AtOnce,
    /// While the connection is idle.
    Idle,
    /// After the next request was read, before its response.
    Running,
}

/// Replies to each request, and writes `repeated` once more before the response to the second one.
fn faulty(
    repeated: &str,
    moment: Moment,
) -> impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static {
    let (repeated, count) = (repeated.to_owned(), AtomicUsize::new(0));
    move |request| {
        let reply = request.respond("200 OK", "done");
        let number = count.fetch_add(1, Ordering::Relaxed);
        let mut bytes = repeated.clone().into_bytes();
        match (moment, number) {
            (Moment::AtOnce, 0) => Reply {
                bytes: [reply.bytes, bytes].concat(),
                ..reply
            },
            (Moment::Idle, 0) => Reply {
                later: vec![(IDLE, bytes)],
                ..reply
            },
            (Moment::Running, 1) => {
                bytes.extend(reply.bytes);
                Reply { bytes, ..reply }
            }
            _ => reply,
        }
    }
}

/// Sends a non-idempotent request over a connection that has carried another one, to a faulty backend server.
///
/// Returns its status and how often it was received, by that backend server and a sound one.
fn send_over_kept_connection(repeated: &str, moment: Moment) -> (u16, usize) {
    let fleet = TestFleet::minimal();
    let sound = FakeBackend::start(&fleet, "b1", |r| r.respond("200 OK", "done"));
    // Of two that are equally loaded, the one that registered last is used first.
    let faulty = FakeBackend::start(&fleet, "b2", faulty(repeated, moment));
    let first = fleet
        .caller()
        .request("POST", "/once/first")
        .with("Attempt-Id", "earlier");
    assert_that!(first.send().status(), eq(200));
    assert_that!(faulty.received(), len(eq(1)));
    thread::sleep(2 * IDLE);
    let status = fleet.caller().request("POST", "/once/next").send().status();
    let received = [sound.received(), faulty.received()].concat();
    let runs: Vec<_> = received
        .iter()
        .filter(|r| r.request_line.contains("/once/next"))
        .collect();
    let is_kept = faulty.received()[1].connection == 1;
    assert_that!(is_kept, eq(moment == Moment::Running));
    (status, runs.len())
}

/// Checks that a response that is repeated while the next request runs is taken neither for a promise nor for its response.
fn expect_unknown(repeated: &str) {
    assert_that!(
        send_over_kept_connection(repeated, Moment::Running),
        eq((502, 1)),
        "{repeated}"
    );
}

cases! {
    refusal_that_names_no_request_is_repeated_while_the_next_request_runs => {
        expect_unknown(UNNAMED);
    };
    refusal_of_an_earlier_request_is_repeated_while_the_next_request_runs => {
        expect_unknown(EARLIER);
    };
    refusal_with_two_identifiers_is_repeated_while_the_next_request_runs => {
        expect_unknown(&UNNAMED.replace("Not-", "Attempt-Id: 9c41d07be2a35f68\r\nAttempt-Id: earlier\r\nNot-"));
    };
    refusal_by_another_backend_server_is_repeated_while_the_next_request_runs => {
        expect_unknown(MISDIRECTED);
    };
    refusal_of_too_many_requests_is_repeated_while_the_next_request_runs => {
        expect_unknown(&UNNAMED.replace("503 Service Unavailable", "429 Too Many Requests"));
    };
    refusal_of_a_malformed_request_is_repeated_while_the_next_request_runs => {
        expect_unknown(&UNNAMED.replace("503 Service Unavailable", "400 Bad Request"));
    };
    status_line_of_a_refusal_is_repeated_while_the_next_request_runs => {
        expect_unknown("HTTP/1.1 421 Misdirected Request\r\n");
    };
    refusal_that_breaks_off_in_its_reason_is_continued_by_the_response => {
        expect_unknown("HTTP/1.1 421 Misdir");
    };
    refusal_that_breaks_off_in_a_header_is_continued_by_the_response => {
        expect_unknown("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nServer: ap");
    };
    error_that_names_no_request_is_repeated_while_the_next_request_runs => {
        expect_unknown(
            "HTTP/1.1 500 Internal Server Error\r\nReplica-Seal: 3e1b.06\r\nContent-Length: 0\r\n\r\n",
        );
    };
    success_of_an_earlier_request_is_repeated_while_the_next_request_runs => {
        let head = "HTTP/1.1 200 OK\r\nReplica-Seal: 3e1b.06\r\nContent-Length: 0\r\n";
        expect_unknown(&format!("{head}\r\n"));
        expect_unknown(&format!("{head}Attempt-Id: earlier\r\n\r\n"));
    };
    refusal_is_repeated_on_an_idle_connection => {
        for moment in [Moment::AtOnce, Moment::Idle] {
            assert_that!(send_over_kept_connection(UNNAMED, moment), eq((200, 1)), "{moment:?}");
        }
    };
    half_of_a_refusal_is_repeated_on_an_idle_connection => {
        let half = &UNNAMED[..UNNAMED.len() - 4];
        for moment in [Moment::AtOnce, Moment::Idle] {
            assert_that!(send_over_kept_connection(half, moment), eq((200, 1)), "{moment:?}");
        }
    };
    notices_of_a_repeated_refusal_exclude_a_backend_server => {
        let fleet = TestFleet::minimal();
        let backend = FakeBackend::start(&fleet, "b1", faulty(NOTICES, Moment::Running));
        for status in [200, 502, 200] {
            assert_that!(fleet.caller().request("POST", "/once/1").send().status(), eq(status));
        }
        assert_that!(backend.received(), len(eq(3)));
    };
    refusal_on_a_new_connection_is_no_promise => {
        let fleet = TestFleet::minimal();
        let backend = FakeBackend::start(&fleet, "b1", |_| Reply::from_text(UNNAMED));
        assert_that!(fleet.caller().request("POST", "/once/1").send().status(), eq(503));
        assert_that!(backend.received(), len(eq(1)));
    };
    refusal_on_a_kept_connection_is_no_promise => {
        let fleet = TestFleet::minimal();
        let count = AtomicUsize::new(0);
        let backend = FakeBackend::start(&fleet, "b1", move |r| match count.fetch_add(1, Ordering::Relaxed) {
            0 => r.respond("200 OK", "done"),
            _ => r.not_run(),
        });
        for status in [200, 503] {
            assert_that!(fleet.caller().request("POST", "/once/1").send().status(), eq(status));
        }
        let used: Vec<_> = backend.received().iter().map(|r| r.connection).collect();
        assert_that!(used, elements_are![eq(&1), eq(&1)]);
    };
    refusal_of_the_same_request_is_repeated_on_another_connection => {
        let fleet = TestFleet::minimal();
        let used = Mutex::new(Vec::new());
        let backend = FakeBackend::start(&fleet, "b1", move |r| {
            let reply = r.respond("200 OK", "done");
            let mut used = used.lock().expect("a list");
            let is_kept = used.contains(&r.connection);
            used.push(r.connection);
            let count = used.len();
            drop(used);
            match count {
                ..=3 => thread::sleep(4 * IDLE),
                4 => return r.not_run(),
                _ if is_kept => return Reply { bytes: [r.not_run().bytes, reply.bytes].concat(), ..reply },
                _ => {}
            }
            reply
        });
        // Only to another backend server is a request sent again.
        assert_that!(backend.register_at_address("b2"), eq(200));
        let first = ["e1", "e2", "e3"].map(|id| fleet.caller().request("POST", "/once/first").with("Attempt-Id", id));
        let first = first.map(|caller| thread::spawn(move || caller.send().status()));
        assert_that!(first.map(|f| f.join().expect("a status")), eq([200; 3]));
        assert_that!(fleet.caller().request("POST", "/once/next").send().status(), eq(200));
        let used: Vec<_> = backend.received().iter().map(|r| r.connection).collect();
        let (earlier, last) = used.split_at(4);
        assert_that!(earlier[..3], contains(eq(&earlier[3])));
        assert_that!((last.len(), earlier.contains(&last[0])), eq((1, false)));
    };
}
