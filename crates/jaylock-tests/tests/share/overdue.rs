//! Requests at a router that has no scheduler and can't serve them in time.

use std::time::{Duration, Instant};

use futures_channel::oneshot;
use googletest::prelude::*;
use jaylock_rpc::v1::{Ask, Configuration, Hello};
use jaylock_share::{AskResult, ClientState, SchedulerClientSettings};
use jaylock_tests::cases;

use crate::fleet::ask;

/// Objective of the requests; half of it is the longest wait.
const OBJECTIVE_MS: u32 = 800;

/// A router whose scheduler is lost at `now`.
fn lost_scheduler(now: Instant) -> ClientState {
    let mut router = ClientState::new(SchedulerClientSettings::default());
    router.first_frame(Hello::default(), now);
    router.detach(now);
    router
}

fn request(router: &mut ClientState, ask: Ask, now: Instant) -> oneshot::Receiver<AskResult> {
    let (sender, receiver) = oneshot::channel();
    router.request_slot(ask, sender, now);
    receiver
}

fn prompt(ticket: u64) -> Ask {
    Ask {
        ticket,
        objective_ms: OBJECTIVE_MS,
        ..ask("bench")
    }
}

/// Tickets that are refused this long after the loss of the scheduler, if the requests arrived at the loss.
fn refused_after(ms: u64, asks: Vec<Ask>) -> Vec<u64> {
    let start = Instant::now();
    let mut router = lost_scheduler(start);
    let receivers = asks.into_iter().map(|ask| request(&mut router, ask, start));
    let _receivers: Vec<_> = receivers.collect();
    let now = start + Duration::from_millis(ms);
    router.grant_locally(&Configuration::default(), now);
    let overdue = router.take_overdue(now);
    overdue.into_iter().map(|(ticket, _)| ticket).collect()
}

cases! {
    // Guards against requests that wait for seconds at a router without a scheduler until the next one refuses them, while their
    // connections fill the router.
    requests_beyond_the_slots_of_a_router_without_a_scheduler_are_refused_after_half_of_their_objective => {
        assert_that!(refused_after(450, vec![prompt(1)]), is_empty());
        assert_that!(refused_after(550, vec![prompt(1), prompt(2)]), elements_are![eq(&1), eq(&2)]);
    };
    // Guards against an objective that counts anew at each attempt of a request.
    time_that_a_request_waited_before_counts => {
        let fresh = Ask { objective_ms: 2000, ..prompt(1) };
        let before = Ask { waited_ms: 800, ticket: 2, ..fresh.clone() };
        assert_that!(refused_after(510, vec![fresh, before]), elements_are![eq(&2)]);
    };
    // Guards against a response that is cut as it waits for the next scheduler, and against refusals where no objective is known.
    response_that_has_begun_and_request_without_an_objective_wait => {
        let begun = Ask { served: 20, ..prompt(1) };
        let unlimited = Ask { objective_ms: 0, ..prompt(2) };
        assert_that!(refused_after(3000, vec![begun, unlimited]), is_empty());
    };
    // Guards against callers who all return at the same moment, and before there is a scheduler.
    callers_return_spread_over_the_time_after_the_next_scheduler_is_expected => {
        let start = Instant::now();
        let router = lost_scheduler(start);
        let now = start + Duration::from_millis(600);
        let delays = [0.0, 0.5, 1.0].map(|position| router.return_delay_ms(position, now));
        assert_that!(delays, eq([1900, 2400, 2900]));
        let late = start + Duration::from_secs(9);
        assert_that!(router.return_delay_ms(0.5, late), eq(500));
    };
}
