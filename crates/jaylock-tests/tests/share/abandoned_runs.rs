//! Requests that crash backend servers after their callers have left, a deadline has passed or another attempt has won.

use std::time::{Duration, Instant};

use futures_channel::oneshot;
use googletest::prelude::*;
use jaylock_rpc::v1::end::Outcome;
use jaylock_rpc::v1::{Ask, BackendReport, Configuration};
use jaylock_share::{AskResult, ClientState};
use jaylock_tests::cases;

use crate::fixture::Fixture;
use crate::fleet::{ask, detached_router, end, engine_report};
use crate::pool::{FATAL_PART, MAX_LATER_RUNS, Pool, SHARED_PART};

/// Time after which callers leave; the backend server crashes 150 ms later.
const PATIENCE: Duration = Duration::from_millis(50);
/// Time between two requests, so that none runs when the one before crashes its backend server.
const INTERVAL: Duration = Duration::from_millis(350);
/// Time after which a router checks a backend server.
const CHECK_DELAY: Duration = Duration::from_secs(1);
/// Digest of a request that comes again.
const DIGEST: u64 = 77;
/// Time without a scheduler after which a router grants its own slots.
const FALLBACK_TIME: Duration = Duration::from_secs(1);

/// Grants to requests with the fatal cause that come too late, and the share of sound ones that are granted in per cent.
fn play(mut pool: Pool) -> (usize, usize) {
    pool.patience = Some(PATIENCE);
    pool.interval = INTERVAL;
    pool.check_delay = Some(CHECK_DELAY);
    pool.run(Duration::from_mins(2), |time| time > Duration::from_secs(5));
    assert_that!(pool.crashes.len(), ge(3));
    let sound = pool.sound_granted * 100 / pool.sound_sent.max(1);
    (pool.late_grants(FATAL_PART), sound)
}

fn call(digest: u64) -> Ask {
    Ask {
        digest,
        objective_ms: 1000,
        ..ask("bench")
    }
}

fn report(id: &str, incarnation: u64) -> BackendReport {
    BackendReport {
        incarnation,
        ..engine_report(id, 4)
    }
}

/// Runs a request at the next backend server until it is given up; returns the backend server.
fn run_and_give_up(fixture: &mut Fixture, outcome: Outcome) -> Option<String> {
    let tickets = fixture.ask([call(DIGEST)]);
    let backend = fixture.decide();
    fixture.now += Duration::from_millis(150);
    fixture.end_as(tickets[0], outcome);
    backend
}

/// A router without a scheduler, and whether it grants itself a slot for the request.
fn is_granted(router: &mut ClientState, ticket: u64, now: Instant) -> bool {
    let (sender, mut receiver) = oneshot::channel::<AskResult>();
    let ask = Ask {
        ticket,
        ..call(DIGEST)
    };
    router.request_slot(ask, sender, now);
    router.grant_locally(&Configuration::default(), now);
    receiver
        .try_recv()
        .is_ok_and(|reply| reply.is_some_and(|granted| granted.is_ok()))
}

cases! {
    // Guards against a run whose caller has left, which is no suspect of the crash a moment later.
    call_whose_callers_leave_crashes_one_backend_server_after_the_other => {
        let (late, sound) = play(Pool::of_calls(6, &[FATAL_PART]));
        expect_that!(late, le(MAX_LATER_RUNS));
        expect_that!(sound, ge(90));
    };
    part_of_prompts_whose_callers_leave_crashes_one_engine_after_the_other => {
        let (late, sound) = play(Pool::new(6, &[FATAL_PART]));
        expect_that!(late, le(MAX_LATER_RUNS));
        expect_that!(sound, ge(90));
    };
    // Guards against a crash that nothing else shows, as no other request runs at the backend server.
    call_whose_callers_leave_crashes_idle_backend_servers_one_after_the_other => {
        let mut pool = Pool::of_calls(6, &[FATAL_PART]);
        pool.sends_sound = false;
        expect_that!(play(pool).0, le(MAX_LATER_RUNS));
    };
    // Guards against a crash of which only another run tells, which is then blamed for it.
    crash_under_another_run_is_attributed_to_the_one_that_was_given_up => {
        let mut fixture = Fixture::new();
        let mut runs = 0;
        for round in 1..10 {
            let backend = format!("e{round}");
            fixture.report(report(&backend, 1));
            runs += usize::from(run_and_give_up(&mut fixture, Outcome::Cancelled).is_some());
            let sound = fixture.ask([call(1000 + round)]);
            expect_that!(fixture.decide(), some(eq(&backend)));
            fixture.now += Duration::from_millis(100);
            fixture.end_as(sound[0], Outcome::Crashed);
            fixture.now += Duration::from_secs(2);
            fixture.allocator.tick(fixture.now);
        }
        expect_that!(runs, le(3));
    };
    // Guards against a crash that shows only when the backend server starts again under its name.
    restart_tells_of_a_crash_after_each_way_to_give_a_run_up => {
        for outcome in [Outcome::Cancelled, Outcome::Broken] {
            let mut fixture = Fixture::new();
            let mut runs = 0;
            for round in 1..30 {
                for id in ["e1", "e2", "e3"] {
                    fixture.report(report(id, round));
                }
                fixture.now += Duration::from_millis(10);
                let granted = run_and_give_up(&mut fixture, outcome);
                runs += usize::from(granted.is_some());
                fixture.now += Duration::from_secs(2);
                fixture.allocator.tick(fixture.now);
            }
            expect_that!(runs, le(3), "{:?}", outcome);
        }
    };
    announced_restarts_tell_of_no_crash => {
        let mut fixture = Fixture::new();
        for round in 1..20 {
            fixture.report(report("e1", round));
            expect_that!(run_and_give_up(&mut fixture, Outcome::Cancelled), some(eq("e1")), "{}", round);
            fixture.now += Duration::from_secs(2);
            fixture.allocator.tick(fixture.now);
            fixture.report(BackendReport { leaving: true, sequence: 1, ..report("e1", round) });
        }
    };
    // Guards against sound requests that are blamed because their callers leave where others crash backend servers.
    sound_requests_whose_callers_leave_are_served_beside_a_fatal_part => {
        let mut pool = Pool::new(6, &[FATAL_PART]);
        let mut next = 0;
        for _ in 0..600 {
            pool.run(Duration::from_millis(200), |_| true);
            next += 1;
            let parts = [SHARED_PART, 100_000 + next % 7];
            pool.give_up_sound(&parts, PATIENCE);
        }
        expect_that!(pool.late_grants(FATAL_PART), le(MAX_LATER_RUNS));
        expect_that!(pool.sound_granted * 100, ge(pool.sound_sent * 90));
    };
    many_abandoned_runs_leave_room_for_the_newest => {
        let mut fixture = Fixture::new();
        for id in ["e1", "e2"] {
            fixture.report(report(id, 1));
        }
        for digest in 1000..7000 {
            let tickets = fixture.ask([call(digest)]);
            fixture.decide();
            fixture.end_as(tickets[0], Outcome::Cancelled);
        }
        let tickets = fixture.ask([call(DIGEST)]);
        let backend = fixture.decide().expect("a grant");
        fixture.end_as(tickets[0], Outcome::Cancelled);
        fixture.end_as(tickets[0], Outcome::Crashed);
        fixture.report(BackendReport { sequence: 9, ..report(&backend, 2) });
        let state = fixture.allocator.describe("i1", fixture.now);
        expect_that!(state.backends.iter().filter(|b| b.state == "ready").count(), eq(2));
    };
    // Guards against a router without a scheduler that grants slots to what crashed backend servers after callers had left.
    router_alone_grants_no_third_slot_to_a_request_that_crashes_after_its_caller_left => {
        let mut now = Instant::now();
        let mut router = detached_router(&["e1", "e2", "e3", "e4"], now);
        now += FALLBACK_TIME;
        let mut granted = 0;
        for ticket in 1..8 {
            now += Duration::from_millis(100);
            if is_granted(&mut router, ticket, now) {
                granted += 1;
                router.release_slot(end_of(ticket, Outcome::Cancelled), now);
                router.report_crash(ticket, now + CHECK_DELAY);
            } else {
                router.cancel(ticket);
            }
        }
        expect_that!(granted, eq(2));
    };
}

fn end_of(ticket: u64, outcome: Outcome) -> jaylock_rpc::v1::End {
    let mut end = end(ticket, 0);
    end.set_outcome(outcome);
    end
}
