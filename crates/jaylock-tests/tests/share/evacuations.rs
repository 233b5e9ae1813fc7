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
use crate::fleet::{ask, detached_router_of, end, engine_report};

/// Time in which all backend servers have reported to a new scheduler.
const SETTLING_TIME: Duration = Duration::from_secs(4);
/// Time without a scheduler after which a router grants its own slots.
const FALLBACK_TIME: Duration = Duration::from_secs(1);

/// A fleet of the domains "a" and "b", of which some are evacuated.
fn evacuated(domains: &[&str]) -> Configuration {
    let entry = |domain: &&str| Evacuation {
        domain: (*domain).into(),
        index: 1,
        since_ms: 1,
        restored_ms: 0,
    };
    Configuration {
        evacuations: domains.iter().map(entry).collect(),
        domains: vec!["a".into(), "b".into()],
        ..Configuration::default()
    }
}

/// The report of engine "ea" in domain "a", or "eb" in "b".
fn report_in(domain: &str) -> BackendReport {
    BackendReport {
        domain: domain.into(),
        ..engine_report(&format!("e{domain}"), 4)
    }
}

fn evacuate(fixture: &mut Fixture, domains: &[&str]) {
    let now = fixture.now;
    fixture.allocator.configure(&evacuated(domains), now);
}

/// Asks a router for slots with these tickets.
fn request_slots(
    router: &mut ClientState,
    tickets: std::ops::Range<u64>,
    now: Instant,
) -> Vec<oneshot::Receiver<AskResult>> {
    let request = |ticket| {
        let (sender, receiver) = oneshot::channel();
        let ask = Ask {
            ticket,
            ..ask("bench")
        };
        router.request_slot(ask, sender, now);
        receiver
    };
    tickets.map(request).collect()
}

/// The grants among the replies.
fn granted(receivers: Vec<oneshot::Receiver<AskResult>>) -> Vec<Grant> {
    let replies = receivers.into_iter().filter_map(|mut r| r.try_recv().ok()?);
    replies.filter_map(Result::ok).collect()
}

/// A router with a request, and a grant for it at engine "ea" in domain "a".
fn router_and_grant(
    now: Instant,
) -> (
    ClientState,
    Vec<oneshot::Receiver<AskResult>>,
    SchedulerFrame,
) {
    let mut router = ClientState::new(SchedulerClientSettings::default());
    router.first_frame(Hello::default(), now);
    let receivers = request_slots(&mut router, 1..2, now);
    router.next_frame(now);
    let grant = Grant {
        ticket: 1,
        backend: "ea".into(),
        domain: "a".into(),
        ..Grant::default()
    };
    let frame = SchedulerFrame {
        epoch: 1,
        grants: vec![grant],
        ..SchedulerFrame::default()
    };
    (router, receivers, frame)
}

cases! {
    // Guards against an order that holds only for the backend servers known when it arrived.
    first_report_from_an_evacuated_domain_brings_grants => {
        let mut fixture = Fixture::new();
        evacuate(&mut fixture, &["a"]);
        fixture.report(report_in("a"));
        fixture.report(report_in("b"));
        fixture.ask((0..6).map(|_| ask("bench")));
        let (grants, _) = fixture.decide_all();
        expect_that!(grants.iter().map(|g| g.backend.as_str()).collect::<Vec<_>>(), eq(&vec!["eb"; 4]));
        let report = fixture.allocator.describe("i1", fixture.now);
        expect_that!(report.backends[0].state, eq("evacuated"));
    };
    // Guards against requests, waiting ones and new ones, that wait for a domain which takes none although nothing else can
    // serve them, and for the first reports to a new scheduler if every domain is evacuated.
    requests_wait_although_all_their_backend_servers_are_evacuated => {
        for (settling_time, domains) in [(SETTLING_TIME, &["a"][..]), (Duration::ZERO, &["a", "b"])] {
            let mut fixture = Fixture::new();
            fixture.now += settling_time;
            fixture.report(report_in("a"));
            fixture.report(BackendReport { leaving: true, sequence: 1, ..report_in("b") });
            fixture.ask((0..6).map(|_| ask("bench")));
            expect_that!(fixture.decide_all().0, len(eq(4)));
            evacuate(&mut fixture, domains);
            fixture.ask([ask("bench"), Ask { alone: true, ..ask("bench") }]);
            let (_, refusals) = fixture.decide_all();
            let reasons: Vec<_> = refusals.iter().map(Refusal::reason).collect();
            expect_that!(reasons, eq(&vec![Reason::NoBackend; 4]));
            expect_that!(refusals[0].retry_after_ms, gt(0));
        }
    };
    // Guards against a router that uses a grant which crossed the order, or gets the same one again from an outdated scheduler.
    grant_that_crossed_the_order_is_used => {
        let now = Instant::now();
        let (mut router, receivers, frame) = router_and_grant(now);
        router.configure(&evacuated(&["a"]));
        router.apply_frame(frame, now);
        let frame = router.next_frame(now);
        expect_that!((frame.ends.len(), frame.asks.len()), eq((1, 1)));
        expect_that!(frame.asks[0].avoid, eq(&vec!["ea".to_owned()]));
        expect_that!(granted(receivers), len(eq(0)));
    };
    // Guards against a request that leaves after the order because its router lost the scheduler with a slot in hand.
    slot_of_a_disconnected_router_is_used_after_the_order => {
        let now = Instant::now();
        let (mut router, receivers, frame) = router_and_grant(now);
        router.apply_frame(frame, now);
        let grant = granted(receivers).remove(0);
        expect_that!(router.is_excluded(&grant, now), eq(false));
        router.detach(now);
        router.configure(&evacuated(&["a"]));
        expect_that!(router.is_excluded(&grant, now), eq(true));
    };
    // Guards against a router that, cut off from its scheduler, uses slots that it was told of before the order, or that
    // a run in the domain gives back.
    router_without_a_scheduler_uses_an_evacuated_domain => {
        for earlier_runs in [0, 128] {
            let started = Instant::now();
            let now = started + FALLBACK_TIME;
            let mut router = detached_router_of(["a", "b"].map(report_in).into_iter(), started);
            let _runs = request_slots(&mut router, 0..earlier_runs, now);
            router.grant_locally(&Configuration::default(), now);
            (0..earlier_runs).for_each(|ticket| router.release_slot(end(ticket, 20), now));
            let receivers = request_slots(&mut router, 200..204, now);
            router.grant_locally(&evacuated(&["a"]), now);
            let backends: Vec<_> = granted(receivers).into_iter().map(|grant| grant.backend).collect();
            expect_that!(backends, eq(&vec!["eb"; 4]));
        }
    };
    // Guards against requests that wait for a scheduler which could not serve them either.
    router_without_a_scheduler_lets_requests_wait_although_all_domains_are_evacuated => {
        let now = Instant::now();
        let mut router = detached_router_of(["a", "b"].map(report_in).into_iter(), now);
        let _receivers = request_slots(&mut router, 1..2, now);
        router.grant_locally(&evacuated(&["a"]), now);
        expect_that!(router.take_evacuated(), len(eq(0)));
        router.grant_locally(&evacuated(&["a", "b"]), now);
        expect_that!(router.take_evacuated(), len(eq(1)));
    };
}
