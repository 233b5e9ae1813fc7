//! Tests of lost, replaced, unresponsive or outdated schedulers and routers.

use std::pin::pin;
use std::time::Duration;

use compio::net::TcpListener;
use compio::time::{sleep, timeout};
use futures_util::future::select;
use googletest::prelude::*;
use jaylock_control::ConfigView;
use jaylock_rpc::v1::{Ask, Grant, Instance, Running};
use jaylock_share::{SchedulerClient, SchedulerSettings};
use jaylock_tests::cases;
use jaylock_types::PoolId;

use crate::fleet::{
    Host, LIVENESS_TIMEOUT, ask, configuration, end, engine_report, pool, router,
    router_incarnation,
};
use crate::simulation::Simulation;

/// Time in which nothing must happen.
const QUIET_PERIOD: Duration = Duration::from_millis(700);

/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

async fn expect_grant(client: &SchedulerClient, organisation: &str) -> Grant {
    let reply = timeout(
        LIVENESS_TIMEOUT,
        client.request_slot(&pool(), ask(organisation)),
    )
    .await;
    reply.expect("a reply in time").expect("a grant")
}

/// Starts one scheduler and one router, with a run on the only engine.
async fn start_busy_fleet(slots: u32) -> (ConfigView, Host, SchedulerClient, PoolId, Grant) {
    let view = ConfigView::default();
    let host = Host::start("i1", &view, SchedulerSettings::default()).await;
    assert!(view.update(configuration(1, 1, &host)));
    let client = router("r1", &view);
    client.report_backend(engine_report("e1", slots));
    let first = expect_grant(&client, "bench").await;
    (view, host, client, pool(), first)
}

cases! {
    async new_scheduler_takes_over_running_and_waiting_requests => {
        let (view, first, client, chat, run) = start_busy_fleet(1).await;
        let mut waiting = Box::pin(client.request_slot(&chat, ask("till")));
        assert_that!(timeout(QUIET_PERIOD, &mut waiting).await.is_err(), eq(true));
        first.has_lease.set(false);
        let second = Host::start("i2", &view, SchedulerSettings::default()).await;
        assert_that!(view.update(configuration(2, 2, &second)), eq(true));
        client.report_backend(engine_report("e1", 1));
        // The only slot is taken by a run that the first scheduler granted.
        assert_that!(timeout(QUIET_PERIOD, &mut waiting).await.is_err(), eq(true));
        client.release_slot(&chat, end(run.ticket, 20));
        let grant = timeout(LIVENESS_TIMEOUT, waiting).await.expect("a reply in time").expect("a grant");
        assert_that!(grant.epoch, eq(2));
    };

    async router_refuses_a_scheduler_with_an_older_epoch => {
        let (view, first, client, chat, run) = start_busy_fleet(1).await;
        let second = Host::start("i2", &view, SchedulerSettings::default()).await;
        assert_that!(view.update(configuration(2, 2, &second)), eq(true));
        client.release_slot(&chat, end(run.ticket, 20));
        let mut epoch = run.epoch;
        while epoch < 2 {
            let grant = expect_grant(&client, "bench").await;
            epoch = grant.epoch;
            client.release_slot(&chat, end(grant.ticket, 20));
        }
        // A configuration that names the first scheduler again does not restore its epoch.
        assert_that!(view.update(configuration(3, 1, &first)), eq(true));
        compio::time::sleep(QUIET_PERIOD).await;
        for _ in 0..3 {
            let reply = timeout(QUIET_PERIOD, client.request_slot(&chat, ask("till"))).await;
            let granted_epoch = reply.ok().and_then(Result::ok).map(|grant| grant.epoch);
            assert_that!(granted_epoch, not(some(eq(1))));
        }
    };

    async grant_that_its_caller_does_not_take_is_returned => {
        let (_view, host, client, chat, run) = start_busy_fleet(1).await;
        let mut waiting = Box::pin(client.request_slot(&chat, ask("till")));
        assert_that!(timeout(QUIET_PERIOD, &mut waiting).await.is_err(), eq(true));
        client.release_slot(&chat, end(run.ticket, 20));
        while host.grants(&chat).await < 2 {
            sleep(POLL_INTERVAL).await;
        }
        // The grant reaches the router, but its caller is not polled any more.
        sleep(QUIET_PERIOD).await;
        drop(waiting);
        let reports = async {
            // Reports keep the engine alive while the request waits.
            loop {
                client.report_backend(engine_report("e1", 1));
                sleep(QUIET_PERIOD).await;
            }
        };
        let granted = pin!(expect_grant(&client, "bench"));
        select(granted, pin!(reports)).await;
    };

    async scheduler_without_a_lease_grants_nothing => {
        let (_view, host, client, chat, _run) = start_busy_fleet(4).await;
        host.has_lease.set(false);
        compio::time::sleep(QUIET_PERIOD).await;
        let before = host.grants(&chat).await;
        let waiting: Vec<_> = (0..3).map(|_| client.request_slot(&chat, ask("till"))).collect();
        let all = futures_util::future::join_all(waiting);
        let _ = timeout(QUIET_PERIOD, all).await;
        assert_that!(host.grants(&chat).await, eq(before));
    };

    async router_without_scheduler_reuses_its_held_slots => {
        let (view, host, client, chat, run) = start_busy_fleet(1).await;
        // The only slot belongs to the share of a second router, so the first one has only the slot that it holds.
        let other = router("r2", &view);
        other.report_backend(engine_report("e1", 1));
        compio::time::sleep(QUIET_PERIOD).await;
        host.has_lease.set(false);
        // The next scheduler does not respond: its port accepts connections and never replies.
        let unresponsive = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let mut next = configuration(2, 2, &host);
        next.instances = vec![Instance {
            peer_address: unresponsive.local_addr().expect("an address").to_string(),
            ..host.instance()
        }];
        assert_that!(view.update(next), eq(true));
        let mut waiting = Box::pin(client.request_slot(&chat, ask("till")));
        assert_that!(timeout(QUIET_PERIOD, &mut waiting).await.is_err(), eq(true));
        client.release_slot(&chat, end(run.ticket, 20));
        let grant = timeout(LIVENESS_TIMEOUT, waiting).await.expect("a reply in time").expect("a grant");
        assert_that!(grant.backend, eq("e1"));
        // The router holds no second slot.
        let second = timeout(QUIET_PERIOD, client.request_slot(&chat, ask("till"))).await;
        assert_that!(second.is_err(), eq(true));
    };

    async router_without_scheduler_grants_its_share_of_idle_slots => {
        let (_view, host, client, chat, run) = start_busy_fleet(3).await;
        client.release_slot(&chat, end(run.ticket, 20));
        compio::time::sleep(QUIET_PERIOD).await;
        host.has_lease.set(false);
        let mut grants = Vec::new();
        for _ in 0..3 {
            grants.push(expect_grant(&client, "till").await.backend);
        }
        assert_that!(grants, each(eq("e1")));
        let excess = timeout(QUIET_PERIOD, client.request_slot(&chat, ask("till"))).await;
        assert_that!(excess.is_err(), eq(true));
    };

    async pool_without_scheduler_refuses_with_a_retry_delay => {
        let view = ConfigView::default();
        let client = router("r1", &view);
        let refusal = timeout(LIVENESS_TIMEOUT, client.request_slot(&pool(), ask("till"))).await;
        let refusal = refusal.expect("a reply in time").expect_err("a refusal");
        assert_that!(refusal.retry_after_ms, gt(0));
        assert_that!(client.unserved_pools(), elements_are![eq(&pool())]);
    };

    async pool_without_backend_server_refuses_with_a_retry_delay => {
        let view = ConfigView::default();
        let host = Host::start("i1", &view, SchedulerSettings::default()).await;
        assert_that!(view.update(configuration(1, 1, &host)), eq(true));
        let client = router("r1", &view);
        let refusal = timeout(LIVENESS_TIMEOUT, client.request_slot(&pool(), ask("till"))).await;
        let refusal = refusal.expect("a reply in time").expect_err("a refusal");
        assert_that!(refusal.retry_after_ms, gt(0));
    };

    async new_scheduler_waits_for_first_reports_of_backend_servers => {
        let view = ConfigView::default();
        let host = Host::start("i1", &view, SchedulerSettings::default()).await;
        assert_that!(view.update(configuration(1, 1, &host)), eq(true));
        let client = router("r1", &view);
        // A request that already waited for an earlier scheduler.
        let chat = pool();
        let waited = Ask { waited_ms: 5000, ..ask("till") };
        let request = client.request_slot(&chat, waited);
        let late_report = async {
            sleep(Duration::from_millis(1200)).await;
            client.report_backend(engine_report("e1", 1));
        };
        let (reply, ()) = futures_util::join!(timeout(LIVENESS_TIMEOUT, request), late_report);
        expect_that!(reply.expect("a reply in time"), ok(anything()));
    };

    async cancelled_request_leaves_the_queue => {
        let (_view, _host, client, chat, run) = start_busy_fleet(1).await;
        let cancelled = timeout(QUIET_PERIOD, client.request_slot(&chat, ask("till"))).await;
        assert_that!(cancelled.is_err(), eq(true));
        client.release_slot(&chat, end(run.ticket, 20));
        let grant = expect_grant(&client, "bench").await;
        assert_that!(grant.backend, eq("e1"));
    };

    async older_incarnation_of_a_router_does_not_displace_a_newer_one => {
        let (view, host, first, chat, _run) = start_busy_fleet(8).await;
        let newer = router_incarnation("r1", 2, &view);
        expect_grant(&newer, "bench").await;
        for _ in 0..5 {
            let _ = timeout(QUIET_PERIOD, first.request_slot(&chat, ask("till"))).await;
        }
        let decisions = host.decisions(&chat).await;
        let organisations: Vec<_> = decisions.iter().map(|d| d.organisation.as_str()).collect();
        assert_that!(organisations, not(contains(eq(&"till"))));
    };

    router_that_attaches_again_keeps_its_runs => {
        let mut simulation = Simulation::new(&[1, 1], Simulation::engines(1, 1), 2);
        let running_ticket = simulation.ask(0, 1, 100_000, Ask::default());
        simulation.decide();
        let next = simulation.ask(1, 0, 50, Ask::default());
        let running = Running {
            ticket: running_ticket,
            backend: "e0".into(),
            organisation: "o0".into(),
            tokens: 10,
            ..Running::default()
        };
        simulation.reattach_router(1, vec![running]);
        for _ in 0..50 {
            simulation.step();
        }
        assert_that!(simulation.job(next).is_some_and(|job| job.engine.is_none()), eq(true));
        assert_that!(simulation.running_on("e0"), eq(1));
    };
}
