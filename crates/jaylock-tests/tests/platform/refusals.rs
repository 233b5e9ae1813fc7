//! Refused requests and calls: their status, and that they reach no backend server.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use googletest::prelude::*;
use jaylock_tests::cases;
use jaylock_tests::fleet::send_raw;

use crate::harness::{FakeBackend, TestFleet, document, wait_until};

cases! {
    responds_503_before_the_first_document => {
        let fleet = TestFleet::start(1, 1);
        wait_until("both instances serve", || fleet.log(0).contains("is serving") && fleet.log(1).contains("is serving"));
        assert_that!(fleet.caller().send().status(), eq(503));
        assert_that!(fleet.is_ready(1), eq(false));
        assert_that!(fleet.read_document(0).expect("an answer").status, eq(503));
    };
    refuses_requests_that_the_document_does_not_allow => {
        let fleet = TestFleet::minimal();
        let backend = FakeBackend::start(&fleet, "b1", |r| r.respond("200 OK", "done"));
        let refused = [
            (401, fleet.caller().with("Key", "nobody's")),
            (401, fleet.caller().without("Key")),
            (401, fleet.caller().with("Key", "Bearer key-of-zarqa")),
            (404, fleet.caller().request("GET", "/elsewhere/1")),
            (404, fleet.caller().request("GET", "/look")),
            (404, fleet.caller().with("Host", "other.example")),
            (400, fleet.caller().without("Attempt-Id")),
            (400, fleet.caller().with_duplicate("Attempt-Id", "another")),
            (400, fleet.caller().with_duplicate("Key", "another")),
            (400, fleet.caller().with_duplicate("Host", "other.example")),
            (400, fleet.caller().with("Time-Budget", "soon")),
            (413, fleet.caller().request("POST", "/once/1").body(&"x".repeat(70_000))),
        ];
        for (status, caller) in refused {
            assert_that!(caller.send().status(), eq(status), "{}", caller.text().lines().next().unwrap_or(""));
        }
        assert_that!(backend.received(), is_empty());
    };
    limits_the_body_memory_of_one_organisation => {
        let fleet = TestFleet::minimal();
        let mut larger = document(2);
        larger["limits"]["max_body_bytes"] = (4 << 20).into();
        assert_that!(fleet.put_document(0, &larger), eq(200));
        let released = Arc::new(AtomicBool::new(false));
        let is_released = released.clone();
        let _backend = FakeBackend::start(&fleet, "b1", move |r| {
            wait_until("the responses are released", || is_released.load(Ordering::Relaxed));
            r.respond("200 OK", "done")
        });
        // The larger limit is active once such a body is no longer refused as too large.
        let large = "x".repeat(4 << 20);
        let caller = || fleet.caller().request("POST", "/once/1").with("Time-Budget", "15000").body(&large);
        let callers: Vec<_> = (0..8).map(|n| caller().with("Attempt-Id", &format!("9c41d07be2a35f{n:02}"))).collect();
        let sending = callers.into_iter().map(|caller| thread::spawn(move || {
            let mut response = caller.send();
            while response.status() == 413 {
                response = caller.send();
            }
            response
        }));
        let sending: Vec<_> = sending.collect();
        wait_until("some requests are refused", || sending.iter().filter(|s| s.is_finished()).count() >= 4);
        released.store(true, Ordering::Relaxed);
        let responses: Vec<_> = sending.into_iter().map(|s| s.join().expect("a caller")).collect();
        let refused = responses.iter().filter(|r| r.status() == 503);
        let refused: Vec<_> = refused.map(|r| r.answer.header("retry-after").is_some()).collect();
        // A quarter of 64 MiB holds four of these bodies.
        assert_that!(refused, elements_are![eq(&true), eq(&true), eq(&true), eq(&true)]);
        assert_that!(fleet.caller().request("POST", "/once/1").send().status(), eq(200));
    };
    does_not_forward_a_smuggled_request => {
        let fleet = TestFleet::minimal();
        let backend = FakeBackend::start(&fleet, "b1", |r| r.respond("200 OK", "done"));
        let hidden = fleet.caller().request("POST", "/once/hidden").text();
        let text = fleet.caller().request("POST", "/once/1").text();
        let both = text.replace("Content-Length: 0", "Content-Length: 4\r\nTransfer-Encoding: chunked");
        let both = format!("{both}0\r\n\r\n{hidden}");
        let _ = send_raw(fleet.caller_address(1), both.as_bytes());
        let lines: Vec<String> = backend.received().into_iter().map(|r| r.request_line).collect();
        assert_that!(lines, each(not(contains_substring("hidden"))));
    };
    refuses_a_request_with_two_body_lengths => {
        let fleet = TestFleet::minimal();
        let backend = FakeBackend::start(&fleet, "b1", |r| r.respond("200 OK", "done"));
        let text = fleet.caller().request("POST", "/once/1").text();
        let two = "Content-Length: 4\r\nTransfer-Encoding: chunked";
        let text = text.replace("Content-Length: 0", two) + "0\r\n\r\n";
        let answer = send_raw(fleet.caller_address(1), text.as_bytes()).expect("an answer");
        assert_that!((answer.status, answer.header("connection")), eq((400, Some("close"))));
        assert_that!(backend.received(), is_empty());
    };
    sends_retry_after_without_a_backend_server => {
        let fleet = TestFleet::minimal();
        let response = fleet.caller().send();
        let wait = response.answer.header("retry-after").and_then(|w| w.parse::<f64>().ok());
        assert_that!(response.status(), eq(503));
        // At most a third of the caller's remaining time.
        assert_that!(wait, some(all!(gt(0.0), le(1.0))));
    };
    requires_no_key_on_a_public_route => {
        let fleet = TestFleet::minimal();
        let backend = FakeBackend::start(&fleet, "b1", |r| r.respond("200 OK", "done"));
        let mut document = document(2);
        document["routes"][1]["public"] = true.into();
        fleet.configure(&document);
        wait_until("the route is public", || {
            fleet.caller().without("Key").with("Tenant-Id", "forged").send().status() == 200
        });
        let last = backend.received().pop().expect("a request");
        assert_that!(last.header("tenant-id"), eq(""));
    };
    refuses_an_unknown_call => {
        let fleet = TestFleet::minimal();
        for (method, path) in [("GET", "/"), ("POST", "/-/config"), ("GET", "/-/replicas/b1"), ("PUT", "/-/replicas/")] {
            let answer = crate::harness::send_call(fleet.control_address(0), method, path, "{}").expect("an answer");
            assert_that!(answer.status, eq(404), "{method} {path}");
        }
    };
    refuses_a_malformed_heartbeat => {
        let fleet = TestFleet::minimal();
        for body in [
            "",
            "{",
            "[]",
            r#"{"service":"app"}"#,
            r#"{"service":"app","address":"somewhere","zone":"d0","slots":8,"state":"ready","seq":1}"#,
            r#"{"service":"app","address":"127.0.0.1:9","zone":"d0","slots":"8","state":"ready","seq":1}"#,
            r#"{"service":"app","address":"127.0.0.1:9","zone":"d0","slots":8,"state":"asleep","seq":1}"#,
        ] {
            let answer = crate::harness::send_call(fleet.control_address(0), "PUT", "/-/replicas/b1", body).expect("an answer");
            assert_that!(answer.status, eq(400), "{body}");
        }
        assert_that!(fleet.caller().send().status(), eq(503));
    };
}
