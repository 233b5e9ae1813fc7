//! Quarantine of requests that crash backend servers: one request crashes at most two.

use std::time::Duration;

use googletest::prelude::*;
use jaylock_router::RouterSettings;
use jaylock_tests::cases;

use crate::backend::{
    Backend, Received, Step, chunk, complete_stream, plain_response, stream_head,
};
use crate::fakes::FakeCommandLog;
use crate::harness::{TestRouter, chat_body};

/// An engine that crashes on a prompt with the word `poison`.
fn crash_on_poison(r: &Received) -> Vec<Step> {
    if r.body.contains("poison") {
        vec![stream_head(r), chunk(r, r.last_chunk() + 1), Step::Crash]
    } else {
        complete_stream(r, 3)
    }
}

fn poison_body() -> String {
    chat_body(false).replace("hi", "poison")
}

cases! {
    async quarantines_a_request_fleet_wide_after_two_crashes => {
        let engines = [
            Backend::start(crash_on_poison).await,
            Backend::start(crash_on_poison).await,
            Backend::start(crash_on_poison).await,
        ];
        let addresses = engines.each_ref().map(|e| e.address);
        let command_log = FakeCommandLog::default();
        let one = TestRouter::with_command_log(&addresses, RouterSettings::default(), command_log.clone()).await;
        let two = TestRouter::with_command_log(&addresses, RouterSettings::default(), command_log).await;
        let first = one.chat(&poison_body()).await;
        assert_that!((first.status, first.run.as_str()), eq((422, "ran")));
        let isolated: Vec<bool> = one.schedulers.0.slot_requests.borrow().iter().map(|a| a.alone).collect();
        assert_that!(isolated, elements_are![eq(&false), eq(&true)]);
        let outcomes: Vec<i32> = one.schedulers.0.released.borrow().iter().map(|e| e.outcome).collect();
        assert_that!(outcomes, elements_are![eq(&4), eq(&4)]);
        for router in [&one, &two] {
            let again = router.chat(&poison_body()).await;
            assert_that!((again.status, again.run.as_str()), eq((422, "not-run")));
        }
        let requests: usize = engines.iter().map(Backend::request_count).sum();
        assert_that!(requests, eq(2));
        assert_that!(two.chat(&chat_body(false)).await.status, eq(200));
    };
    // Guards against a crash that nobody tells the scheduler of, as the caller had left.
    async crash_after_the_caller_has_left_is_reported_to_the_scheduler => {
        let engine = Backend::start(|_| vec![Step::Wait(Duration::from_millis(300)), Step::Crash]).await;
        let router = TestRouter::start(&[engine.address], RouterSettings::default()).await;
        let caller = router.start_chat(&chat_body(false)).await;
        router.wait_until("the request arrives", || engine.request_count() == 1).await;
        drop(caller);
        router.wait_until("the crash is reported", || *router.schedulers.0.crashed.borrow() == [1]).await;
    };
    // Guards against checks that leave out backend servers for good when more of them are due than one round checks.
    async crashes_of_many_backend_servers_after_their_callers_have_left_are_reported => {
        let mut engines = Vec::new();
        for _ in 0..20 {
            engines.push(Backend::start(|_| vec![Step::Wait(Duration::from_millis(300)), Step::Crash]).await);
        }
        let router = TestRouter::start(&[], RouterSettings::default()).await;
        for engine in &engines {
            *router.schedulers.0.backends.borrow_mut() = vec![engine.address];
            let caller = router.start_chat(&chat_body(false)).await;
            router.wait_until("the request arrives", || engine.request_count() == 1).await;
            drop(caller);
        }
        router.wait_until("all crashes are reported", || router.schedulers.0.crashed.borrow().len() == 20).await;
    };
    async backend_server_that_outlives_a_request_whose_caller_has_left_is_not_reported => {
        let engine = Backend::start(|r| [vec![Step::Wait(Duration::from_millis(300))], complete_stream(r, 3)].concat()).await;
        let router = TestRouter::start(&[engine.address], RouterSettings::default()).await;
        let caller = router.start_chat(&chat_body(false)).await;
        router.wait_until("the request arrives", || engine.request_count() == 1).await;
        drop(caller);
        compio::time::sleep(Duration::from_secs(3)).await;
        expect_that!(router.schedulers.0.released.borrow().len(), eq(1));
        expect_that!(*router.schedulers.0.crashed.borrow(), is_empty());
    };
    async clears_a_suspect_after_a_successful_isolated_run => {
        let crashed = Backend::start(|_| vec![Step::Crash]).await;
        let stable = Backend::start(|r| complete_stream(r, 3)).await;
        let addresses = [crashed.address, stable.address];
        let router = TestRouter::start(&addresses, RouterSettings::default()).await;
        let response = router.chat(&chat_body(false)).await;
        assert_that!(response.status, eq(200));
        assert_that!(router.chat(&chat_body(false)).await.status, eq(200));
        let quarantines = router.command_log.0.quarantines.borrow();
        assert_that!((quarantines[0].suspect, quarantines[0].until_ms > 0), eq((true, true)));
        assert_that!(quarantines[1].until_ms, eq(0));
    };
    async serves_equal_requests_after_one_crash => {
        let delayed_crash = |r: &Received| vec![stream_head(r), Step::Wait(Duration::from_millis(100)), Step::Crash];
        let crashed = Backend::start(delayed_crash).await;
        let stable = Backend::start(|r| complete_stream(r, 3)).await;
        let addresses = [crashed.address, stable.address];
        let command_log = FakeCommandLog::default();
        let one = TestRouter::with_command_log(&addresses, RouterSettings::default(), command_log.clone()).await;
        let two = TestRouter::with_command_log(&addresses, RouterSettings::default(), command_log).await;
        let body = chat_body(false);
        let calls = vec![one.chat(&body), one.chat(&body), two.chat(&body)];
        let responses = futures_util::future::join_all(calls).await;
        assert_that!(crashed.request_count(), eq(3));
        let statuses: Vec<u16> = responses.iter().map(|a| a.status).collect();
        assert_that!(statuses, each(eq(&200)));
    };
    async quarantines_without_an_isolated_run_after_a_concurrent_crash => {
        let crashed = Backend::start(crash_on_poison).await;
        let spare = Backend::start(crash_on_poison).await;
        let addresses = [crashed.address, spare.address];
        let router = TestRouter::start(&addresses, RouterSettings::default()).await;
        router.command_log.0.has_concurrent_crash.set(true);
        let response = router.chat(&poison_body()).await;
        assert_that!((response.status, response.run.as_str()), eq((422, "ran")));
        assert_that!((crashed.request_count(), spare.request_count()), eq((1, 0)));
    };
    async isolated_run_refuses_equal_requests_and_survives_a_disconnect => {
        let crashed = Backend::start(|_| vec![Step::Crash]).await;
        let slow = Backend::start(|r| vec![stream_head(r), chunk(r, 1), Step::AwaitDisconnect]).await;
        let addresses = [crashed.address, slow.address];
        let command_log = FakeCommandLog::default();
        let one = TestRouter::with_command_log(&addresses, RouterSettings::default(), command_log.clone()).await;
        let two = TestRouter::with_command_log(&addresses, RouterSettings::default(), command_log).await;
        let caller = one.start_chat(&chat_body(true)).await;
        one.wait_until("the isolated run has started", || slow.request_count() == 1).await;
        let response = two.chat(&chat_body(true)).await;
        assert_that!((response.status, response.run.as_str()), eq((503, "not-run")));
        assert_that!(response.body, contains_substring("\"kind\":\"suspected\""));
        drop(caller);
        compio::time::sleep(Duration::from_millis(100)).await;
        assert_that!(*slow.disconnects.borrow(), eq(0));
    };
    async detects_a_crash_after_the_caller_disconnected => {
        let engine = Backend::start(|r| {
            vec![stream_head(r), chunk(r, 1), Step::Wait(Duration::from_millis(200)), Step::Crash]
        })
        .await;
        let router = TestRouter::start(&[engine.address], RouterSettings::default()).await;
        let timeout = Duration::from_millis(100);
        let outcome = compio::time::timeout(timeout, router.chat(&poison_body())).await;
        assert_that!(outcome.is_err(), eq(true));
        let command_log = &router.command_log.0;
        router.wait_until("the crash is recorded", || !command_log.quarantines.borrow().is_empty()).await;
        let again = router.chat(&poison_body()).await;
        assert_that!((again.status, again.run.as_str()), eq((503, "not-run")));
    };
    async makes_no_isolated_run_of_a_non_idempotent_call => {
        let crashed = Backend::start(|_| vec![Step::Crash]).await;
        let stable = Backend::start(|r| plain_response(r, 200, "ok")).await;
        let addresses = [crashed.address, stable.address];
        let router = TestRouter::start(&addresses, RouterSettings::default()).await;
        let first = router.call_once("k1", "poison").await;
        assert_that!((first.status, first.run.as_str()), eq((409, "unknown")));
        let other_key = router.call_once("k2", "poison").await;
        assert_that!((other_key.status, other_key.run.as_str()), eq((503, "not-run")));
        assert_that!(router.call_once("k3", "other").await.status, eq(200));
        assert_that!((crashed.request_count(), stable.request_count()), eq((1, 1)));
    };
    async refuses_a_waiting_request_once_an_equal_one_is_in_quarantine => {
        let engines = [Backend::start(crash_on_poison).await, Backend::start(crash_on_poison).await];
        let addresses = engines.each_ref().map(|e| e.address);
        let command_log = FakeCommandLog::default();
        let one = TestRouter::with_command_log(&addresses, RouterSettings::default(), command_log.clone()).await;
        let two = TestRouter::with_command_log(&addresses, RouterSettings::default(), command_log).await;
        one.schedulers.0.never_grants.set(true);
        let body = poison_body();
        let crash_elsewhere = async {
            one.wait_until("the request waits", || !one.schedulers.0.slot_requests.borrow().is_empty()).await;
            two.chat(&body).await
        };
        let (waiting, crashed) = futures_util::join!(one.chat(&body), crash_elsewhere);
        assert_that!((crashed.status, crashed.run.as_str()), eq((422, "ran")));
        assert_that!((waiting.status, waiting.run.as_str()), eq((422, "not-run")));
    };
    async lost_connection_to_a_running_engine_is_not_a_crash => {
        let engine = Backend::start(|r| vec![stream_head(r), chunk(r, 1), Step::Close]).await;
        let router = TestRouter::start(&[engine.address], RouterSettings::default()).await;
        let response = router.chat(&chat_body(false)).await;
        assert_that!((response.status, response.run.as_str()), eq((502, "ran")));
        assert_that!(router.command_log.0.quarantines.borrow().len(), eq(0));
    };
}
