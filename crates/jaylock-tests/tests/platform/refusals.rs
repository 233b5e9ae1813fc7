//! What is refused, with which status, and that nothing of it reaches a backend server.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use googletest::prelude::*;
use jaylock_tests::cases;
use jaylock_tests::fleet::exchange;

use crate::bed::{Backend, Bed, document, wait_until};

cases! {
    nothing_is_said_of_routes_before_the_first_document => {
        let bed = Bed::start(1, 1);
        crate::bed::wait_until("both serve", || bed.log(0).contains("serves") && bed.log(1).contains("serves"));
        assert_that!(bed.caller().send().status(), eq(503));
        assert_that!(bed.is_ready(1), eq(false));
        assert_that!(bed.read(0).expect("an answer").status, eq(503));
    };
    what_the_document_does_not_allow_is_refused => {
        let bed = Bed::small();
        let backend = Backend::start(&bed, "b1", |r| r.answer("200 OK", "done"));
        let refused = [
            (401, bed.caller().with("Key", "nobody's")),
            (401, bed.caller().without("Key")),
            (401, bed.caller().with("Key", "Bearer key-of-zarqa")),
            (404, bed.caller().at("GET", "/elsewhere/1")),
            (404, bed.caller().at("GET", "/look")),
            (404, bed.caller().with("Host", "other.example")),
            (400, bed.caller().without("Attempt-Id")),
            (400, bed.caller().twice("Attempt-Id", "another")),
            (400, bed.caller().twice("Key", "another")),
            (400, bed.caller().twice("Host", "other.example")),
            (400, bed.caller().with("Time-Budget", "soon")),
            (413, bed.caller().at("POST", "/once/1").body(&"x".repeat(70_000))),
        ];
        for (status, caller) in refused {
            assert_that!(caller.send().status(), eq(status), "{}", caller.text().lines().next().unwrap_or(""));
        }
        assert_that!(backend.received(), is_empty());
    };
    bodies_of_one_organisation_take_a_bounded_part_of_the_memory => {
        let bed = Bed::small();
        let mut larger = document(2);
        larger["limits"]["max_body_bytes"] = (4 << 20).into();
        assert_that!(bed.put(0, &larger), eq(200));
        let released = Arc::new(AtomicBool::new(false));
        let gate = released.clone();
        let _backend = Backend::start(&bed, "b1", move |r| {
            wait_until("the answers are released", || gate.load(Ordering::Relaxed));
            r.answer("200 OK", "done")
        });
        // The larger bound is in force once such a body is no longer too long.
        let large = "x".repeat(4 << 20);
        let caller = || bed.caller().at("POST", "/once/1").with("Time-Budget", "15000").body(&large);
        let callers: Vec<_> = (0..8).map(|n| caller().with("Attempt-Id", &format!("9c41d07be2a35f{n:02}"))).collect();
        let sending = callers.into_iter().map(|caller| thread::spawn(move || {
            let mut heard = caller.send();
            while heard.status() == 413 {
                heard = caller.send();
            }
            heard
        }));
        let sending: Vec<_> = sending.collect();
        wait_until("some are refused", || sending.iter().filter(|s| s.is_finished()).count() >= 4);
        released.store(true, Ordering::Relaxed);
        let heard: Vec<_> = sending.into_iter().map(|s| s.join().expect("a caller")).collect();
        let refused = heard.iter().filter(|h| h.status() == 503);
        let refused: Vec<_> = refused.map(|h| h.answer.header("retry-after").is_some()).collect();
        // A quarter of 64 MiB holds four of these.
        assert_that!(refused, elements_are![eq(&true), eq(&true), eq(&true), eq(&true)]);
        assert_that!(bed.caller().at("POST", "/once/1").send().status(), eq(200));
    };
    a_request_hidden_in_another_does_not_run => {
        let bed = Bed::small();
        let backend = Backend::start(&bed, "b1", |r| r.answer("200 OK", "done"));
        let hidden = bed.caller().at("POST", "/once/hidden").text();
        let text = bed.caller().at("POST", "/once/1").text();
        let both = text.replace("Content-Length: 0", "Content-Length: 4\r\nTransfer-Encoding: chunked");
        let both = format!("{both}0\r\n\r\n{hidden}");
        let _ = exchange(bed.front(1), both.as_bytes());
        let lines: Vec<String> = backend.received().into_iter().map(|r| r.line).collect();
        assert_that!(lines, each(not(contains_substring("hidden"))));
    };
    a_request_with_two_lengths_is_refused => {
        let bed = Bed::small();
        let backend = Backend::start(&bed, "b1", |r| r.answer("200 OK", "done"));
        let text = bed.caller().at("POST", "/once/1").text();
        let two = "Content-Length: 4\r\nTransfer-Encoding: chunked";
        let text = text.replace("Content-Length: 0", two) + "0\r\n\r\n";
        let answer = exchange(bed.front(1), text.as_bytes()).expect("an answer");
        assert_that!((answer.status, answer.header("connection")), eq((400, Some("close"))));
        assert_that!(backend.received(), is_empty());
    };
    without_a_backend_server_a_request_is_refused_with_a_time_to_return => {
        let bed = Bed::small();
        let heard = bed.caller().send();
        let wait = heard.answer.header("retry-after").and_then(|w| w.parse::<f64>().ok());
        assert_that!(heard.status(), eq(503));
        // No longer than a third of the time that the caller has left.
        assert_that!(wait, some(all!(gt(0.0), le(1.0))));
    };
    a_public_route_needs_no_key => {
        let bed = Bed::small();
        let backend = Backend::start(&bed, "b1", |r| r.answer("200 OK", "done"));
        let mut document = document(2);
        document["routes"][1]["public"] = true.into();
        bed.configure(&document);
        crate::bed::wait_until("the route is public", || {
            bed.caller().without("Key").with("Tenant-Id", "forged").send().status() == 200
        });
        let last = backend.received().pop().expect("a request");
        assert_that!(last.field("tenant-id"), eq(""));
    };
    a_call_that_does_not_exist_is_refused => {
        let bed = Bed::small();
        for (method, path) in [("GET", "/"), ("POST", "/-/config"), ("GET", "/-/replicas/b1"), ("PUT", "/-/replicas/")] {
            let answer = crate::bed::send(bed.control(0), method, path, "{}").expect("an answer");
            assert_that!(answer.status, eq(404), "{method} {path}");
        }
    };
    a_malformed_heartbeat_names_no_backend_server => {
        let bed = Bed::small();
        for body in [
            "",
            "{",
            "[]",
            r#"{"service":"app"}"#,
            r#"{"service":"app","address":"somewhere","zone":"d0","slots":8,"state":"ready","seq":1}"#,
            r#"{"service":"app","address":"127.0.0.1:9","zone":"d0","slots":"8","state":"ready","seq":1}"#,
            r#"{"service":"app","address":"127.0.0.1:9","zone":"d0","slots":8,"state":"asleep","seq":1}"#,
        ] {
            let answer = crate::bed::send(bed.control(0), "PUT", "/-/replicas/b1", body).expect("an answer");
            assert_that!(answer.status, eq(400), "{body}");
        }
        assert_that!(bed.caller().send().status(), eq(503));
    };
}
