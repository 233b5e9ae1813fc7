//! Graceful shutdown: addresses are withdrawn first, and no request is cut.

use std::time::Duration;

use googletest::prelude::*;
use jaylock_router::RouterSettings;
use jaylock_tests::cases;

use crate::backend::{Act, Backend, done, last_piece, piece, stream_head};
use crate::fleet::{Fleet, ask, read_all};

cases! {
    async requests_in_progress_are_finished_and_new_ones_sent_elsewhere => {
        let engine = Backend::start(|s| {
            let wait = Act::Wait(Duration::from_millis(400));
            vec![stream_head(s), piece(s, 1), wait, last_piece(s, 2), done()]
        })
        .await;
        let settings = RouterSettings { address_ttl_ms: 150, ..RouterSettings::default() };
        let fleet = Fleet::start(&[engine.address], settings).await;
        let leaving = async {
            compio::time::sleep(Duration::from_millis(50)).await;
            fleet.router.shut_down();
            let list = fleet.send("GET", "/v1/routers", &[], "").await;
            assert_that!(list.body, not(contains_substring(fleet.address.to_string())));
            let within = fleet.chat("{}").await;
            assert_that!(within.status, eq(400));
            compio::time::sleep(Duration::from_millis(200)).await;
            let after = fleet.chat(&ask(false)).await;
            assert_that!((after.status, after.run.as_str()), eq((503, "not-run")));
            assert_that!(after.body, contains_substring("127.0.0.1:1"));
            fleet.router.drained().await;
        };
        let body = ask(true);
        let running = fleet.chat(&body);
        let (answer, ()) = futures_util::future::join(running, leaving).await;
        assert_that!(answer.body, ends_with("data: [DONE]\n\n"));
        assert_that!(fleet.capacity.0.ends.borrow().len(), eq(1));
    };
    async idle_connections_are_closed => {
        let settings = RouterSettings { address_ttl_ms: 10, ..RouterSettings::default() };
        let fleet = Fleet::start(&[], settings).await;
        let mut idle = fleet.open("GET /v1/health HTTP/1.1\r\nhost: x\r\n\r\n").await;
        compio::time::sleep(Duration::from_millis(50)).await;
        fleet.router.shut_down();
        let limit = Duration::from_secs(5);
        let answer = compio::time::timeout(limit, read_all(&mut idle)).await;
        assert_that!(answer, ok(starts_with("HTTP/1.1 200")));
        assert_that!(compio::time::timeout(limit, fleet.router.drained()).await.is_ok(), eq(true));
    };
    async drained_waits_for_the_last_request => {
        let engine = Backend::start(|s| vec![stream_head(s), piece(s, 1), Act::Hang]).await;
        let settings = RouterSettings { address_ttl_ms: 10, ..RouterSettings::default() };
        let fleet = Fleet::start(&[engine.address], settings).await;
        let caller = fleet.begin(&ask(true)).await;
        fleet.until("the engine works", || engine.count() == 1).await;
        fleet.router.shut_down();
        let limit = Duration::from_millis(200);
        let early = compio::time::timeout(limit, fleet.router.drained()).await;
        assert_that!(early.is_err(), eq(true));
        drop(caller);
        let late = compio::time::timeout(Duration::from_secs(5), fleet.router.drained()).await;
        assert_that!(late.is_ok(), eq(true));
    };
}
