//! Streams of events: forwarded completely, resumed, or truncated so that callers detect it.

use std::thread;
use std::time::Duration;

use googletest::prelude::*;
use jaylock_tests::cases;

use crate::harness::{FakeBackend, ReceivedRequest, Reply, TestFleet, wait_until};

/// Time to the first event that the route promises.
const OBJECTIVE: Duration = Duration::from_secs(1);
/// Events of a stream that keeps a slot longer than the objective, by less than half of it, and the time between two.
const BUSY_EVENTS: u64 = 13;
const EVENT_INTERVAL: Duration = Duration::from_millis(100);

/// Returns the events with these identifiers as a caller reads them.
fn events(ids: std::ops::RangeInclusive<u64>) -> String {
    let events = ids.map(|n| format!("id: {n}\ndata: piece {n}\n\n"));
    events.collect::<Vec<_>>().concat()
}

cases! {
    forwards_events_in_order => {
        let fleet = TestFleet::minimal();
        let _backend = FakeBackend::start(&fleet, "b1", |r| r.events(1..=5, Reply::LAST_CHUNK));
        let response = fleet.caller().request("POST", "/stream/1").send();
        assert_that!((response.status(), response.is_complete), eq((200, true)));
        assert_that!(response.body, eq(&events(1..=5)));
        assert_that!(response.answer.header("replica-seal"), some(eq("3e1b.07")));
    };
    resumes_a_broken_stream_at_another_backend_server => {
        let fleet = TestFleet::minimal();
        let reply = |r: &ReceivedRequest| match r.header("last-event-id") {
            "" => r.events(1..=3, Reply::BROKEN_EVENT),
            _ => r.events(4..=6, Reply::LAST_CHUNK),
        };
        let one = FakeBackend::start(&fleet, "b1", reply);
        let two = FakeBackend::start(&fleet, "b2", reply);
        let response = fleet.caller().request("POST", "/draft/1").send();
        assert_that!((response.status(), response.is_complete), eq((200, true)));
        assert_that!(response.body, eq(&events(1..=6)));
        let mut ids: Vec<String> = [&one, &two]
            .iter()
            .flat_map(|b| b.received())
            .map(|r| r.header("last-event-id").to_owned())
            .collect();
        ids.sort();
        assert_that!(ids, elements_are![eq(""), eq("3")]);
    };
    stream_that_breaks_off_after_its_objective_is_refused_while_it_waits_for_a_slot => {
        let fleet = TestFleet::minimal();
        let reply = |r: &ReceivedRequest| match (r.request_line.contains("/draft/"), r.header("last-event-id")) {
            (false, _) => r.paced_events(BUSY_EVENTS, EVENT_INTERVAL),
            (true, "") => Reply { later: vec![(OBJECTIVE, Reply::BROKEN_EVENT.into())], ..r.events(1..=3, "") },
            (true, _) => r.events(4..=6, Reply::LAST_CHUNK),
        };
        let backends = ["b1", "b2"].map(|id| FakeBackend::start(&fleet, id, reply));
        let active = || backends.iter().map(FakeBackend::active_count).sum::<usize>();
        let begin = |path| {
            let caller = fleet.caller().request("POST", path);
            thread::spawn(move || caller.send())
        };
        let draft = begin("/draft/1");
        wait_until("the stream has begun", || active() == 1);
        let busy: Vec<_> = (1..2 * FakeBackend::SLOTS).map(|_| begin("/stream/1")).collect();
        wait_until("no slot is free", || active() == 2 * FakeBackend::SLOTS);
        let response = draft.join().expect("a response");
        assert_that!((response.is_complete, response.body.as_str()), eq((true, events(1..=6).as_str())));
        drop(busy);
    };
    drops_repeated_events => {
        let fleet = TestFleet::minimal();
        let reply = |r: &ReceivedRequest| match r.header("last-event-id") {
            "" => r.events(1..=3, "0"),
            _ => r.events(2..=5, Reply::LAST_CHUNK),
        };
        let _both = ["b1", "b2"].map(|id| FakeBackend::start(&fleet, id, reply));
        let response = fleet.caller().request("POST", "/draft/1").send();
        assert_that!((response.is_complete, response.body.as_str()), eq((true, events(1..=5).as_str())));
    };
    resumes_a_stream_after_the_last_event_id_of_a_caller => {
        let fleet = TestFleet::minimal();
        let backend = FakeBackend::start(&fleet, "b1", |r| r.events(13..=15, Reply::LAST_CHUNK));
        let response = fleet.caller().request("POST", "/draft/1").with("Last-Event-Id", "12").send();
        assert_that!(response.body, eq(&events(13..=15)));
        assert_that!(backend.received()[0].header("last-event-id"), eq("12"));
    };
    truncates_a_broken_stream_that_is_not_resumable => {
        let fleet = TestFleet::minimal();
        let one = FakeBackend::start(&fleet, "b1", |r| r.events(1..=3, Reply::BROKEN_EVENT));
        let two = FakeBackend::start(&fleet, "b2", |r| r.events(1..=3, Reply::BROKEN_EVENT));
        let response = fleet.caller().request("POST", "/stream/1").send();
        assert_that!((response.status(), response.is_complete), eq((200, false)));
        assert_that!(response.body, eq(&events(1..=3)));
        assert_that!(one.received().len() + two.received().len(), eq(1));
    };
    does_not_complete_a_stream_that_ends_within_an_event => {
        let fleet = TestFleet::minimal();
        let _backend = FakeBackend::start(&fleet, "b1", |r| r.events(1..=2, "5\r\nid: 3\r\n0\r\n\r\n"));
        let response = fleet.caller().request("POST", "/stream/1").send();
        assert_that!((response.is_complete, response.body.as_str()), eq((false, events(1..=2).as_str())));
    };
    reports_a_stream_that_breaks_before_its_first_event_as_an_error => {
        let fleet = TestFleet::minimal();
        let _backend = FakeBackend::start(&fleet, "b1", |r| Reply {
            closes_connection: true,
            ..r.sealed("200 OK", "Transfer-Encoding: chunked\r\n\r\n")
        });
        assert_that!(fleet.caller().request("POST", "/stream/1").send().status(), eq(502));
    };
    // Guards against a stream that looks complete without its first event, where the backend server counts from 0.
    forwards_a_stream_whose_first_event_has_the_number_0 => {
        let fleet = TestFleet::minimal();
        let _backend = FakeBackend::start(&fleet, "b1", |r| r.events(0..=5, Reply::LAST_CHUNK));
        let response = fleet.caller().request("POST", "/stream/1").send();
        assert_that!((response.is_complete, response.body.as_str()), eq((true, events(0..=5).as_str())));
    };
    resumes_a_stream_that_broke_off_after_event_0 => {
        let fleet = TestFleet::minimal();
        let reply = |r: &ReceivedRequest| match r.header("last-event-id") {
            "" => r.events(0..=0, Reply::BROKEN_EVENT),
            "0" => r.events(1..=3, Reply::LAST_CHUNK),
            _ => Reply::empty(),
        };
        let _both = ["b1", "b2"].map(|id| FakeBackend::start(&fleet, id, reply));
        let response = fleet.caller().request("POST", "/draft/1").send();
        assert_that!((response.is_complete, response.body.as_str()), eq((true, events(0..=3).as_str())));
    };
    resumes_a_stream_for_a_caller_that_has_event_0 => {
        let fleet = TestFleet::minimal();
        let backend = FakeBackend::start(&fleet, "b1", |r| r.events(0..=3, Reply::LAST_CHUNK));
        let response = fleet.caller().request("POST", "/draft/1").with("Last-Event-Id", "0").send();
        assert_that!((response.is_complete, response.body.as_str()), eq((true, events(1..=3).as_str())));
        assert_that!(backend.received()[0].header("last-event-id"), eq("0"));
    };
    truncates_a_broken_stream_of_events_without_numbers => {
        let fleet = TestFleet::minimal();
        let reply = |r: &ReceivedRequest| Reply {
            closes_connection: true,
            ..r.sealed("200 OK", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nd\r\ndata: piece\n\n\r\n")
        };
        let both = ["b1", "b2"].map(|id| FakeBackend::start(&fleet, id, reply));
        let response = fleet.caller().request("POST", "/draft/1").send();
        assert_that!((response.status(), response.is_complete), eq((200, false)));
        assert_that!(response.body, eq("data: piece\n\n"));
        assert_that!(both.iter().map(|b| b.received().len()).sum::<usize>(), eq(1));
    };
}
