//! Requests for spare slots: granted or refused at once, and never at the cost of other requests.

use std::time::Duration;

use futures_channel::oneshot;
use googletest::prelude::*;
use jaylock_rpc::v1::end::Outcome;
use jaylock_rpc::v1::{Ask, Hello, RateLimit, RouterFrame};
use jaylock_share::{ClientState, SchedulerClientSettings};
use jaylock_tests::cases;

use crate::fixture::Fixture;
use crate::fleet::{ask, engine_report};

fn spare(organisation: &str, avoid: &str) -> Ask {
    Ask {
        spare: true,
        avoid: vec![avoid.into()],
        ..ask(organisation)
    }
}

/// A pool with two backend servers of eight slots, of which this many run requests.
fn pool(running: usize) -> Fixture {
    let mut pool = Fixture::new();
    pool.report(engine_report("b1", 8));
    pool.report(engine_report("b2", 8));
    pool.ask((0..running).map(|_| ask("o")));
    assert_that!(pool.decide_all().0, len(eq(running.min(16))));
    pool
}

/// Asks for a spare slot; returns the backend server if it is granted, and whether it is refused.
fn ask_spare(pool: &mut Fixture, avoid: &str) -> (Option<String>, bool) {
    let ticket = pool.ask([spare("o", avoid)])[0];
    let (grants, refusals) = pool.decide_all();
    let grant = grants.into_iter().find(|grant| grant.ticket == ticket);
    let is_refused = refusals.iter().any(|refusal| refusal.ticket == ticket);
    (grant.map(|grant| grant.backend), is_refused)
}

fn granted(backend: &str) -> (Option<String>, bool) {
    (Some(backend.into()), false)
}

const REFUSED: (Option<String>, bool) = (None, true);

cases! {
    // Guards against a second attempt at the server of the first one.
    spare_slot_is_granted_at_another_server => {
        assert_that!(ask_spare(&mut pool(2), "b1"), eq(&granted("b2")));
        assert_that!(ask_spare(&mut pool(2), "b2"), eq(&granted("b1")));
    };
    // Guards against extra attempts that make an overload heavier: 12 of 16 slots are taken, all are, or requests wait.
    spare_slot_is_refused_in_a_loaded_pool => {
        assert_that!(ask_spare(&mut pool(10), "b1"), eq(&granted("b2")));
        for running in [12, 13, 16, 20] {
            assert_that!(ask_spare(&mut pool(running), "b1"), eq(&REFUSED), "{running} run");
        }
        // A new server has free slots, but the others of the pool will soon need them.
        let mut pool = pool(16);
        let mut report = engine_report("b3", 8);
        report.running = 4;
        pool.report(report);
        assert_that!(ask_spare(&mut pool, "b1"), eq(&REFUSED));
    };
    // Guards against a spare grant before a request that arrived in the same message.
    spare_slot_is_refused_while_another_request_waits => {
        let mut pool = pool(0);
        let needs_other = Ask { model: "other".into(), ..ask("o") };
        pool.ask([needs_other]);
        assert_that!(ask_spare(&mut pool, "b1"), eq(&REFUSED));
    };
    // Guards against a second attempt at a server that is leaving, lost, cold, limited, or busy with other work.
    spare_slot_is_refused_at_unusable_and_busy_servers => {
        let mut pool = pool(0);
        let mut report = engine_report("b2", 8);
        report.sequence = 1;
        report.running = 7;
        pool.report(report.clone());
        assert_that!(ask_spare(&mut pool, "b1"), eq(&REFUSED));
        report.sequence = 2;
        report.running = 0;
        pool.report(report.clone());
        assert_that!(ask_spare(&mut pool, "b1"), eq(&granted("b2")));
        report.sequence = 3;
        report.cold_ms = Some(500);
        pool.report(report.clone());
        assert_that!(ask_spare(&mut pool, "b1"), eq(&REFUSED));
        report.sequence = 4;
        report.cold_ms = Some(0);
        pool.report(report.clone());
        assert_that!(ask_spare(&mut pool, "b1"), eq(&granted("b2")));
        let limit = RateLimit { backend: "b2".into(), rate_milli: Some(100_000) };
        let frame = RouterFrame { limits: vec![limit], ..RouterFrame::default() };
        pool.allocator.apply(pool.router, frame, pool.now);
        assert_that!(ask_spare(&mut pool, "b1"), eq(&REFUSED));
        report.sequence = 5;
        report.leaving = true;
        pool.report(report);
        assert_that!(ask_spare(&mut pool, "b1"), eq(&REFUSED));
        pool.now += Duration::from_secs(10);
        assert_that!(ask_spare(&mut pool, "b2"), eq(&REFUSED));
    };
    // Guards against a request for a spare slot that waits in a queue, or is granted after its router gave it up.
    spare_slot_is_neither_queued_nor_granted_later => {
        let mut pool = pool(16);
        assert_that!(ask_spare(&mut pool, "b1"), eq(&REFUSED));
        for ticket in 1..=16 {
            pool.end(ticket);
        }
        assert_that!(pool.decide(), none());
        let ticket = pool.ask([spare("o", "b1")])[0];
        pool.cancel(ticket);
        assert_that!(pool.decide_all(), eq(&(vec![], vec![])));
    };
    // Guards against free work: the attempt that lost is charged to its organisation.
    cancelled_attempt_is_charged => {
        let mut pool = pool(0);
        let ticket = pool.ask([spare("o", "b1")])[0];
        assert_that!(pool.decide(), some(eq("b2")));
        pool.end_as(ticket, Outcome::Cancelled);
        let report = pool.allocator.describe("i", pool.now);
        let organisation = report.organisations.iter().find(|share| share.organisation == "o");
        assert_that!(organisation.expect("an organisation").tokens, gt(0));
        // The slot is free again.
        assert_that!(report.backends[1].granted, eq(0));
    };
    // Guards against a quarantine after one submission of a request: both attempts crash their servers, which counts once,
    // so that two equal requests may still run at a time.
    crashes_of_both_attempts_count_as_one => {
        let mut pool = pool(0);
        pool.report(engine_report("b3", 8));
        let first = pool.ask([Ask { digest: 7, ..ask("o") }])[0];
        let backend = pool.decide().expect("a grant");
        let second = pool.ask([Ask { digest: 7, ..spare("o", &backend) }])[0];
        assert_that!(pool.decide(), some(anything()));
        pool.now += Duration::from_millis(50);
        pool.end_as(first, Outcome::Crashed);
        pool.now += Duration::from_millis(50);
        pool.end_as(second, Outcome::Crashed);
        pool.ask([1, 2].map(|_| Ask { digest: 7, ..ask("o") }));
        assert_that!(pool.decide_all().0, len(eq(2)));
    };
    // Guards against spare slots that a router grants itself, or that wait for the next scheduler.
    spare_slot_is_refused_at_once_without_a_scheduler => {
        let now = std::time::Instant::now();
        let mut router = ClientState::new(SchedulerClientSettings::default());
        let request = |router: &mut ClientState, ticket| {
            let (reply, receiver) = oneshot::channel();
            router.request_slot(Ask { ticket, ..spare("o", "b1") }, reply, now);
            receiver
        };
        let mut unattached = request(&mut router, 1);
        assert_that!(unattached.try_recv().expect("a reply"), some(err(anything())));
        router.first_frame(Hello::default(), now);
        let mut pending = request(&mut router, 2);
        assert_that!(pending.try_recv().expect("no reply yet"), none());
        router.detach(now);
        assert_that!(pending.try_recv().expect("a reply"), some(err(anything())));
        assert_that!(router.first_frame(Hello::default(), now).asks, is_empty());
    };
}
