//! Tests of requests that crash backend servers: equal ones are granted at most two.

use std::time::Duration;

use googletest::prelude::*;
use jaylock_rpc::v1::Ask;
use jaylock_rpc::v1::end::Outcome;
use jaylock_tests::cases;

use crate::fixture::Fixture;
use crate::fleet::{ask, engine_report};

/// Time after which a crash no longer counts.
const CRASH_MEMORY: Duration = Duration::from_mins(1);

/// A request that equals all others of this function.
fn equal_ask() -> Ask {
    Ask {
        fingerprint: 7,
        ..ask("bench")
    }
}

fn isolated_ask() -> Ask {
    Ask {
        alone: true,
        ..equal_ask()
    }
}

/// A pool of three engines, two of which run equal requests with the tickets 1 and 2.
fn start_equal_runs() -> Fixture {
    let mut fixture = Fixture::new();
    report_engines(&mut fixture);
    let first = fixture.ask_and_decide(equal_ask());
    let second = fixture.ask_and_decide(equal_ask());
    assert_that!(first.is_some() && second.is_some(), eq(true));
    assert_that!(first, not(eq(&second)));
    fixture
}

fn report_engines(fixture: &mut Fixture) {
    for id in ["e1", "e2", "e3"] {
        fixture.report(engine_report(id, 4));
    }
}

cases! {
    request_that_waits_while_two_equal_ones_crash_is_not_granted => {
        let mut fixture = start_equal_runs();
        fixture.end_as(1, Outcome::Crashed);
        fixture.end_as(2, Outcome::Crashed);
        assert_that!(fixture.ask_and_decide(equal_ask()), none());
        assert_that!(fixture.ask_and_decide(ask("bench")), some(anything()));
    };
    isolated_request_is_not_granted_after_two_crashes => {
        let mut fixture = start_equal_runs();
        fixture.end_as(1, Outcome::Crashed);
        fixture.end_as(2, Outcome::Crashed);
        assert_that!(fixture.ask_and_decide(isolated_ask()), none());
    };
    isolated_request_is_not_granted_beside_an_equal_run => {
        let mut fixture = start_equal_runs();
        fixture.end_as(1, Outcome::Crashed);
        assert_that!(fixture.ask_and_decide(isolated_ask()), none());
        fixture.end_as(2, Outcome::Complete);
        assert_that!(fixture.decide(), some(anything()));
    };
    blocked_isolated_request_lets_others_pass => {
        let mut fixture = start_equal_runs();
        fixture.end_as(1, Outcome::Crashed);
        fixture.end_as(2, Outcome::Crashed);
        assert_that!(fixture.ask_and_decide(isolated_ask()), none());
        let other = Ask { fingerprint: 8, ..isolated_ask() };
        assert_that!(fixture.ask_and_decide(other), some(anything()));
    };
    runs_on_one_crashed_backend_server_count_as_one_crash => {
        let mut fixture = Fixture::new();
        fixture.report(engine_report("e1", 4));
        for _ in 0..3 {
            assert_that!(fixture.ask_and_decide(equal_ask()), some(eq("e1")));
        }
        for ticket in 1..=3 {
            fixture.end_as(ticket, Outcome::Crashed);
        }
        // The backend server has started again and reports, and a second crash there counts too.
        fixture.now += Duration::from_millis(1);
        fixture.report(engine_report("e1", 4));
        assert_that!(fixture.ask_and_decide(equal_ask()), some(eq("e1")));
        fixture.end_as(4, Outcome::Crashed);
        report_engines(&mut fixture);
        assert_that!(fixture.ask_and_decide(equal_ask()), none());
    };
    completed_isolated_run_clears_the_crash => {
        let mut fixture = start_equal_runs();
        fixture.end_as(1, Outcome::Crashed);
        fixture.end_as(2, Outcome::Complete);
        assert_that!(fixture.ask_and_decide(isolated_ask()), some(anything()));
        fixture.end_as(3, Outcome::Complete);
        let backends = [fixture.ask_and_decide(equal_ask()), fixture.ask_and_decide(equal_ask())];
        assert_that!(backends, each(some(anything())));
        assert_that!(backends[0], not(eq(&backends[1])));
    };
    crash_is_forgotten_after_a_time => {
        let mut fixture = start_equal_runs();
        fixture.end_as(1, Outcome::Crashed);
        fixture.end_as(2, Outcome::Crashed);
        fixture.now += CRASH_MEMORY.saturating_sub(Duration::from_millis(1));
        report_engines(&mut fixture);
        assert_that!(fixture.ask_and_decide(equal_ask()), none());
        fixture.now += Duration::from_millis(1);
        assert_that!(fixture.decide(), some(anything()));
    };
}
