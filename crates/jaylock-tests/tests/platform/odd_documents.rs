//! Documents and responses with values out of any range.

use googletest::prelude::*;
use jaylock_tests::cases;
use jaylock_tests::fleet::send_raw;

use crate::harness::{FakeBackend, Reply, TestFleet, document, wait_until};

/// Levels of a value that no recursive reader can read.
const DEEP: usize = 100_000;
/// Requests that must succeed afterwards.
const REQUESTS: usize = 10;

/// The text of version 2 in which `after` replaces `before`, which must occur.
fn changed(before: &str, after: &str) -> String {
    let text = document(2).to_string();
    assert!(text.contains(before), "{before}");
    text.replace(before, after)
}

fn number(field: &str, before: &str, after: &str) -> String {
    changed(
        &format!("\"{field}\":{before}"),
        &format!("\"{field}\":{after}"),
    )
}

fn deep() -> String {
    "[".repeat(DEEP) + &"]".repeat(DEEP)
}

/// Documents that can't be read in full, or that ask for something impossible.
fn invalid_documents() -> Vec<String> {
    let mut documents = vec![
        number("tokens_per_s", "1000", "1e308"),
        number("tokens_per_s", "1000", "-1"),
        number("timeout_ms", "4000", "18446744073709551616"),
        number("timeout_ms", "4000", "4294967296"),
        number("timeout_ms", "4000", "0"),
        number("timeout_ms", "4000", "-1"),
        number("slo_ms", "1000", "1e400"),
        number("max_attempts", "2", "4294967296"),
        number("priority", "1", "-1"),
        number("max_body_bytes", "65536", "1e308"),
        number("version", "2", "1e400"),
        number("version", "2", "0"),
        number("routes", "[", &format!("{},\"more\":[", deep())),
        changed("\"name\":\"zarqa\"", &format!("\"name\":{}", deep())),
        changed(
            "\"service\":\"app\"",
            "\"split\":[{\"service\":\"app\",\"weight\":0}]",
        ),
        changed(
            "\"service\":\"app\"",
            "\"split\":[{\"service\":\"app\",\"weight\":4294967296}]",
        ),
        changed("\"service\":\"app\"", "\"service\":\"elsewhere\""),
        "[".repeat(DEEP),
        "{\"a\":".repeat(DEEP),
        String::new(),
    ];
    let text = document(2).to_string();
    documents.push(text[..text.len() / 2].to_owned());
    documents
}

/// A document with the largest valid values.
fn largest_document() -> String {
    let weight = "\"split\":[{\"service\":\"app\",\"weight\":4294967295},{\"service\":\"app\",\"weight\":4294967295}]";
    let engine = "\"name\":\"app\",\"engine\":{\"slots\":4294967295,\"kv_capacity\":18446744073709551615,\
                  \"stride\":4294967295}";
    let text = changed("\"service\":\"app\"", weight)
        .replace("\"name\":\"app\"", engine)
        .replace("\"timeout_ms\":4000", "\"timeout_ms\":4294967295")
        .replace("\"slo_ms\":1000", "\"slo_ms\":1e308")
        .replace("\"gap_target_ms\":250", "\"gap_target_ms\":1e308")
        .replace("\"max_attempts\":2", "\"max_attempts\":4294967295");
    text.replace(
        "\"tokens_per_s\":1000",
        "\"tokens_per_s\":18446744073709551615",
    )
}

fn expect_running(fleet: &mut TestFleet) {
    for at in 0..2 {
        assert!(!fleet.process(at).has_ended(), "instance {at} has ended");
        assert_that!(fleet.log(at), not(contains_substring("panicked")));
    }
}

cases! {
    invalid_document_is_acknowledged_or_ends_an_instance => {
        let mut fleet = TestFleet::minimal();
        let _backend = FakeBackend::start(&fleet, "b1", |r| r.respond("200 OK", "done"));
        for text in invalid_documents() {
            let status = fleet.put_text(0, &text);
            assert_that!(status, all!(ge(400), lt(500)), "{}", &text[..text.len().min(200)]);
        }
        let read = fleet.read_document(0).map(|answer| answer.body);
        assert_that!(read, some(eq(&document(1).to_string())));
        assert_that!(fleet.caller().send().status(), eq(200));
        expect_running(&mut fleet);
    };
    largest_values_of_a_document_end_an_instance => {
        let mut fleet = TestFleet::minimal();
        let _backend = FakeBackend::start(&fleet, "b1", |r| r.events(1..=3, Reply::LAST_CHUNK));
        assert_that!(fleet.put_text(0, &largest_document()), eq(200));
        fleet.kill(0);
        fleet.start_instance(0, false);
        wait_until("a stream is served", || {
            let caller = fleet.caller().request("POST", "/stream/1").with("Token-Count", "4294967295,4294967295");
            caller.with("Prompt-Prefix", "5c1e:4294967295,91bd:4294967295").send().is_complete_stream()
        });
        let read = fleet.read_document(0).map(|answer| answer.body);
        assert_that!(read, some(eq(&largest_document())));
        expect_running(&mut fleet);
    };
    numbers_out_of_range_in_a_response_end_a_router => {
        let mut fleet = TestFleet::minimal();
        let _backend = FakeBackend::start(&fleet, "b1", |r| {
            let values = [
                "inf", "NaN", "-0", "1e308", "1e400", "-1", "18446744073709551616", "", "1e-320",
            ];
            let path = r.request_line.split(['/', ' ']).nth(3).unwrap_or_default();
            let value = values[path.parse::<usize>().unwrap_or(0) % values.len()];
            r.sealed("200 OK", &format!(
                "Retry-After: {value}\r\nServer-Limit: {value}\r\nReplica-Load: {value},{value},{value}\r\n\
                 Weight-Versions: {value}\r\nKeep-Alive: timeout={value}\r\nServer-Leaving: {value}\r\n\
                 Content-Length: 4\r\n\r\ndone"
            ))
        });
        for number in 0..9 {
            let path = format!("/look/{number}");
            wait_until("a request is served", || {
                fleet.caller().request("GET", &path).send().status() == 200
            });
        }
        expect_running(&mut fleet);
    };
    numbers_out_of_range_in_a_request_end_a_router => {
        let mut fleet = TestFleet::minimal();
        let _backend = FakeBackend::start(&fleet, "b1", |r| r.events(1..=3, Reply::LAST_CHUNK));
        let names = ["Token-Count", "Prompt-Prefix", "Length-Hint", "Time-Budget", "Last-Event-Id", "Model"];
        for name in names {
            for value in ["18446744073709551615", "18446744073709551616", "1e400", "-1", "NaN", "4294967296,4294967296", ""] {
                let caller = fleet.caller().request("POST", "/draft/1").with(name, value);
                let _ = send_raw(fleet.caller_address(1), caller.text().as_bytes());
            }
        }
        for _ in 0..REQUESTS {
            assert_that!(fleet.caller().request("POST", "/draft/1").send().is_complete_stream(), eq(true));
        }
        expect_running(&mut fleet);
    };
}
