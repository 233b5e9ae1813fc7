//! Tests of streams that go on only at the version of backend servers' software that began them.

use std::time::{Duration, Instant};

use futures_channel::oneshot;
use googletest::prelude::*;
use jaylock_rpc::v1::end::Outcome;
use jaylock_rpc::v1::refusal::Reason;
use jaylock_rpc::v1::{Ask, BackendReport, Configuration, Hello, Progress, StreamOrigin};
use jaylock_share::{AskResult, ClientState, SchedulerClientSettings};
use jaylock_tests::cases;
use jaylock_types::{StreamId, Tokens};

use crate::fixture::Fixture;
use crate::fleet::{ask, detached_router_of, end, engine_report};

/// Time in which all backend servers have reported to a new scheduler, and all routers are attached.
const SETTLING_TIME: Duration = Duration::from_secs(4);
/// Time for which callers take streams up.
const RETENTION: Duration = Duration::from_mins(1);
/// Time after which a scheduler forgets a router that is not attached, and longer.
const ROUTER_LEASE: Duration = Duration::from_secs(5);
/// Service of a run after its first event.
pub const FIRST_EVENT: Tokens = Tokens(2);
/// Streams that a test begins.
pub const STREAM_COUNT: usize = 16;

/// A pool with a backend server for each of these versions, named `b0`, `b1` and so on.
fn start_pool(versions: &[&str]) -> Fixture {
    let mut fixture = Fixture::new();
    fixture.now += SETTLING_TIME;
    report_backends(&mut fixture, versions);
    fixture
}

fn report_backends(fixture: &mut Fixture, versions: &[&str]) {
    for (n, software) in versions.iter().enumerate() {
        fixture.report(report(&format!("b{n}"), software));
    }
}

pub fn report(id: &str, software: &str) -> BackendReport {
    BackendReport {
        software: software.into(),
        ..engine_report(id, 64)
    }
}

/// A request that begins a stream.
pub fn begin(request: &str) -> Ask {
    Ask {
        request: request.into(),
        ..ask("bench")
    }
}

/// A request that takes up the stream which another one began.
pub fn take_up(begun_by: &str) -> Ask {
    Ask {
        begun_stream: Some(StreamId::new("bench", begun_by).0),
        ..begin(&format!("after-{begun_by}"))
    }
}

/// A request that takes up a stream without naming the request that began it.
pub fn take_up_unnamed() -> Ask {
    Ask {
        begun_stream: Some(StreamId::UNNAMED.0),
        ..begin("unnamed")
    }
}

/// Starts the only router again, which remembers nothing, after it was away for this time.
fn restart_router(pool: &mut Fixture, away: Duration) {
    pool.allocator.detach(pool.router, pool.now);
    pool.now += away;
    pool.allocator.tick(pool.now);
    let hello = Hello {
        router: "r1".into(),
        incarnation: 2,
        ..Hello::default()
    };
    pool.router = pool.allocator.attach(&hello, pool.now);
}

/// Sends a request, whose run brings an event; returns the backend server that is granted, or why none is.
fn send(fixture: &mut Fixture, request: Ask) -> std::result::Result<String, Option<Reason>> {
    fixture.ask([request]);
    let (grants, refusals) = fixture.decide_all();
    match grants.into_iter().next() {
        Some(grant) => {
            fixture.report_progress(grant.ticket, FIRST_EVENT.0);
            Ok(grant.backend)
        }
        None => Err(refusals.first().map(jaylock_rpc::v1::Refusal::reason)),
    }
}

/// A router that has lost its scheduler and may use a backend server for each of these versions.
fn detached_router(versions: &[&str], now: Instant) -> ClientState {
    let numbered = versions.iter().enumerate();
    let reports = numbered.map(|(n, software)| report(&format!("b{n}"), software));
    detached_router_of(reports, now)
}

/// Asks a router without a scheduler for a run that brings an event; returns the result, if there is one already.
fn ask_locally(router: &mut ClientState, request: Ask, now: Instant) -> Option<AskResult> {
    let (sender, mut receiver) = oneshot::channel();
    router.request_slot(request, sender, now);
    router.grant_locally(&Configuration::default(), now);
    let result = receiver.try_recv().expect("an open channel");
    if let Some(Ok(grant)) = &result {
        let (ticket, tokens) = (grant.ticket, FIRST_EVENT.0);
        router.report_progress(Progress { ticket, tokens }, now);
    }
    result
}

cases! {
    taken_up_stream_is_granted_another_version_than_began_it => {
        let mut pool = start_pool(&["v1", "v2", "v1", "v2"]);
        for n in 0..STREAM_COUNT {
            let request = format!("stream-{n}");
            let begun = send(&mut pool, begin(&request)).expect("a grant");
            let resumed = send(&mut pool, take_up(&request)).expect("a grant");
            let is_even = |id: &str| id == "b0" || id == "b2";
            assert_that!(is_even(&resumed), eq(is_even(&begun)));
        }
    };
    stream_of_another_organisation_with_the_same_request_id_changes_the_version => {
        let mut pool = start_pool(&["v1", "v2"]);
        let begun = send(&mut pool, begin("same")).expect("a grant");
        let other = Ask { organisation: "other".into(), avoid: vec![begun.clone()], ..begin("same") };
        assert_that!(send(&mut pool, other), ok(not(eq(&begun))));
        for _ in 0..STREAM_COUNT {
            assert_that!(send(&mut pool, take_up("same")), ok(eq(&begun)));
        }
    };
    stream_that_began_at_the_second_attempt_goes_on_at_the_version_of_the_first => {
        let mut pool = start_pool(&["v1", "v2"]);
        let first = send(&mut pool, begin("retried")).expect("a grant");
        pool.end_as(1, Outcome::Broken);
        let retry = Ask { avoid: vec![first.clone()], ..begin("retried") };
        let second = send(&mut pool, retry).expect("a grant");
        assert_that!(second, not(eq(&first)));
        assert_that!(send(&mut pool, take_up("retried")), ok(eq(&second)));
    };
    new_streams_take_each_slot_that_a_taken_up_stream_could_use => {
        let mut pool = Fixture::new();
        pool.now += SETTLING_TIME;
        pool.report(BackendReport { slots: 1, ..report("b0", "v1") });
        pool.report(BackendReport { slots: 1, ..report("b1", "v2") });
        for stream in ["one", "two"] {
            send(&mut pool, begin(stream)).expect("a grant");
        }
        let waiting = (0..STREAM_COUNT).map(|n| begin(&format!("new-{n}")));
        pool.ask(waiting);
        let ticket = pool.ask([take_up("one")])[0];
        assert_that!(pool.decide_all().0, is_empty());
        pool.end(1);
        pool.end(2);
        let granted: Vec<u64> = pool.decide_all().0.iter().map(|grant| grant.ticket).collect();
        assert_that!(granted, contains(eq(&ticket)));
    };
    stream_waits_when_the_last_backend_server_of_its_version_has_left => {
        let mut pool = start_pool(&["v1", "v2"]);
        let begun = send(&mut pool, begin("stream")).expect("a grant");
        let left = report(&begun, "v1");
        pool.report(BackendReport { gone: true, ..left });
        assert_that!(send(&mut pool, take_up("stream")), eq(&Err(Some(Reason::NoBackend))));
        assert_that!(send(&mut pool, begin("new")), ok(anything()));
    };
    stream_waits_when_the_only_backend_server_of_its_version_has_broken_it => {
        let mut pool = start_pool(&["v1", "v2"]);
        let begun = send(&mut pool, begin("stream")).expect("a grant");
        let resumed = Ask { avoid: vec![begun], ..take_up("stream") };
        assert_that!(send(&mut pool, resumed), eq(&Err(Some(Reason::NoBackend))));
    };
    newer_start_of_a_backend_server_gets_streams_of_its_earlier_version => {
        let mut pool = start_pool(&["v1", "v2"]);
        let begun = send(&mut pool, begin("stream")).expect("a grant");
        let restarted = BackendReport { incarnation: 2, ..report(&begun, "v3") };
        pool.report(restarted);
        assert_that!(send(&mut pool, take_up("stream")), eq(&Err(Some(Reason::NoBackend))));
    };
    late_heartbeat_brings_back_the_version_of_an_earlier_start => {
        let mut pool = start_pool(&["v1", "v2"]);
        let begun = send(&mut pool, begin("stream")).expect("a grant");
        let software = if begun == "b0" { "v1" } else { "v2" };
        pool.report(BackendReport { incarnation: 2, ..report(&begun, "v3") });
        pool.report(report(&begun, software));
        assert_that!(send(&mut pool, take_up("stream")), eq(&Err(Some(Reason::NoBackend))));
    };
    unnamed_stream_goes_on_at_any_of_two_versions => {
        let mut pool = start_pool(&["v1", "v1"]);
        assert_that!(send(&mut pool, take_up_unnamed()), ok(anything()));
        pool.report(report("b2", "v2"));
        assert_that!(send(&mut pool, take_up_unnamed()), eq(&Err(Some(Reason::UnknownStream))));
    };
    unnamed_stream_goes_on_although_a_second_version_was_there_a_moment_ago => {
        let mut pool = start_pool(&["v1", "v2"]);
        pool.report(BackendReport { gone: true, ..report("b1", "v2") });
        assert_that!(send(&mut pool, take_up_unnamed()), eq(&Err(Some(Reason::UnknownStream))));
        pool.now += RETENTION + SETTLING_TIME;
        pool.report(report("b0", "v1"));
        assert_that!(send(&mut pool, take_up_unnamed()), ok(eq("b0")));
    };
    new_scheduler_lets_streams_go_on_at_any_version => {
        let mut pool = start_pool(&["v1", "v2"]);
        let begun: Vec<String> = (0..STREAM_COUNT)
            .map(|n| send(&mut pool, begin(&format!("stream-{n}"))).expect("a grant"))
            .collect();
        let group = |software: &str, backend: &str| StreamOrigin {
            software: software.into(),
            streams: (0..STREAM_COUNT)
                .filter(|n| begun[*n] == backend)
                .map(|n| StreamId::new("bench", &format!("stream-{n}")).0)
                .collect(),
        };
        let streams = vec![group("v1", "b0"), group("v2", "b1")];
        pool.replace_scheduler(&Hello { router: "r1".into(), streams, ..Hello::default() });
        pool.now += SETTLING_TIME;
        report_backends(&mut pool, &["v1", "v2"]);
        let mut begun: Vec<_> = begun.iter().enumerate().collect();
        begun.sort_by_key(|(_, backend)| *backend);
        for (n, backend) in begun {
            assert_that!(send(&mut pool, take_up(&format!("stream-{n}"))), ok(eq(backend)));
        }
    };
    new_scheduler_guesses_the_version_of_a_stream_that_no_router_lists => {
        let mut pool = start_pool(&["v1"]);
        pool.replace_scheduler(&Hello { router: "r1".into(), ..Hello::default() });
        pool.now += SETTLING_TIME;
        report_backends(&mut pool, &["v1"]);
        assert_that!(send(&mut pool, take_up("lost")), eq(&Err(Some(Reason::UnknownStream))));
        assert_that!(send(&mut pool, begin("new")), ok(anything()));
    };
    new_scheduler_refuses_streams_whose_router_attaches_a_moment_later => {
        let mut pool = start_pool(&["v1", "v2"]);
        pool.replace_scheduler(&Hello { router: "r1".into(), ..Hello::default() });
        report_backends(&mut pool, &["v1", "v2"]);
        assert_that!(send(&mut pool, take_up("stream")), err(none()));
        let listed = StreamOrigin {
            software: "v2".into(),
            streams: vec![StreamId::new("bench", "stream").0],
        };
        let hello = Hello { router: "r2".into(), streams: vec![listed], ..Hello::default() };
        pool.allocator.attach(&hello, pool.now);
        let (grants, _) = pool.decide_all();
        assert_that!(grants.first().map(|g| g.backend.as_str()), some(eq("b1")));
    };
    request_that_was_cancelled_before_its_stream_was_known_is_granted => {
        let mut pool = start_pool(&["v1"]);
        pool.replace_scheduler(&Hello { router: "r1".into(), ..Hello::default() });
        report_backends(&mut pool, &["v1"]);
        let tickets = pool.ask([take_up_unnamed()]);
        pool.cancel(tickets[0]);
        pool.now += SETTLING_TIME;
        assert_that!(pool.decide_all().0, is_empty());
    };
    router_without_a_scheduler_continues_its_streams_at_any_version => {
        let now = Instant::now();
        let mut router = detached_router(&["v1", "v2", "v1", "v2"], now);
        let now = now + Duration::from_secs(1);
        let software = |result: Option<AskResult>| result.map(|r| r.map(|grant| grant.software));
        for n in 0..8 {
            let request = format!("stream-{n}");
            let request = Ask { ticket: 2 * n, ..begin(&request) };
            let resumed = Ask { ticket: 2 * n + 1, ..take_up(&request.request) };
            let begun = software(ask_locally(&mut router, request, now));
            assert_that!(begun, some(ok(anything())));
            router.release_slot(end(2 * n, 20), now);
            assert_that!(software(ask_locally(&mut router, resumed, now)), eq(&begun));
        }
    };
    router_without_a_scheduler_guesses_the_version_of_a_stream => {
        let now = Instant::now();
        let mut router = detached_router(&["v1"], now);
        let now = now + Duration::from_secs(1);
        for (ticket, request) in [(1, take_up("elsewhere")), (2, take_up_unnamed())] {
            assert_that!(ask_locally(&mut router, Ask { ticket, ..request }, now), none());
        }
        assert_that!(router.take_unknown_streams(now), len(eq(2)));
    };
    router_without_a_scheduler_keeps_streams_waiting_for_a_version_that_it_has_not => {
        let now = Instant::now();
        let mut router = detached_router(&["v1"], now);
        let now = now + Duration::from_secs(1);
        let resumed = |ticket, software: &str, served| Ask {
            ticket,
            served,
            software: Some(software.into()),
            ..take_up("stream")
        };
        assert_that!(ask_locally(&mut router, resumed(1, "v1", 0), now), some(ok(anything())));
        assert_that!(ask_locally(&mut router, resumed(2, "v2", 0), now), none());
        // A response that has begun waits for the next scheduler.
        assert_that!(ask_locally(&mut router, resumed(3, "v2", 100), now), none());
        let lost = router.take_lost_streams(now);
        assert_that!(lost.iter().map(|(ticket, _)| *ticket).collect::<Vec<_>>(), eq(&vec![2]));
    };
    router_that_never_had_a_scheduler_keeps_taken_up_streams_waiting => {
        let now = Instant::now();
        let mut router = ClientState::new(SchedulerClientSettings::default());
        router.detach(now);
        let now = now + Duration::from_secs(1);
        assert_that!(ask_locally(&mut router, take_up("elsewhere"), now), none());
        assert_that!(router.take_unknown_streams(now), len(eq(1)));
    };
    router_without_a_scheduler_refuses_own_streams_of_servers_without_versions => {
        let now = Instant::now();
        let mut router = detached_router(&["", ""], now);
        let now = now + Duration::from_secs(1);
        let own = Ask { ticket: 1, ..begin("own") };
        assert_that!(ask_locally(&mut router, own, now), some(ok(anything())));
        let resumed = Ask { ticket: 2, ..take_up("own") };
        assert_that!(ask_locally(&mut router, resumed, now), some(ok(anything())));
        assert_that!(router.take_unknown_streams(now), is_empty());
    };
    router_lists_streams_that_nobody_takes_up_any_more => {
        let mut now = Instant::now();
        let mut router = detached_router(&["v1", "v2"], now);
        now += Duration::from_secs(1);
        for ticket in 0..STREAM_COUNT as u64 {
            ask_locally(&mut router, Ask { ticket, ..begin(&format!("stream-{ticket}")) }, now);
            router.release_slot(end(ticket, 20), now);
        }
        let listed = |router: &mut ClientState, now| {
            let streams = router.first_frame(Hello::default(), now).hello.expect("a hello").streams;
            streams.iter().map(|origin| origin.streams.len()).sum::<usize>()
        };
        assert_that!(listed(&mut router, now), eq(STREAM_COUNT));
        now += RETENTION * 2;
        assert_that!(listed(&mut router, now), eq(0));
    };
    streams_are_joined_from_two_versions_after_all_routers_were_killed => {
        for away in [Duration::from_millis(900), ROUTER_LEASE * 2] {
            let mut pool = start_pool(&["v1", "v2"]);
            let begun: Vec<String> = (0..STREAM_COUNT)
                .map(|n| send(&mut pool, begin(&format!("stream-{n}"))).expect("a grant"))
                .collect();
            restart_router(&mut pool, away);
            report_backends(&mut pool, &["v1", "v2"]);
            for (n, backend) in begun.iter().enumerate() {
                assert_that!(send(&mut pool, take_up(&format!("stream-{n}"))), ok(eq(backend)));
            }
        }
    };
    streams_go_on_at_the_new_version_after_the_old_one_has_left_and_all_routers_were_killed => {
        for away in [Duration::from_millis(900), ROUTER_LEASE * 2] {
            let mut pool = start_pool(&["v1"]);
            send(&mut pool, begin("stream")).expect("a grant");
            pool.report(BackendReport { gone: true, ..report("b0", "v1") });
            restart_router(&mut pool, away);
            pool.report(report("b1", "v2"));
            assert_that!(send(&mut pool, take_up("stream")), eq(&Err(Some(Reason::NoBackend))));
            assert_that!(send(&mut pool, begin("new")), ok(eq("b1")));
            pool.replace_scheduler(&Hello { router: "r1".into(), incarnation: 2, ..Hello::default() });
            pool.now += SETTLING_TIME;
            pool.report(report("b1", "v2"));
            assert_that!(send(&mut pool, take_up("stream")), eq(&Err(Some(Reason::UnknownStream))));
        }
    };
}
