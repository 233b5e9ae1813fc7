//! Departures of backend servers that the replicated log holds, and reports from before them.

use std::time::{Duration, Instant};

use futures_channel::oneshot;
use googletest::prelude::*;
use jaylock_rpc::v1::{BackendReport, Configuration, Departure, Grant, Hello, Instance};
use jaylock_share::{AskResult, ClientState, SchedulerClientSettings};
use jaylock_tests::cases;
use jaylock_types::unix_ms;

use crate::fixture::Fixture;
use crate::fleet::{ask, detached_router, engine_report};

/// Time in which all backend servers have reported to a new scheduler.
const SETTLING_TIME: Duration = Duration::from_secs(4);
/// Time in which a heartbeat from before an end may arrive.
const HEARTBEAT_TIME: Duration = Duration::from_secs(10);
/// Time without a scheduler after which a router grants its own slots.
const FALLBACK_TIME: Duration = Duration::from_secs(1);

/// A configuration with the departure of engine "e1".
fn departed(departure: Departure) -> Configuration {
    let departure = Departure {
        backend: "e1".into(),
        index: 7,
        at_ms: unix_ms(),
        ..departure
    };
    Configuration {
        index: 7,
        departures: vec![departure],
        ..Configuration::default()
    }
}

fn first_start() -> Departure {
    Departure {
        incarnation: 1,
        ..Departure::default()
    }
}

/// A new scheduler that has this configuration.
fn new_scheduler(configuration: &Configuration) -> Fixture {
    let mut fixture = Fixture::new();
    let now = fixture.now;
    fixture.allocator.configure(configuration, now);
    fixture.now += SETTLING_TIME;
    fixture
}

fn report(incarnation: u64, sequence: u64) -> BackendReport {
    BackendReport {
        incarnation,
        sequence,
        ..engine_report("e1", 4)
    }
}

fn gone() -> BackendReport {
    BackendReport {
        gone: true,
        ..report(0, 99)
    }
}

/// The slot that a router without a scheduler grants to a request.
fn local_grant(
    router: &mut ClientState,
    configuration: &Configuration,
    now: Instant,
) -> Option<Grant> {
    let (sender, mut receiver) = oneshot::channel::<AskResult>();
    router.request_slot(ask("bench"), sender, now);
    router.grant_locally(configuration, now + FALLBACK_TIME);
    receiver.try_recv().ok()??.ok()
}

/// What a router tells a new scheduler of engine "e1".
fn told(router: &mut ClientState, now: Instant) -> Vec<(u64, bool)> {
    let reports = router.first_frame(Hello::default(), now).backends;
    reports
        .into_iter()
        .map(|report| (report.incarnation, report.gone))
        .collect()
}

cases! {
    // Guards against a departure that a new scheduler has never heard of, so that a late heartbeat brings the backend server back.
    heartbeat_from_before_a_departure_brings_no_request_to_a_new_scheduler => {
        let mut fixture = new_scheduler(&departed(first_start()));
        fixture.report(report(1, 5));
        expect_that!(fixture.ask_and_decide(ask("bench")), none());
        fixture.report(report(2, 1));
        expect_that!(fixture.ask_and_decide(ask("bench")), some(eq("e1")));
    };

    departure_in_the_log_ends_requests_to_a_known_start_only => {
        let mut fixture = Fixture::new();
        fixture.report(report(1, 5));
        assert_that!(fixture.ask_and_decide(ask("bench")), some(eq("e1")));
        let now = fixture.now;
        fixture.allocator.configure(&departed(first_start()), now);
        expect_that!(fixture.ask_and_decide(ask("bench")), none());
        let mut restarted = Fixture::new();
        restarted.report(report(2, 1));
        let now = restarted.now;
        restarted.allocator.configure(&departed(first_start()), now);
        expect_that!(restarted.ask_and_decide(ask("bench")), some(eq("e1")));
    };

    departure_of_an_unknown_start_holds_while_heartbeats_from_before_may_arrive => {
        let unknown = Departure { unknown: true, ..Departure::default() };
        let mut fixture = new_scheduler(&departed(unknown));
        fixture.report(report(1, 5));
        expect_that!(fixture.ask_and_decide(ask("bench")), none());
        fixture.now += HEARTBEAT_TIME;
        fixture.report(report(1, 6));
        expect_that!(fixture.ask_and_decide(ask("bench")), some(eq("e1")));
    };

    // Guards against a departure that is applied again with each change of the configuration, to a start that came after it.
    departure_of_an_unknown_start_is_applied_once => {
        let mut configuration = departed(Departure { unknown: true, ..Departure::default() });
        let mut fixture = new_scheduler(&configuration);
        fixture.now += HEARTBEAT_TIME;
        fixture.report(report(1, 6));
        configuration.index += 1;
        configuration.instances.push(Instance { id: "i1".into(), ..Instance::default() });
        let now = fixture.now;
        fixture.allocator.configure(&configuration, now);
        expect_that!(fixture.ask_and_decide(ask("bench")), some(eq("e1")));
    };

    departure_from_another_pool_changes_nothing => {
        let other = Departure { pool: "other".into(), ..first_start() };
        let mut fixture = new_scheduler(&departed(other));
        fixture.report(report(1, 5));
        expect_that!(fixture.ask_and_decide(ask("bench")), some(eq("e1")));
    };

    // Guards against a router without a scheduler that sends requests to what has departed meanwhile.
    router_without_a_scheduler_uses_no_slot_of_a_departed_start => {
        let now = Instant::now();
        let configuration = departed(first_start());
        let of = |backend: &str| {
            let mut router = detached_router(&[backend], now);
            local_grant(&mut router, &configuration, now).map(|grant| grant.backend)
        };
        expect_that!(of("e2"), some(eq("e2")));
        expect_that!(of("e1"), none());
    };

    router_refuses_a_grant_at_a_departed_start => {
        let now = Instant::now();
        let mut router = ClientState::new(SchedulerClientSettings::default());
        let grant = |incarnation| Grant { backend: "e1".into(), incarnation, ..Grant::default() };
        router.configure(&departed(first_start()));
        expect_that!((router.is_excluded(&grant(1), now), router.is_excluded(&grant(2), now)), eq((true, false)));
    };

    // Guards against a heartbeat that arrives late and makes a router forget a departure that it was told.
    late_heartbeat_does_not_replace_a_known_departure_at_a_router => {
        let now = Instant::now();
        let mut router = ClientState::new(SchedulerClientSettings::default());
        router.report_backend(report(1, 5), now);
        router.report_backend(gone(), now);
        router.report_backend(report(1, 4), now);
        router.report_backend(report(1, 6), now);
        expect_that!(told(&mut router, now), elements_are![eq(&(1, true))]);
        router.report_backend(report(2, 1), now);
        expect_that!(told(&mut router, now), elements_are![eq(&(2, false))]);
    };

    late_heartbeat_of_an_unknown_start_does_not_replace_a_departure_at_a_router => {
        let now = Instant::now();
        let mut router = ClientState::new(SchedulerClientSettings::default());
        router.report_backend(gone(), now);
        router.report_backend(report(1, 4), now + Duration::from_secs(5));
        expect_that!(told(&mut router, now + Duration::from_secs(5)), elements_are![eq(&(0, true))]);
    };

    // Guards against the end of an earlier start, told by a router that attaches, which ends the start after it for good.
    end_of_an_earlier_start_does_not_end_the_newer_one => {
        let mut fixture = Fixture::new();
        fixture.report(report(2, 1));
        fixture.report(BackendReport { incarnation: 1, age_ms: 3000, ..gone() });
        expect_that!(fixture.ask_and_decide(ask("bench")), some(eq("e1")));
        fixture.report(BackendReport { incarnation: 2, ..gone() });
        expect_that!(fixture.ask_and_decide(ask("bench")), none());
    };
}
