//! Input that nobody should send, and silent callers: each costs nothing to others.

use std::time::Duration;

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWrite};
use compio::net::TcpStream;
use googletest::prelude::*;
use jaylock_router::RouterSettings;
use jaylock_tests::cases;
use jaylock_types::ByteSize;

use crate::backend::{Act, Backend, piece, plain, stream_head, whole_stream};
use crate::fleet::{CHAT_HEAD, Fleet, ask, read_all};

fn tight() -> RouterSettings {
    RouterSettings {
        max_body: ByteSize(1024),
        sender_timeout: Duration::from_millis(200),
        write_timeout: Duration::from_millis(200),
        ..RouterSettings::default()
    }
}

/// Reads the first bytes of an answer.
async fn read_head(stream: &mut TcpStream) -> String {
    let BufResult(read, bytes) = stream.read(Vec::with_capacity(4096)).await;
    read.expect("an answer");
    String::from_utf8_lossy(&bytes)
        .to_ascii_lowercase()
        .replace("http/1.1", "HTTP/1.1")
}

async fn fleet() -> (Backend, Fleet) {
    let engine = Backend::start(|seen| whole_stream(seen, 3)).await;
    let fleet = Fleet::start(&[engine.address], tight()).await;
    (engine, fleet)
}

cases! {
    async long_body_is_refused => {
        let (_engine, fleet) = fleet().await;
        let answer = fleet.chat(&"x".repeat(2000)).await;
        assert_that!((answer.status, answer.run.as_str()), eq((413, "not-run")));
        assert_that!(fleet.chat(&ask(false)).await.status, eq(200));
    };
    async long_head_is_refused => {
        let (_engine, fleet) = fleet().await;
        let field = format!("x-long: {}\r\n\r\n", "x".repeat(100_000));
        assert_that!(fleet.raw(&format!("{CHAT_HEAD}{field}")).await, starts_with("HTTP/1.1 431"));
        let fields = "x-many: 1\r\n".repeat(100);
        assert_that!(fleet.raw(&format!("{CHAT_HEAD}{fields}\r\n")).await, starts_with("HTTP/1.1 431"));
        assert_that!(fleet.raw("no http at all\r\n\r\n").await, starts_with("HTTP/1.1 400"));
        assert_that!(fleet.chat(&ask(false)).await.status, eq(200));
    };
    async long_answers_are_bounded => {
        let service = Backend::start(|s| plain(s, 200, "refunded")).await;
        let (few, many) = (ByteSize(4), ByteSize(100));
        let settings = RouterSettings { max_response: many, max_recorded: few, ..tight() };
        let fleet = Fleet::start(&[service.address], settings).await;
        assert_that!(fleet.once("k", "x").await.body, eq("refunded"));
        let again = fleet.once("k", "x").await;
        assert_that!((again.status, again.recorded, again.body.as_str()), eq((200, true, "")));
        let settings = RouterSettings { max_response: few, ..tight() };
        let fleet = Fleet::start(&[service.address], settings).await;
        let answer = fleet.once("k", "x").await;
        assert_that!((answer.status, answer.run.as_str()), eq((409, "unknown")));
    };
    async flood_of_bodies_leaves_room_for_others => {
        let engine = Backend::start(|seen| whole_stream(seen, 3)).await;
        let settings = RouterSettings { body_memory: ByteSize(800), ..tight() };
        let fleet = Fleet::start(&[engine.address], settings).await;
        fleet.capacity.0.never.set(true);
        let long = ask(false).replace("hi", &"x".repeat(80));
        let waiting = fleet.begin(&long).await;
        fleet.until("it waits", || !fleet.capacity.0.asks.borrow().is_empty()).await;
        fleet.capacity.0.never.set(false);
        let refused = fleet.chat(&long).await;
        assert_that!((refused.status, refused.run.as_str()), eq((503, "not-run")));
        let key = ("authorization", "Bearer key-2");
        let other = fleet.send("POST", "/v1/chat/completions", &[key], &long).await;
        assert_that!(other.status, eq(200));
        drop(waiting);
        fleet.until("its work ends", || engine.count() == 1).await;
        compio::time::sleep(Duration::from_millis(50)).await;
        assert_that!(fleet.chat(&long).await.status, eq(200));
    };
    async connections_are_given_back_before_the_bound_is_reached => {
        // Callers of a flood open a connection for each try and leave the one before idle.
        let engine = Backend::start(|seen| whole_stream(seen, 3)).await;
        let settings = RouterSettings { max_connections: 8, ..RouterSettings::default() };
        let fleet = Fleet::start(&[engine.address], settings).await;
        let request = "GET /v1/health HTTP/1.1\r\nhost: x\r\n\r\n";
        let mut kept = Vec::new();
        for _ in 0..20 {
            let mut stream = fleet.open(request).await;
            let answer = read_head(&mut stream).await;
            assert_that!(answer, starts_with("HTTP/1.1 200"));
            // A caller gives a connection up when it is told to.
            if !answer.contains("connection: close") {
                kept.push(stream);
            }
        }
        assert_that!(kept.len(), all!(ge(1), lt(8)));
    };
    async slow_body_is_refused => {
        let (_engine, fleet) = fleet().await;
        let answer = fleet.raw(&format!("{CHAT_HEAD}content-length: 100\r\n\r\n{{")).await;
        assert_that!(answer, starts_with("HTTP/1.1 408"));
        assert_that!(answer, contains_substring("x-run: not-run"));
    };
    async truncated_body_is_refused => {
        let (engine, fleet) = fleet().await;
        let mut stream = fleet.open(&format!("{CHAT_HEAD}content-length: 500\r\n\r\n{{")).await;
        stream.shutdown().await.expect("no more is sent");
        let answer = read_all(&mut stream).await;
        assert_that!(answer, starts_with("HTTP/1.1 400"));
        assert_that!(engine.count(), eq(0));
    };
    async slow_head_is_closed => {
        let (_engine, fleet) = fleet().await;
        let silent = compio::time::timeout(Duration::from_secs(5), fleet.raw(CHAT_HEAD)).await;
        assert_that!(silent, ok(eq("")));
    };
    async connections_over_the_bound_are_closed => {
        let settings = RouterSettings { max_connections: 1, ..tight() };
        let fleet = Fleet::start(&[], settings).await;
        let health = "GET /v1/health HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        let held = TcpStream::connect(fleet.address).await.expect("a connection");
        compio::time::sleep(Duration::from_millis(50)).await;
        assert_that!(fleet.raw(health).await, eq(""));
        drop(held);
        compio::time::sleep(Duration::from_millis(50)).await;
        assert_that!(fleet.raw(health).await, starts_with("HTTP/1.1 200"));
    };
    async caller_that_takes_nothing_frees_its_slot => {
        let engine = Backend::start(|s| {
            let mut acts = vec![stream_head(s)];
            for number in 1..=400 {
                let Act::Send(small) = piece(s, number) else { unreachable!() };
                let text = small.split_once("\r\n").map_or("", |p| p.1).trim_end_matches("\r\n");
                let text = text.replace("\"t", &format!("\"{}", "x".repeat(100_000)));
                acts.push(Act::Send(format!("{:x}\r\n{text}\r\n", text.len())));
            }
            acts.push(Act::Hang);
            acts
        })
        .await;
        let fleet = Fleet::start(&[engine.address], tight()).await;
        let stream = fleet.begin(&ask(true)).await;
        fleet.until("the slot is given back", || !fleet.capacity.0.ends.borrow().is_empty()).await;
        assert_that!(fleet.capacity.0.ends.borrow()[0].outcome, eq(1));
        drop(stream);
    };
    async caller_who_hangs_up_has_its_work_cancelled => {
        for (streamed, begun) in [(true, true), (false, true), (true, false)] {
            let engine = Backend::start(move |s| {
                let start = [stream_head(s), piece(s, 1)];
                start.into_iter().filter(|_| begun).chain([Act::Hang]).collect()
            })
            .await;
            let fleet = Fleet::start(&[engine.address], RouterSettings::default()).await;
            let stream = fleet.begin(&ask(streamed)).await;
            fleet.until("the engine works", || engine.count() == 1).await;
            compio::time::sleep(Duration::from_millis(50)).await;
            drop(stream);
            fleet.until("the engine is let go", || *engine.hung_up.borrow() == 1).await;
            assert_that!(fleet.capacity.0.ends.borrow()[0].outcome, eq(1));
        }
    };
}
