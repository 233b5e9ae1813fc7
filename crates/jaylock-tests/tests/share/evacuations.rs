//! Tests of failure domains that an operator has evacuated.

use std::time::{Duration, Instant};

use futures_channel::oneshot;
use googletest::prelude::*;
use jaylock_rpc::v1::refusal::Reason;
use jaylock_rpc::v1::{
    Ask, BackendReport, Configuration, Evacuation, Grant, Hello, Refusal, SchedulerFrame,
};
use jaylock_share::{AskResult, ClientState, SchedulerClientSettings};
use jaylock_tests::cases;

use crate::fixture::Fixture;
use crate::fleet::{ask, detached_router_of, engine_report};

/// Time in which all backend servers have reported to a new scheduler.
const SETTLING_TIME: Duration = Duration::from_secs(4);
/// Time without a scheduler after which a router grants its own slots.
const FALLBACK_TIME: Duration = Duration::from_secs(1);

/// A fleet of the domains "a" and "b" of which some are evacuated, and the others were before.
fn evacuated(domains: &[&str]) -> Configuration {
    let entry = |domain: &str| Evacuation {
        domain: domain.into(),
        index: 1,
        since_ms: u64::from(domains.contains(&domain)),
        restored_ms: u64::from(!domains.contains(&domain)),
    };
    Configuration {
        evacuations: vec![entry("a"), entry("b")],
        domains: vec!["a".into(), "b".into()],
        ..Configuration::default()
    }
}

fn report_in(domain: &str, id: &str) -> BackendReport {
    BackendReport {
        domain: domain.into(),
        ..engine_report(id, 4)
    }
}

/// A scheduler that evacuates some domains, with the engines "ea" and "eb" in the domains "a" and "b".
fn scheduler(domains: &[&str]) -> Fixture {
    let mut fixture = Fixture::new();
    configure(&mut fixture, domains);
    fixture.report(report_in("a", "ea"));
    fixture.report(report_in("b", "eb"));
    fixture
}

fn configure(fixture: &mut Fixture, domains: &[&str]) {
    let now = fixture.now;
    fixture.allocator.configure(&evacuated(domains), now);
}

fn backends(grants: &[Grant]) -> Vec<&str> {
    grants.iter().map(|grant| grant.backend.as_str()).collect()
}

fn numbered_ask(ticket: u64) -> Ask {
    Ask {
        ticket,
        ..ask("bench")
    }
}

/// Asks a router for a slot.
fn request_slot(
    router: &mut ClientState,
    ticket: u64,
    now: Instant,
) -> oneshot::Receiver<AskResult> {
    let (sender, receiver) = oneshot::channel();
    router.request_slot(numbered_ask(ticket), sender, now);
    receiver
}

/// A grant of the first request at engine "ea" in domain "a".
fn frame_with_grant() -> SchedulerFrame {
    let grant = Grant {
        ticket: 1,
        backend: "ea".into(),
        domain: "a".into(),
        incarnation: 1,
        ..Grant::default()
    };
    SchedulerFrame {
        epoch: 1,
        grants: vec![grant],
        ..SchedulerFrame::default()
    }
}

/// A router without a scheduler that may use the slots of "ea" and "eb".
fn detached_router(now: Instant) -> ClientState {
    let reports = [report_in("a", "ea"), report_in("b", "eb")];
    detached_router_of(reports.into_iter(), now)
}

/// The backend servers at which a router without a scheduler grants itself this many slots.
fn local_grants(
    router: &mut ClientState,
    configuration: &Configuration,
    now: Instant,
) -> Vec<String> {
    let receivers: Vec<_> = (1..=4).map(|n| request_slot(router, n, now)).collect();
    router.grant_locally(configuration, now);
    let replies = receivers
        .into_iter()
        .filter_map(|mut r| r.try_recv().ok().flatten());
    replies
        .filter_map(|reply| Some(reply.ok()?.backend))
        .collect()
}

cases! {
    // Guards against an order that holds only for the backend servers known when it arrived.
    first_report_from_an_evacuated_domain_brings_grants => {
        let mut fixture = scheduler(&["a"]);
        fixture.report(report_in("a", "late"));
        fixture.ask((0..6).map(|_| ask("bench")));
        let (grants, _) = fixture.decide_all();
        expect_that!(backends(&grants), eq(&vec!["eb"; 4]));
        let report = fixture.allocator.describe("i1", fixture.now);
        let states: Vec<&str> = report.backends.iter().map(|b| b.state.as_str()).collect();
        expect_that!(states, eq(&vec!["evacuated", "ready", "evacuated"]));
    };
    // Guards against requests that wait for a domain that takes none, although nothing else can serve them.
    requests_wait_although_all_their_backend_servers_are_evacuated => {
        let mut fixture = scheduler(&[]);
        fixture.now += SETTLING_TIME;
        fixture.report(report_in("a", "ea"));
        fixture.report(BackendReport { leaving: true, sequence: 1, ..report_in("b", "eb") });
        configure(&mut fixture, &["a"]);
        fixture.ask([ask("bench"), Ask { alone: true, ..ask("bench") }]);
        let (grants, refusals) = fixture.decide_all();
        let reasons: Vec<_> = refusals.iter().map(Refusal::reason).collect();
        expect_that!(grants, len(eq(0)));
        expect_that!(reasons, eq(&vec![Reason::NoBackend; 2]));
    };
    // Guards against a scheduler that lets requests wait for the first reports although every domain is evacuated.
    requests_wait_at_a_new_scheduler_although_all_domains_are_evacuated => {
        let mut fixture = Fixture::new();
        configure(&mut fixture, &["a", "b"]);
        fixture.ask([ask("bench")]);
        let (_, refusals) = fixture.decide_all();
        assert_that!(refusals, len(eq(1)));
        expect_that!(refusals[0].reason(), eq(Reason::NoBackend));
        expect_that!(refusals[0].retry_after_ms, gt(0));
    };
    // Guards against a queued request that keeps waiting when its last domain is evacuated.
    queued_requests_wait_on_when_the_last_domain_is_evacuated => {
        let mut fixture = scheduler(&["a"]);
        fixture.now += SETTLING_TIME;
        fixture.report(report_in("b", "eb"));
        fixture.ask((0..6).map(|_| ask("bench")));
        expect_that!(fixture.decide_all().0, len(eq(4)));
        configure(&mut fixture, &["a", "b"]);
        expect_that!(fixture.decide_all().1, len(eq(2)));
    };
    // Guards against a restored domain that stays without requests.
    restored_domain_gets_no_requests => {
        let mut fixture = scheduler(&["a", "b"]);
        configure(&mut fixture, &["b"]);
        expect_that!(fixture.ask_and_decide(ask("bench")), some(eq("ea")));
    };
    // Guards against a router that uses a grant which crossed the order, or returns it without asking again.
    grant_that_crossed_the_order_is_used => {
        let now = Instant::now();
        let mut router = ClientState::new(SchedulerClientSettings::default());
        router.first_frame(Hello::default(), now);
        let mut receiver = request_slot(&mut router, 1, now);
        router.next_frame(now);
        router.configure(&evacuated(&["a"]));
        router.apply_frame(frame_with_grant(), now);
        expect_that!(receiver.try_recv().expect("a waiting request").is_none(), eq(true));
        let frame = router.next_frame(now);
        // An outdated scheduler must not grant the same slot again and again.
        expect_that!((frame.ends.len(), frame.asks.len()), eq((1, 1)));
        expect_that!(frame.asks[0].avoid, eq(&vec!["ea".to_owned()]));
    };
    // Guards against a request that leaves after the order because its router lost the scheduler with a slot in hand.
    slot_of_a_disconnected_router_is_used_after_the_order => {
        let now = Instant::now();
        let mut router = ClientState::new(SchedulerClientSettings::default());
        router.first_frame(Hello::default(), now);
        let mut receiver = request_slot(&mut router, 1, now);
        router.apply_frame(frame_with_grant(), now);
        let grant = receiver.try_recv().expect("a reply").expect("a reply").expect("a grant");
        expect_that!(router.is_excluded(&grant, now), eq(false));
        router.detach(now);
        router.configure(&evacuated(&["a"]));
        expect_that!(router.is_excluded(&grant, now), eq(true));
    };
    // Guards against a router that, cut off from its scheduler, uses the slots it was told of before the order.
    router_without_a_scheduler_uses_an_evacuated_domain => {
        let now = Instant::now();
        let mut router = detached_router(now);
        let granted = local_grants(&mut router, &evacuated(&["a"]), now + FALLBACK_TIME);
        expect_that!(granted, eq(&vec!["eb"; 4]));
    };
    // Guards against a slot that a run in the domain gives back while there is no scheduler and the next request takes.
    freed_slot_in_an_evacuated_domain_is_used_again => {
        let started = Instant::now();
        let now = started + FALLBACK_TIME;
        let mut router = detached_router(started);
        let _runs: Vec<_> = (1..=128).map(|n| request_slot(&mut router, n, now)).collect();
        router.grant_locally(&Configuration::default(), now);
        for ticket in 1..=128 {
            router.release_slot(crate::fleet::end(ticket, 20), now);
        }
        let granted = local_grants(&mut router, &evacuated(&["a"]), now);
        expect_that!(granted, eq(&vec!["eb"; 4]));
    };
    // Guards against requests that wait for a scheduler which could not serve them either.
    router_without_a_scheduler_lets_requests_wait_although_all_domains_are_evacuated => {
        let now = Instant::now();
        let mut router = detached_router(now);
        let _receiver = request_slot(&mut router, 1, now);
        router.grant_locally(&evacuated(&["a"]), now);
        expect_that!(router.take_evacuated(), len(eq(0)));
        router.grant_locally(&evacuated(&["a", "b"]), now);
        expect_that!(router.take_evacuated(), len(eq(1)));
    };
}
