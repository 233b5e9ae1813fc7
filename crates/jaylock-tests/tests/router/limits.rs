//! Limits on callers: oversized or malformed input and slow callers don't affect other callers.

use std::time::Duration;

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWrite};
use compio::net::TcpStream;
use googletest::prelude::*;
use jaylock_router::RouterSettings;
use jaylock_tests::cases;
use jaylock_types::ByteSize;

use crate::backend::{Backend, Step, chunk, complete_stream, plain_response, stream_head};
use crate::harness::{CHAT_HEAD, TestRouter, chat_body, read_all};

fn strict_limits() -> RouterSettings {
    RouterSettings {
        max_body: ByteSize(1024),
        sender_timeout: Duration::from_millis(200),
        write_timeout: Duration::from_millis(200),
        ..RouterSettings::default()
    }
}

/// Reads the first bytes of a response.
async fn read_head(stream: &mut TcpStream) -> String {
    let BufResult(read, bytes) = stream.read(Vec::with_capacity(4096)).await;
    read.expect("a response");
    String::from_utf8_lossy(&bytes)
        .to_ascii_lowercase()
        .replace("http/1.1", "HTTP/1.1")
}

async fn router() -> (Backend, TestRouter) {
    let engine = Backend::start(|r| complete_stream(r, 3)).await;
    let router = TestRouter::start(&[engine.address], strict_limits()).await;
    (engine, router)
}

cases! {
    async refuses_an_oversized_body => {
        let (_engine, router) = router().await;
        let response = router.chat(&"x".repeat(2000)).await;
        assert_that!((response.status, response.run.as_str()), eq((413, "not-run")));
        assert_that!(router.chat(&chat_body(false)).await.status, eq(200));
    };
    async refuses_an_oversized_head => {
        let (_engine, router) = router().await;
        let field = format!("x-long: {}\r\n\r\n", "x".repeat(100_000));
        assert_that!(router.send_raw(&format!("{CHAT_HEAD}{field}")).await, starts_with("HTTP/1.1 431"));
        let fields = "x-many: 1\r\n".repeat(100);
        assert_that!(router.send_raw(&format!("{CHAT_HEAD}{fields}\r\n")).await, starts_with("HTTP/1.1 431"));
        assert_that!(router.send_raw("no http at all\r\n\r\n").await, starts_with("HTTP/1.1 400"));
        assert_that!(router.chat(&chat_body(false)).await.status, eq(200));
    };
    async limits_the_size_of_responses => {
        let service = Backend::start(|r| plain_response(r, 200, "refunded")).await;
        let (few, many) = (ByteSize(4), ByteSize(100));
        let settings = RouterSettings { max_response: many, max_recorded: few, ..strict_limits() };
        let router = TestRouter::start(&[service.address], settings).await;
        assert_that!(router.call_once("k", "x").await.body, eq("refunded"));
        let again = router.call_once("k", "x").await;
        assert_that!((again.status, again.is_recorded, again.body.as_str()), eq((200, true, "")));
        let settings = RouterSettings { max_response: few, ..strict_limits() };
        let router = TestRouter::start(&[service.address], settings).await;
        let response = router.call_once("k", "x").await;
        assert_that!((response.status, response.run.as_str()), eq((409, "unknown")));
    };
    async limits_the_body_memory_of_one_organisation => {
        let engine = Backend::start(|r| complete_stream(r, 3)).await;
        let settings = RouterSettings { max_body_memory: ByteSize(800), ..strict_limits() };
        let router = TestRouter::start(&[engine.address], settings).await;
        router.schedulers.0.never_grants.set(true);
        let long = chat_body(false).replace("hi", &"x".repeat(80));
        let waiting = router.start_chat(&long).await;
        router.wait_until("the request waits", || !router.schedulers.0.slot_requests.borrow().is_empty()).await;
        router.schedulers.0.never_grants.set(false);
        let refused = router.chat(&long).await;
        assert_that!((refused.status, refused.run.as_str()), eq((503, "not-run")));
        let key = ("authorization", "Bearer key-2");
        let other = router.send("POST", "/v1/chat/completions", &[key], &long).await;
        assert_that!(other.status, eq(200));
        drop(waiting);
        router.wait_until("the engine has received one request", || engine.request_count() == 1).await;
        compio::time::sleep(Duration::from_millis(50)).await;
        assert_that!(router.chat(&long).await.status, eq(200));
    };
    async body_of_unknown_length_takes_memory_beyond_the_limit_while_it_arrives => {
        let settings = RouterSettings { max_body_memory: ByteSize(800), ..strict_limits() };
        let router = TestRouter::start(&[], settings).await;
        let chunk = "x".repeat(0x180);
        let begun = format!("{CHAT_HEAD}transfer-encoding: chunked\r\n\r\n180\r\n{chunk}\r\n");
        let response = router.send_raw(&begun).await;
        assert_that!(response, starts_with("HTTP/1.1 503"));
        assert_that!(response, contains_substring("x-run: not-run"));
    };
    async closes_connections_before_the_maximum_is_reached => {
        // Under overload, callers open a new connection for each retry and leave the previous one idle.
        let engine = Backend::start(|r| complete_stream(r, 3)).await;
        let settings = RouterSettings { max_connections: 8, ..RouterSettings::default() };
        let router = TestRouter::start(&[engine.address], settings).await;
        let request = "GET /v1/health HTTP/1.1\r\nhost: x\r\n\r\n";
        let mut open = Vec::new();
        for _ in 0..20 {
            let mut stream = router.open(request).await;
            let response = read_head(&mut stream).await;
            assert_that!(response, starts_with("HTTP/1.1 200"));
            // A caller closes a connection when the response asks for it.
            if !response.contains("connection: close") {
                open.push(stream);
            }
        }
        assert_that!(open.len(), all!(ge(1), lt(8)));
    };
    async refuses_a_slow_body => {
        let (_engine, router) = router().await;
        let response = router.send_raw(&format!("{CHAT_HEAD}content-length: 100\r\n\r\n{{")).await;
        assert_that!(response, starts_with("HTTP/1.1 408"));
        assert_that!(response, contains_substring("x-run: not-run"));
    };
    async refuses_a_truncated_body => {
        let (engine, router) = router().await;
        let mut stream = router.open(&format!("{CHAT_HEAD}content-length: 500\r\n\r\n{{")).await;
        stream.shutdown().await.expect("the end of the request");
        let response = read_all(&mut stream).await;
        assert_that!(response, starts_with("HTTP/1.1 400"));
        assert_that!(engine.request_count(), eq(0));
    };
    async closes_a_connection_with_a_slow_head => {
        let (_engine, router) = router().await;
        let received = compio::time::timeout(Duration::from_secs(5), router.send_raw(CHAT_HEAD)).await;
        assert_that!(received, ok(eq("")));
    };
    async closes_connections_above_the_maximum => {
        let settings = RouterSettings { max_connections: 1, ..strict_limits() };
        let router = TestRouter::start(&[], settings).await;
        let health = "GET /v1/health HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        let open = TcpStream::connect(router.address).await.expect("a connection");
        compio::time::sleep(Duration::from_millis(50)).await;
        assert_that!(router.send_raw(health).await, eq(""));
        drop(open);
        compio::time::sleep(Duration::from_millis(50)).await;
        assert_that!(router.send_raw(health).await, starts_with("HTTP/1.1 200"));
    };
    async releases_the_slot_of_a_caller_that_does_not_read => {
        let engine = Backend::start(|r| {
            let mut steps = vec![stream_head(r)];
            for number in 1..=400 {
                let Step::Send(small) = chunk(r, number) else { unreachable!() };
                let text = small.split_once("\r\n").map_or("", |p| p.1).trim_end_matches("\r\n");
                let text = text.replace("\"t", &format!("\"{}", "x".repeat(100_000)));
                steps.push(Step::Send(format!("{:x}\r\n{text}\r\n", text.len())));
            }
            steps.push(Step::AwaitDisconnect);
            steps
        })
        .await;
        let router = TestRouter::start(&[engine.address], strict_limits()).await;
        let stream = router.start_chat(&chat_body(true)).await;
        router.wait_until("the slot is released", || !router.schedulers.0.released.borrow().is_empty()).await;
        assert_that!(router.schedulers.0.released.borrow()[0].outcome, eq(1));
        drop(stream);
    };
    async cancels_the_work_of_a_disconnected_caller => {
        for (is_streamed, has_begun) in [(true, true), (false, true), (true, false)] {
            let engine = Backend::start(move |r| {
                let start = [stream_head(r), chunk(r, 1)];
                start.into_iter().filter(|_| has_begun).chain([Step::AwaitDisconnect]).collect()
            })
            .await;
            let router = TestRouter::start(&[engine.address], RouterSettings::default()).await;
            let stream = router.start_chat(&chat_body(is_streamed)).await;
            router.wait_until("the engine receives the request", || engine.request_count() == 1).await;
            compio::time::sleep(Duration::from_millis(50)).await;
            drop(stream);
            router.wait_until("the work is cancelled", || *engine.disconnects.borrow() == 1).await;
            assert_that!(router.schedulers.0.released.borrow()[0].outcome, eq(1));
        }
    };
}
