//! Requests that crash backend servers: at most two are lost to one of them.

use std::time::Duration;

use googletest::prelude::*;
use jaylock_router::RouterSettings;
use jaylock_tests::cases;

use crate::backend::{Act, Backend, Seen, piece, plain, stream_head, whole_stream};
use crate::fleet::{Fleet, ask};
use crate::port::FakeClaims;

/// An engine that crashes on a prompt with the word `poison`.
fn fragile(seen: &Seen) -> Vec<Act> {
    if seen.body.contains("poison") {
        vec![stream_head(seen), piece(seen, seen.last() + 1), Act::Crash]
    } else {
        whole_stream(seen, 3)
    }
}

fn poison() -> String {
    ask(false).replace("hi", "poison")
}

cases! {
    async second_crash_puts_the_request_in_quarantine_fleet_wide => {
        let engines = [
            Backend::start(fragile).await,
            Backend::start(fragile).await,
            Backend::start(fragile).await,
        ];
        let addresses = engines.each_ref().map(|e| e.address);
        let claims = FakeClaims::default();
        let one = Fleet::with_claims(&addresses, RouterSettings::default(), claims.clone()).await;
        let two = Fleet::with_claims(&addresses, RouterSettings::default(), claims).await;
        let first = one.chat(&poison()).await;
        assert_that!((first.status, first.run.as_str()), eq((422, "ran")));
        let asks: Vec<bool> = one.capacity.0.asks.borrow().iter().map(|a| a.alone).collect();
        assert_that!(asks, elements_are![eq(&false), eq(&true)]);
        let ends: Vec<i32> = one.capacity.0.ends.borrow().iter().map(|e| e.outcome).collect();
        assert_that!(ends, elements_are![eq(&4), eq(&4)]);
        for fleet in [&one, &two] {
            let again = fleet.chat(&poison()).await;
            assert_that!((again.status, again.run.as_str()), eq((422, "not-run")));
        }
        let lost: usize = engines.iter().map(Backend::count).sum();
        assert_that!(lost, eq(2));
        assert_that!(two.chat(&ask(false)).await.status, eq(200));
    };
    async innocent_beside_a_crash_is_served_and_cleared => {
        let crashed = Backend::start(|_| vec![Act::Crash]).await;
        let sound = Backend::start(|s| whole_stream(s, 3)).await;
        let addresses = [crashed.address, sound.address];
        let fleet = Fleet::start(&addresses, RouterSettings::default()).await;
        let answer = fleet.chat(&ask(false)).await;
        assert_that!(answer.status, eq(200));
        assert_that!(fleet.chat(&ask(false)).await.status, eq(200));
        let put = fleet.claims.0.quarantines.borrow();
        assert_that!((put[0].suspect, put[0].until_ms > 0), eq((true, true)));
        assert_that!(put[1].until_ms, eq(0));
    };
    async equal_requests_beside_one_crash_are_both_served => {
        let late = |s: &Seen| vec![stream_head(s), Act::Wait(Duration::from_millis(100)), Act::Crash];
        let crashed = Backend::start(late).await;
        let sound = Backend::start(|s| whole_stream(s, 3)).await;
        let addresses = [crashed.address, sound.address];
        let claims = FakeClaims::default();
        let one = Fleet::with_claims(&addresses, RouterSettings::default(), claims.clone()).await;
        let two = Fleet::with_claims(&addresses, RouterSettings::default(), claims).await;
        let body = ask(false);
        let calls = vec![one.chat(&body), one.chat(&body), two.chat(&body)];
        let answers = futures_util::future::join_all(calls).await;
        assert_that!(crashed.count(), eq(3));
        let statuses: Vec<u16> = answers.iter().map(|a| a.status).collect();
        assert_that!(statuses, each(eq(&200)));
    };
    async crash_elsewhere_at_the_same_moment_leaves_no_need_of_a_trial => {
        let crashed = Backend::start(fragile).await;
        let spare = Backend::start(fragile).await;
        let addresses = [crashed.address, spare.address];
        let fleet = Fleet::start(&addresses, RouterSettings::default()).await;
        fleet.claims.0.rival.set(true);
        let answer = fleet.chat(&poison()).await;
        assert_that!((answer.status, answer.run.as_str()), eq((422, "ran")));
        assert_that!((crashed.count(), spare.count()), eq((1, 0)));
    };
    async resend_of_a_suspect_waits_for_its_trial => {
        let crashed = Backend::start(|_| vec![Act::Crash]).await;
        let slow = Backend::start(|s| vec![stream_head(s), piece(s, 1), Act::Hang]).await;
        let addresses = [crashed.address, slow.address];
        let claims = FakeClaims::default();
        let one = Fleet::with_claims(&addresses, RouterSettings::default(), claims.clone()).await;
        let two = Fleet::with_claims(&addresses, RouterSettings::default(), claims).await;
        let caller = one.begin(&ask(true)).await;
        one.until("the trial runs", || slow.count() == 1).await;
        let answer = two.chat(&ask(true)).await;
        assert_that!((answer.status, answer.run.as_str()), eq((503, "not-run")));
        assert_that!(answer.body, contains_substring("\"kind\":\"suspected\""));
        drop(caller);
        compio::time::sleep(Duration::from_millis(100)).await;
        assert_that!(*slow.hung_up.borrow(), eq(0));
    };
    async crash_after_the_caller_hung_up_is_noticed => {
        let engine = Backend::start(|s| {
            vec![stream_head(s), piece(s, 1), Act::Wait(Duration::from_millis(200)), Act::Crash]
        })
        .await;
        let fleet = Fleet::start(&[engine.address], RouterSettings::default()).await;
        let limit = Duration::from_millis(100);
        let hung_up = compio::time::timeout(limit, fleet.chat(&poison())).await;
        assert_that!(hung_up.is_err(), eq(true));
        let claims = &fleet.claims.0;
        fleet.until("the crash is noted", || !claims.quarantines.borrow().is_empty()).await;
        let again = fleet.chat(&poison()).await;
        assert_that!((again.status, again.run.as_str()), eq((503, "not-run")));
    };
    async call_that_may_not_be_repeated_gets_no_trial => {
        let crashed = Backend::start(|_| vec![Act::Crash]).await;
        let sound = Backend::start(|s| plain(s, 200, "ok")).await;
        let addresses = [crashed.address, sound.address];
        let fleet = Fleet::start(&addresses, RouterSettings::default()).await;
        let first = fleet.once("k1", "poison").await;
        assert_that!((first.status, first.run.as_str()), eq((409, "unknown")));
        let other_key = fleet.once("k2", "poison").await;
        assert_that!((other_key.status, other_key.run.as_str()), eq((503, "not-run")));
        assert_that!(fleet.once("k3", "innocent").await.status, eq(200));
        assert_that!((crashed.count(), sound.count()), eq((1, 1)));
    };
    async broken_connection_to_a_living_engine_is_no_crash => {
        let engine = Backend::start(|s| vec![stream_head(s), piece(s, 1), Act::Close]).await;
        let fleet = Fleet::start(&[engine.address], RouterSettings::default()).await;
        let answer = fleet.chat(&ask(false)).await;
        assert_that!((answer.status, answer.run.as_str()), eq((502, "ran")));
        assert_that!(fleet.claims.0.quarantines.borrow().len(), eq(0));
    };
}
