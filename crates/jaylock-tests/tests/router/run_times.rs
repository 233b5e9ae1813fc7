//! What a stopping router begins: nothing that may not be repeated and could not end in time.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use jaylock_router::{Lifecycle, RunPlan, RunTimes};
use jaylock_tests::cases;

/// Time from the start of the shutdown until requests are cancelled, longer than any test lasts.
const DRAIN_TIME: Duration = Duration::from_mins(10);
/// Time within which a decision that is due is taken.
const DECISION_TIME: Duration = Duration::from_millis(50);

/// Whether a request that waits without end is refused while the shutdown's first phase lasts.
async fn is_refused(needed: Option<Duration>, deadline: Duration) -> bool {
    let lifecycle = Lifecycle::default();
    lifecycle.begin_shutdown(Instant::now() + DRAIN_TIME);
    let plan = RunPlan {
        deadline: Instant::now() + deadline,
        needed,
    };
    let waiting = lifecycle.wait_to_start(plan, std::future::pending::<()>());
    compio::time::timeout(DECISION_TIME, waiting).await == Ok(None)
}

cases! {
    async request_that_may_not_be_repeated_is_refused_if_it_could_be_cut => {
        expect_that!(is_refused(Some(DRAIN_TIME * 2), DRAIN_TIME * 3).await, eq(true));
        expect_that!(is_refused(Some(Duration::MAX), DRAIN_TIME * 3).await, eq(true));
    };
    async request_that_ends_in_time_is_begun => {
        expect_that!(is_refused(Some(DRAIN_TIME / 2), DRAIN_TIME * 3).await, eq(false));
        expect_that!(is_refused(Some(Duration::MAX), DRAIN_TIME / 2).await, eq(false));
    };
    async request_that_may_be_repeated_is_begun_in_the_first_phase => {
        expect_that!(is_refused(None, DRAIN_TIME * 3).await, eq(false));
    };
    async request_is_refused_in_the_second_phase_unless_its_deadline_is_near => {
        let lifecycle = Lifecycle::default();
        lifecycle.begin_shutdown(Instant::now() + DRAIN_TIME);
        lifecycle.refuse_requests();
        let outcome = async |deadline: Duration| {
            let plan = RunPlan { deadline: Instant::now() + deadline, needed: None };
            let waiting = lifecycle.wait_to_start(plan, std::future::pending::<()>());
            compio::time::timeout(DECISION_TIME, waiting).await
        };
        expect_that!(outcome(DRAIN_TIME * 2).await, eq(Ok(None)));
        expect_that!(outcome(DRAIN_TIME / 2).await.is_err(), eq(true));
    };
    longest_run_of_each_route_is_known_for_a_while => {
        let (times, start) = (RunTimes::default(), Instant::now());
        let (short, long) = (Duration::from_millis(20), Duration::from_secs(3));
        let after = |seconds| start + Duration::from_secs(seconds);
        times.record("a", long, after(0));
        times.record("a", short, after(1));
        times.record("b", short, after(1));
        expect_that!(times.longest("a", after(59)), some(eq(long)));
        expect_that!(times.longest("b", after(59)), some(eq(short)));
        expect_that!(times.longest("c", after(59)), none());
        times.record("a", short, after(70));
        expect_that!(times.longest("a", after(80)), some(eq(long)));
        times.record("a", short, after(135));
        expect_that!(times.longest("a", after(140)), some(eq(short)));
        expect_that!(times.longest("b", after(140)), none());
    };
}
