//! Tests of backend servers that tell a router in a response to send them nothing.

use std::time::{Duration, Instant};

use futures_channel::oneshot;
use googletest::prelude::*;
use jaylock_rpc::v1::end::Outcome;
use jaylock_rpc::v1::refusal::Reason;
use jaylock_rpc::v1::{Ask, BackendReport, Exclusion, Grant, Hello, RouterFrame, SchedulerFrame};
use jaylock_share::{ClientState, RouterKey, SchedulerClientSettings};
use jaylock_tests::cases;
use jaylock_types::Notice;

use crate::fixture::Fixture;
use crate::fleet::{ask, detached_router, engine_report, grant_locally};

/// Pause that a backend server asks for.
const PAUSE: Duration = Duration::from_secs(2);

/// Time in which all backend servers have reported to a new scheduler.
const SETTLING_TIME: Duration = Duration::from_secs(4);

/// A shorter pause, which the same backend server asks for in a later response.
const SHORT_PAUSE: Duration = Duration::from_millis(500);

/// Time for which a router remembers that a backend server leaves, and longer.
const FORGOTTEN: Duration = Duration::from_mins(11);

const LEAVING: Notice = Notice {
    limit: None,
    is_leaving: true,
    pause: None,
    cold: Duration::ZERO,
    work_time: None,
};

const PAUSED: Notice = Notice {
    limit: None,
    is_leaving: false,
    pause: Some(PAUSE),
    cold: Duration::ZERO,
    work_time: None,
};

const PAUSED_SHORTLY: Notice = Notice {
    limit: None,
    is_leaving: false,
    pause: Some(SHORT_PAUSE),
    cold: Duration::ZERO,
    work_time: None,
};

/// Applies what a backend server told a router.
fn exclude(fixture: &mut Fixture, router: RouterKey, backend: &str, pause: Option<Duration>) {
    let pause_ms = pause.map(|pause| u32::try_from(pause.as_millis()).expect("a short pause"));
    let exclusion = Exclusion {
        backend: backend.into(),
        incarnation: 1,
        pause_ms,
    };
    let frame = RouterFrame {
        exclusions: vec![exclusion],
        ..RouterFrame::default()
    };
    fixture.allocator.apply(router, frame, fixture.now);
}

/// Lets two engines report, which are named e1 and e2.
fn report_two(fixture: &mut Fixture) {
    for id in ["e1", "e2"] {
        fixture.report(engine_report(id, 4));
    }
}

/// A router that waits for a grant under its scheduler, with the receiver of the grant.
fn waiting_router(now: Instant) -> (ClientState, oneshot::Receiver<jaylock_share::AskResult>) {
    let mut router = ClientState::new(SchedulerClientSettings::default());
    router.first_frame(Hello::default(), now);
    let (sender, receiver) = oneshot::channel();
    router.request_slot(
        Ask {
            ticket: 1,
            ..ask("bench")
        },
        sender,
        now,
    );
    router.next_frame(now);
    (router, receiver)
}

fn frame_with_grant(incarnation: u64) -> SchedulerFrame {
    let grant = Grant {
        ticket: 1,
        backend: "e1".into(),
        address: "127.0.0.1:1".into(),
        incarnation,
        ..Grant::default()
    };
    SchedulerFrame {
        epoch: 1,
        grants: vec![grant],
        ..SchedulerFrame::default()
    }
}

fn numbered_ask(ticket: u64) -> Ask {
    Ask {
        ticket,
        ..ask("bench")
    }
}

cases! {
    leaving_backend_server_is_used_as_its_heartbeat_says_ready => {
        let mut fixture = Fixture::new();
        fixture.report(engine_report("e1", 4));
        let router = fixture.router;
        exclude(&mut fixture, router, "e1", None);
        assert_that!(fixture.ask_and_decide(ask("bench")), none());
        fixture.now += Duration::from_millis(500);
        fixture.report(engine_report("e1", 4));
        assert_that!(fixture.decide(), none());
        // The next start under the same name is another one.
        fixture.report(BackendReport { incarnation: 2, ..engine_report("e1", 4) });
        assert_that!(fixture.decide(), some(eq("e1")));
    };
    router_gets_slots_at_a_backend_server_that_asked_it_for_a_pause => {
        let mut fixture = Fixture::new();
        report_two(&mut fixture);
        let router = fixture.router;
        exclude(&mut fixture, router, "e1", Some(PAUSE));
        for _ in 0..4 {
            assert_that!(fixture.ask_and_decide(ask("bench")), some(eq("e2")));
        }
        fixture.now += PAUSE;
        report_two(&mut fixture);
        assert_that!(fixture.ask_and_decide(ask("bench")), some(eq("e1")));
    };
    pause_for_one_router_excludes_the_others => {
        let mut fixture = Fixture::new();
        fixture.report(engine_report("e1", 4));
        let other = fixture.allocator.attach(&Hello { router: "r2".into(), ..Hello::default() }, fixture.now);
        exclude(&mut fixture, other, "e1", Some(PAUSE));
        assert_that!(fixture.ask_and_decide(ask("bench")), some(eq("e1")));
    };
    requests_wait_for_backend_servers_that_are_all_paused => {
        let mut fixture = Fixture::new();
        fixture.report(engine_report("e1", 4));
        let router = fixture.router;
        exclude(&mut fixture, router, "e1", Some(PAUSE));
        fixture.ask([ask("bench")]);
        let (grants, refusals) = fixture.decide_all();
        assert_that!(grants.len(), eq(0));
        let refusal = refusals.first().expect("a refusal");
        assert_that!(refusal.reason(), eq(Reason::Overloaded));
        assert_that!(refusal.retry_after_ms, ge(2000));
    };
    grant_in_flight_is_used_at_an_excluded_backend_server => {
        for notice in [LEAVING, PAUSED] {
            let now = Instant::now();
            let (mut router, mut receiver) = waiting_router(now);
            router.report_notice("e1", 1, &notice, 1.0, now);
            router.apply_frame(frame_with_grant(1), now);
            assert_that!(receiver.try_recv().expect("a waiting request").is_none(), eq(true));
            let frame = router.next_frame(now);
            assert_that!((frame.ends.len(), frame.asks.len(), frame.exclusions.len()), eq((1, 1, 1)));
        }
    };
    new_start_of_a_leaving_backend_server_is_excluded => {
        let now = Instant::now();
        let (mut router, mut receiver) = waiting_router(now);
        router.report_notice("e1", 1, &LEAVING, 1.0, now);
        router.apply_frame(frame_with_grant(2), now);
        assert_that!(receiver.try_recv().expect("a reply").is_some(), eq(true));
    };
    router_without_a_scheduler_uses_an_excluded_backend_server => {
        let now = Instant::now();
        let mut router = detached_router(&["e1", "e2"], now);
        let now = now + Duration::from_secs(1);
        router.report_notice("e1", 1, &LEAVING, 1.0, now);
        router.report_notice("e2", 1, &PAUSED, 1.0, now);
        assert_that!(grant_locally(&mut router, numbered_ask(1), now), eq(false));
        assert_that!(grant_locally(&mut router, numbered_ask(2), now + PAUSE), eq(true));
    };
    new_scheduler_is_not_told_of_excluded_backend_servers => {
        let now = Instant::now();
        let mut router = ClientState::new(SchedulerClientSettings::default());
        router.report_notice("e1", 1, &LEAVING, 1.0, now);
        router.report_notice("e2", 1, &PAUSED, 1.0, now);
        let later = now + Duration::from_millis(500);
        let excluded = router.first_frame(Hello::default(), later).exclusions;
        let pauses: Vec<_> = excluded.iter().map(|e| e.pause_ms).collect();
        assert_that!(pauses, elements_are![none(), some(eq(&1500))]);
    };
    request_waits_although_the_last_backend_server_has_left => {
        let mut fixture = Fixture::new();
        fixture.now += SETTLING_TIME;
        report_two(&mut fixture);
        fixture.report(BackendReport { leaving: true, sequence: 1, ..engine_report("e1", 4) });
        fixture.ask([numbered_ask(1)]);
        assert_that!(fixture.decide_all().0, len(eq(1)));
        fixture.report(BackendReport { gone: true, ..engine_report("e2", 4) });
        fixture.ask([numbered_ask(2)]);
        let reasons: Vec<Reason> = fixture.decide_all().1.iter().map(jaylock_rpc::v1::Refusal::reason).collect();
        assert_that!(reasons, eq(&vec![Reason::NoBackend]));
    };
    request_is_refused_at_once_although_its_backend_server_has_only_crashed => {
        let mut fixture = Fixture::new();
        fixture.now += SETTLING_TIME;
        fixture.report(engine_report("e1", 4));
        let ticket = fixture.ask([numbered_ask(1)])[0];
        fixture.decide_all();
        fixture.end_as(ticket, Outcome::Crashed);
        fixture.ask([numbered_ask(2)]);
        let (grants, refusals) = fixture.decide_all();
        assert_that!((grants.len(), refusals.len()), eq((0, 0)));
    };
    pause_ends_the_exclusion_of_a_leaving_backend_server => {
        let now = Instant::now();
        let mut router = detached_router(&["e1"], now);
        router.report_notice("e1", 1, &LEAVING, 1.0, now);
        router.report_notice("e1", 1, &PAUSED, 1.0, now);
        assert_that!(grant_locally(&mut router, numbered_ask(1), now + PAUSE * 2), eq(false));
    };
    later_refusal_with_a_shorter_time_ends_the_pause_of_a_router => {
        let now = Instant::now();
        let mut router = detached_router(&["e1"], now);
        router.report_notice("e1", 1, &PAUSED, 1.0, now);
        router.report_notice("e1", 1, &PAUSED_SHORTLY, 1.0, now);
        assert_that!(grant_locally(&mut router, numbered_ask(1), now + PAUSE / 2), eq(false));
        assert_that!(grant_locally(&mut router, numbered_ask(2), now + PAUSE), eq(true));
    };
    later_refusal_with_a_shorter_time_shortens_what_a_new_scheduler_is_told => {
        let now = Instant::now();
        let mut router = ClientState::new(SchedulerClientSettings::default());
        router.report_notice("e1", 1, &PAUSED, 1.0, now);
        router.report_notice("e1", 1, &PAUSED_SHORTLY, 1.0, now);
        let excluded = router.first_frame(Hello::default(), now + PAUSE / 2).exclusions;
        let pauses: Vec<_> = excluded.iter().map(|e| e.pause_ms).collect();
        assert_that!(pauses, elements_are![some(eq(&1000))]);
    };
    later_refusal_with_a_shorter_time_ends_the_pause_at_the_scheduler => {
        let mut fixture = Fixture::new();
        report_two(&mut fixture);
        let router = fixture.router;
        exclude(&mut fixture, router, "e1", Some(PAUSE));
        exclude(&mut fixture, router, "e1", Some(SHORT_PAUSE));
        fixture.now += PAUSE / 2;
        report_two(&mut fixture);
        for _ in 0..4 {
            assert_that!(fixture.ask_and_decide(ask("bench")), some(eq("e2")));
        }
    };
    pause_of_an_earlier_start_excludes_the_next_one_at_the_scheduler => {
        let mut fixture = Fixture::new();
        fixture.report(engine_report("e1", 4));
        let router = fixture.router;
        exclude(&mut fixture, router, "e1", Some(PAUSE));
        fixture.report(BackendReport { incarnation: 2, ..engine_report("e1", 4) });
        assert_that!(fixture.ask_and_decide(ask("bench")), some(eq("e1")));
    };
    pause_is_ignored_after_a_forgotten_exclusion => {
        let now = Instant::now();
        let mut router = detached_router(&["e1"], now);
        router.report_notice("e1", 1, &LEAVING, 1.0, now);
        let later = now + FORGOTTEN;
        router.report_notice("e1", 1, &PAUSED, 1.0, later);
        assert_that!(grant_locally(&mut router, numbered_ask(1), later), eq(false));
    };
    exclusions_of_backend_servers_that_are_gone_are_kept_for_ever => {
        let now = Instant::now();
        let mut router = ClientState::new(SchedulerClientSettings::default());
        for n in 0..100 {
            router.report_notice(&format!("e{n}"), 1, &PAUSED, 1.0, now + PAUSE * n);
        }
        assert_that!(format!("{router:?}").matches("Paused").count(), le(1));
    };
}
