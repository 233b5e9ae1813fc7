//! Schedulers and routers that are lost, replaced, silent or late.

use std::time::Duration;

use compio::net::TcpListener;
use compio::time::{sleep, timeout};
use googletest::prelude::*;
use jaylock_control::ConfigView;
use jaylock_rpc::v1::{Ask, Grant, Instance, Running};
use jaylock_share::{SchedulerClient, SchedulerSettings};
use jaylock_tests::cases;
use jaylock_types::PoolId;

use crate::fleet::{Host, LIVENESS, ask, configuration, end, engine, pool, router, started_router};
use crate::simulation::Simulation;

/// Time in which nothing is to happen.
const QUIET: Duration = Duration::from_millis(700);

async fn granted(pools: &SchedulerClient, organisation: &str) -> Grant {
    let answer = timeout(LIVENESS, pools.ask(&pool(), ask(organisation))).await;
    answer.expect("an answer").expect("a grant")
}

/// A fleet of one scheduler and one router, with a run in progress on its only engine.
async fn busy(slots: u32) -> (ConfigView, Host, SchedulerClient, PoolId, Grant) {
    let view = ConfigView::default();
    let host = Host::start("i1", &view, SchedulerSettings::default()).await;
    assert!(view.update(configuration(1, 1, &host)));
    let pools = router("r1", &view);
    pools.report(engine("e1", slots));
    let first = granted(&pools, "bench").await;
    (view, host, pools, pool(), first)
}

cases! {
    async a_replaced_scheduler_takes_over_what_runs_and_waits => {
        let (view, first, pools, chat, run) = busy(1).await;
        let mut waiting = Box::pin(pools.ask(&chat, ask("till")));
        assert_that!(timeout(QUIET, &mut waiting).await.is_err(), eq(true));
        first.has_lease.set(false);
        let second = Host::start("i2", &view, SchedulerSettings::default()).await;
        assert_that!(view.update(configuration(2, 2, &second)), eq(true));
        pools.report(engine("e1", 1));
        // The only slot is taken by a run that the first scheduler granted.
        assert_that!(timeout(QUIET, &mut waiting).await.is_err(), eq(true));
        pools.end(&chat, end(run.ticket, 20));
        let grant = timeout(LIVENESS, waiting).await.expect("an answer").expect("a grant");
        assert_that!(grant.epoch, eq(2));
    };

    async an_older_scheduler_is_refused => {
        let (view, first, pools, chat, run) = busy(1).await;
        let second = Host::start("i2", &view, SchedulerSettings::default()).await;
        assert_that!(view.update(configuration(2, 2, &second)), eq(true));
        pools.end(&chat, end(run.ticket, 20));
        let mut epoch = run.epoch;
        while epoch < 2 {
            let grant = granted(&pools, "bench").await;
            epoch = grant.epoch;
            pools.end(&chat, end(grant.ticket, 20));
        }
        // A view that names the first scheduler again does not bring its epoch back.
        assert_that!(view.update(configuration(3, 1, &first)), eq(true));
        compio::time::sleep(QUIET).await;
        for _ in 0..3 {
            let late = timeout(QUIET, pools.ask(&chat, ask("till"))).await;
            let epochs = late.ok().and_then(Result::ok).map(|grant| grant.epoch);
            assert_that!(epochs, not(some(eq(1))));
        }
    };

    async a_lost_lease_ends_granting => {
        let (_view, host, pools, chat, _run) = busy(4).await;
        host.has_lease.set(false);
        compio::time::sleep(QUIET).await;
        let before = host.grants(&chat).await;
        let waiting: Vec<_> = (0..3).map(|_| pools.ask(&chat, ask("till"))).collect();
        let all = futures_util::future::join_all(waiting);
        let _ = timeout(QUIET, all).await;
        assert_that!(host.grants(&chat).await, eq(before));
    };

    async a_router_without_scheduler_hands_on_the_slots_it_holds => {
        let (view, host, pools, chat, run) = busy(1).await;
        // The only slot is in the part of a second router, so the first has just what it holds.
        let other = router("r2", &view);
        other.report(engine("e1", 1));
        compio::time::sleep(QUIET).await;
        host.has_lease.set(false);
        // The next scheduler is frozen: it takes connections and never answers.
        let frozen = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let mut next = configuration(2, 2, &host);
        next.instances = vec![Instance {
            peer_address: frozen.local_addr().expect("an address").to_string(),
            ..host.instance()
        }];
        assert_that!(view.update(next), eq(true));
        let mut waiting = Box::pin(pools.ask(&chat, ask("till")));
        assert_that!(timeout(QUIET, &mut waiting).await.is_err(), eq(true));
        pools.end(&chat, end(run.ticket, 20));
        let grant = timeout(LIVENESS, waiting).await.expect("an answer").expect("a grant");
        assert_that!(grant.backend, eq("e1"));
        // It holds no second slot.
        let second = timeout(QUIET, pools.ask(&chat, ask("till"))).await;
        assert_that!(second.is_err(), eq(true));
    };

    async a_router_without_scheduler_uses_its_part_of_the_idle_slots => {
        let (_view, host, pools, chat, run) = busy(3).await;
        pools.end(&chat, end(run.ticket, 20));
        compio::time::sleep(QUIET).await;
        host.has_lease.set(false);
        let mut grants = Vec::new();
        for _ in 0..3 {
            grants.push(granted(&pools, "till").await.backend);
        }
        assert_that!(grants, each(eq("e1")));
        let beyond = timeout(QUIET, pools.ask(&chat, ask("till"))).await;
        assert_that!(beyond.is_err(), eq(true));
    };

    async a_pool_without_scheduler_refuses_and_says_when_to_come_back => {
        let view = ConfigView::default();
        let pools = router("r1", &view);
        let refusal = timeout(LIVENESS, pools.ask(&pool(), ask("till"))).await;
        let refusal = refusal.expect("an answer").expect_err("a refusal");
        assert_that!(refusal.retry_after_ms, gt(0));
        assert_that!(pools.unserved(), elements_are![eq(&pool())]);
    };

    async a_pool_without_backend_server_refuses_soon => {
        let view = ConfigView::default();
        let host = Host::start("i1", &view, SchedulerSettings::default()).await;
        assert_that!(view.update(configuration(1, 1, &host)), eq(true));
        let pools = router("r1", &view);
        let refusal = timeout(LIVENESS, pools.ask(&pool(), ask("till"))).await;
        let refusal = refusal.expect("an answer").expect_err("a refusal");
        assert_that!(refusal.retry_after_ms, gt(0));
    };

    async a_new_scheduler_waits_for_backend_servers_to_be_heard => {
        let view = ConfigView::default();
        let host = Host::start("i1", &view, SchedulerSettings::default()).await;
        assert_that!(view.update(configuration(1, 1, &host)), eq(true));
        let pools = router("r1", &view);
        // A request that waited for the scheduler before it.
        let chat = pool();
        let waited = Ask { waited_ms: 5000, ..ask("till") };
        let asked = pools.ask(&chat, waited);
        let reported = async {
            sleep(Duration::from_millis(1200)).await;
            pools.report(engine("e1", 1));
        };
        let (answer, ()) = futures_util::join!(timeout(LIVENESS, asked), reported);
        expect_that!(answer.expect("an answer"), ok(anything()));
    };

    async a_cancelled_ask_gives_its_place_back => {
        let (_view, _host, pools, chat, run) = busy(1).await;
        let gone = timeout(QUIET, pools.ask(&chat, ask("till"))).await;
        assert_that!(gone.is_err(), eq(true));
        pools.end(&chat, end(run.ticket, 20));
        let grant = granted(&pools, "bench").await;
        assert_that!(grant.backend, eq("e1"));
    };

    async an_older_start_of_a_router_does_not_displace_the_newer => {
        let (view, host, first, chat, _run) = busy(8).await;
        let newer = started_router("r1", 2, &view);
        granted(&newer, "bench").await;
        for _ in 0..5 {
            let _ = timeout(QUIET, first.ask(&chat, ask("till"))).await;
        }
        let decisions = host.decisions(&chat).await;
        let organisations: Vec<_> = decisions.iter().map(|d| d.organisation.as_str()).collect();
        assert_that!(organisations, not(contains(eq(&"till"))));
    };

    a_router_that_comes_back_keeps_its_runs => {
        let mut simulation = Simulation::new(&[1, 1], Simulation::engines(1, 1), 2);
        let kept = simulation.ask(0, 1, 100_000, Ask::default());
        simulation.decide();
        let next = simulation.ask(1, 0, 50, Ask::default());
        let running = Running {
            ticket: kept,
            backend: "e0".into(),
            organisation: "o0".into(),
            tokens: 10,
            ..Running::default()
        };
        simulation.rejoin(1, vec![running]);
        for _ in 0..50 {
            simulation.step();
        }
        assert_that!(simulation.job(next).is_some_and(|job| job.engine.is_none()), eq(true));
        assert_that!(simulation.running_on("e0"), eq(1));
    };
}
