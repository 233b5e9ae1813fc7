//! Backend servers that write an earlier response once more on a kept connection.

use std::time::Duration;

use googletest::prelude::*;
use jaylock_router::RouterSettings;
use jaylock_tests::cases;

use crate::backend::{Backend, Received, Step, complete_stream, plain_response};
use crate::harness::{CallerResponse, TestRouter, chat_body};

/// A refusal that names no request.
const UNNAMED: &str = "HTTP/1.1 503 X\r\nx-not-run: true\r\ncontent-length: 0\r\n\r\n";

/// A refusal of this request.
fn decline(r: &Received) -> Step {
    let head = "HTTP/1.1 503 X\r\nx-not-run: true\r\ncontent-length: 0\r\n";
    Step::Send(format!("{head}x-request-id: {}\r\n\r\n", r.id()))
}

/// A response that names no request.
fn unnamed_response(body: &str) -> Step {
    let length = body.len();
    Step::Send(format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}"
    ))
}

/// Calls a service twice, the second time over a kept connection on which `repeated` precedes the response.
async fn call_twice(repeated: &str) -> (CallerResponse, Vec<usize>) {
    let (repeated, count) = (repeated.to_owned(), std::cell::Cell::new(0));
    let service = Backend::start(move |r| {
        count.set(count.get() + 1);
        let mut steps = plain_response(r, 200, "ok");
        if count.get() == 2 {
            steps.insert(0, Step::Send(repeated.clone()));
        }
        steps
    })
    .await;
    let router = TestRouter::start(&[service.address], RouterSettings::default()).await;
    router.call_once("k1", "x").await;
    let response = router.call_once("k2", "x").await;
    let used = service
        .received
        .borrow()
        .iter()
        .map(|r| r.connection)
        .collect();
    (response, used)
}

/// Checks that the outcome of a call is unknown, that it isn't made again, and that it came over a kept connection.
async fn expect_unknown(repeated: &str) {
    let (response, used) = call_twice(repeated).await;
    assert_that!(
        (response.status, response.run.as_str()),
        eq((409, "unknown")),
        "{repeated}"
    );
    assert_that!(used, elements_are![eq(&1), eq(&1)]);
}

cases! {
    async refusal_that_names_no_call_is_repeated_while_the_next_call_runs => {
        expect_unknown(UNNAMED).await;
    };
    async refusal_of_an_earlier_call_is_repeated_while_the_next_call_runs => {
        expect_unknown(&UNNAMED.replace("x-not", "x-request-id: earlier\r\nx-not")).await;
    };
    async refusal_that_breaks_off_in_a_header_is_continued_by_the_response_to_a_call => {
        expect_unknown("HTTP/1.1 503 X\r\nx-not-run: true\r\nserver: ap").await;
    };
    async success_of_an_earlier_call_is_repeated_while_the_next_call_runs => {
        expect_unknown("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await;
    };
    async response_of_a_service_that_names_no_call_is_repeated_for_the_next_call => {
        let service = Backend::start(|r| {
            let response = unnamed_response(&r.body);
            vec![response.clone(), Step::Wait(Duration::from_millis(20)), response]
        })
        .await;
        let router = TestRouter::start(&[service.address], RouterSettings::default()).await;
        for body in ["one", "two", "three"] {
            assert_that!(router.call_once(body, body).await.body, eq(body));
        }
    };
    async refusal_that_names_no_request_is_repeated_while_a_chat_runs => {
        let count = std::cell::Cell::new(0);
        let engine = Backend::start(move |r| {
            count.set(count.get() + 1);
            match count.get() {
                1 => complete_stream(r, 2),
                2 => [vec![Step::Send(UNNAMED.into())], complete_stream(r, 2)].concat(),
                _ => vec![decline(r)],
            }
        })
        .await;
        let router = TestRouter::start(&[engine.address], RouterSettings::default()).await;
        assert_that!(router.chat(&chat_body(false)).await.status, eq(200));
        let response = router.chat(&chat_body(false)).await;
        // The attempts after the one whose outcome is unknown are refused and did not run.
        assert_that!((response.status, response.run.as_str()), eq((502, "unknown")));
    };
    async refusal_of_a_call_on_a_kept_connection_is_no_promise => {
        let count = std::cell::Cell::new(0);
        let service = Backend::start(move |r| {
            count.set(count.get() + 1);
            match count.get() {
                1 => plain_response(r, 200, "ok"),
                _ => vec![decline(r)],
            }
        })
        .await;
        let router = TestRouter::start(&[service.address], RouterSettings::default()).await;
        router.call_once("k1", "x").await;
        let response = router.call_once("k2", "x").await;
        assert_that!((response.status, response.run.as_str()), eq((503, "not-run")));
        let used: Vec<usize> = service.received.borrow().iter().map(|r| r.connection).collect();
        assert_that!(used[..2], elements_are![eq(&1), eq(&1)]);
    };
    async refusal_of_a_call_on_a_new_connection_is_no_promise => {
        let service = Backend::start(|_| vec![Step::Send(UNNAMED.into())]).await;
        let router = TestRouter::start(&[service.address], RouterSettings::default()).await;
        let response = router.call_once("k", "x").await;
        assert_that!((response.status, response.run.as_str()), eq((503, "not-run")));
    };
}
