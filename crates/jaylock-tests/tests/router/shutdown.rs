//! Graceful shutdown: the router leaves the address list first, and no request is interrupted.

use std::time::Duration;

use compio::io::AsyncWriteExt;
use googletest::prelude::*;
use jaylock_router::RouterSettings;
use jaylock_tests::cases;

use crate::backend::{Backend, Step, chunk, complete_stream, end_marker, final_chunk, stream_head};
use crate::harness::{CHAT_HEAD, TestRouter, chat_body, read_all};

/// Time limit of each expected event, shorter than the time in which a caller must send a head.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Starts a router that refuses requests soon after a shutdown has begun.
async fn leaving_soon() -> (Backend, TestRouter) {
    let engine = Backend::start(|r| complete_stream(r, 3)).await;
    let settings = RouterSettings {
        address_ttl_ms: 100,
        ..RouterSettings::default()
    };
    let router = TestRouter::start(&[engine.address], settings).await;
    (engine, router)
}

/// Waits until a router refuses requests: a malformed one is refused with 400 before, then with 503.
async fn wait_until_refusing(router: &TestRouter) {
    while router.chat("{}").await.status != 503 {
        compio::time::sleep(Duration::from_millis(10)).await;
    }
}

cases! {
    async completes_running_requests_and_refuses_new_ones => {
        let engine = Backend::start(|r| {
            let wait = Step::Wait(Duration::from_millis(400));
            vec![stream_head(r), chunk(r, 1), wait, final_chunk(r, 2), end_marker()]
        })
        .await;
        let settings = RouterSettings { address_ttl_ms: 150, ..RouterSettings::default() };
        let router = TestRouter::start(&[engine.address], settings).await;
        let shutdown = async {
            compio::time::sleep(Duration::from_millis(50)).await;
            router.shut_down();
            let list = router.send("GET", "/v1/routers", &[], "").await;
            assert_that!(list.body, not(contains_substring(router.address.to_string())));
            let during = router.chat("{}").await;
            assert_that!(during.status, eq(400));
            compio::time::sleep(Duration::from_millis(200)).await;
            let after = router.chat(&chat_body(false)).await;
            assert_that!((after.status, after.run.as_str()), eq((503, "not-run")));
            assert_that!(after.body, contains_substring("127.0.0.1:1"));
            router.inner.drained().await;
        };
        let body = chat_body(true);
        let running = router.chat(&body);
        let (response, ()) = futures_util::future::join(running, shutdown).await;
        assert_that!(response.body, ends_with("data: [DONE]\n\n"));
        assert_that!(router.schedulers.0.released.borrow().len(), eq(1));
    };
    async closes_idle_connections => {
        let settings = RouterSettings { address_ttl_ms: 10, ..RouterSettings::default() };
        let router = TestRouter::start(&[], settings).await;
        let mut idle = router.open("GET /v1/health HTTP/1.1\r\nhost: x\r\n\r\n").await;
        compio::time::sleep(Duration::from_millis(50)).await;
        router.shut_down();
        let timeout = Duration::from_secs(5);
        let response = compio::time::timeout(timeout, read_all(&mut idle)).await;
        assert_that!(response, ok(starts_with("HTTP/1.1 200")));
        assert_that!(compio::time::timeout(timeout, router.inner.drained()).await.is_ok(), eq(true));
    };
    async is_drained_after_the_last_request => {
        let engine = Backend::start(|r| vec![stream_head(r), chunk(r, 1), Step::AwaitDisconnect]).await;
        let settings = RouterSettings { address_ttl_ms: 10, ..RouterSettings::default() };
        let router = TestRouter::start(&[engine.address], settings).await;
        let caller = router.start_chat(&chat_body(true)).await;
        router.wait_until("the engine receives the request", || engine.request_count() == 1).await;
        router.shut_down();
        let timeout = Duration::from_millis(200);
        let early = compio::time::timeout(timeout, router.inner.drained()).await;
        assert_that!(early.is_err(), eq(true));
        drop(caller);
        let late = compio::time::timeout(Duration::from_secs(5), router.inner.drained()).await;
        assert_that!(late.is_ok(), eq(true));
    };
    async refuses_a_chat_whose_body_arrives_when_requests_are_already_refused => {
        let (engine, router) = leaving_soon().await;
        let body = chat_body(false);
        let (first, rest) = body.split_at(1);
        let length = body.len();
        let mut caller = router.open(&format!("{CHAT_HEAD}content-length: {length}\r\n\r\n{first}")).await;
        router.shut_down();
        wait_until_refusing(&router).await;
        let _ = caller.write_all(rest.as_bytes().to_vec()).await;
        let response = compio::time::timeout(TIMEOUT, read_all(&mut caller)).await;
        assert_that!(response, ok(starts_with("HTTP/1.1 503")));
        assert_that!(engine.request_count(), eq(0));
    };
    async serves_a_waiting_request_whose_deadline_passes_before_running_ones_are_cancelled => {
        let (_engine, router) = leaving_soon().await;
        router.schedulers.0.delays_grants.set(true);
        let headers = [("authorization", "Bearer key-1"), ("x-deadline-ms", "20000")];
        let body = chat_body(false);
        let caller = router.send("POST", "/v1/chat/completions", &headers, &body);
        let shutdown = async {
            router.wait_until("the request waits", || !router.schedulers.0.slot_requests.borrow().is_empty()).await;
            router.shut_down();
            wait_until_refusing(&router).await;
            router.schedulers.0.delays_grants.set(false);
        };
        let (response, ()) = futures_util::future::join(caller, shutdown).await;
        assert_that!(response.status, eq(200));
    };
    async refuses_a_chat_that_waits_for_a_slot_when_requests_are_refused => {
        let (engine, router) = leaving_soon().await;
        router.schedulers.0.delays_grants.set(true);
        let mut caller = router.start_chat(&chat_body(false)).await;
        router.wait_until("the request waits", || !router.schedulers.0.slot_requests.borrow().is_empty()).await;
        router.shut_down();
        wait_until_refusing(&router).await;
        router.schedulers.0.delays_grants.set(false);
        let response = compio::time::timeout(TIMEOUT, read_all(&mut caller)).await;
        assert_that!(response, ok(starts_with("HTTP/1.1 503")));
        assert_that!(engine.request_count(), eq(0));
    };
}
