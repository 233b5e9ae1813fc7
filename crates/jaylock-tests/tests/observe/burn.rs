use std::time::Duration;

use googletest::prelude::*;
use jaylock_observe::{Alert, BurnReport, Objectives, Observer, RequestRecord, RunStatus};
use jaylock_rpc::v1::BurnMinute;
use jaylock_tests::{cases, seeded};
use jaylock_types::Tokens;
use proptest::prelude::*;

use crate::sample::{failed, now, observer, pass, served};

/// Good and bad counts of an objective at one observer.
fn counts(observer: &Observer, objective: &str) -> (u64, u64) {
    let minutes = observer.burn_minutes(0);
    let own = minutes
        .iter()
        .filter(|m| m.objective == objective && m.span == 1);
    own.fold((0, 0), |(good, bad), m| (good + m.good, bad + m.bad))
}

fn judged(change: impl Fn(&mut RequestRecord), objective: &str) -> (u64, u64) {
    let observer = observer("a", 1);
    let mut record = served("adala");
    change(&mut record);
    observer.record_request(&record);
    counts(&observer, objective)
}

fn report(minutes: Vec<BurnMinute>) -> BurnReport {
    BurnReport::new(minutes, &Objectives::default().list(), now())
}

fn rate(report: &BurnReport, window: usize) -> f64 {
    let line = report
        .lines
        .iter()
        .find(|l| l.objective.name == "availability");
    line.expect("a line").rates[window]
}

cases! {
    a_whole_answer_is_good => {
        assert_that!(judged(|_| (), "availability"), eq((1, 0)));
    };
    a_broken_stream_is_bad_though_its_status_was_200 => {
        assert_that!(judged(|r| r.is_complete = false, "availability"), eq((0, 1)));
    };
    an_unknown_outcome_is_bad_though_its_status_is_409 => {
        let change = |r: &mut RequestRecord| {
            r.is_complete = false;
            r.status = 409;
            r.run = RunStatus::Unknown;
        };
        assert_that!(judged(change, "availability"), eq((0, 1)));
    };
    a_caller_who_floods_or_hangs_up_burns_nothing => {
        for status in [401, 422, 429, 499] {
            let change = |r: &mut RequestRecord| {
                r.is_complete = false;
                r.status = status;
                r.run = RunStatus::NotRun;
            };
            assert_that!(judged(change, "availability"), eq((0, 0)));
        }
    };
    a_late_first_token_is_bad => {
        let change = |r: &mut RequestRecord| r.first_token_time = Some(Duration::from_secs(2));
        assert_that!(judged(change, "first_token"), eq((0, 1)));
    };
    short_and_long_work_have_objectives_of_their_own => {
        let long = |r: &mut RequestRecord| {
            r.tokens = Tokens(5000);
            r.wait_time = Duration::from_secs(30);
        };
        assert_that!(judged(long, "short_wait"), eq((0, 0)));
        assert_that!(judged(long, "completion"), eq((1, 0)));
        let short = |r: &mut RequestRecord| r.wait_time = Duration::from_secs(30);
        assert_that!(judged(short, "short_wait"), eq((0, 1)));
        assert_that!(judged(short, "completion"), eq((0, 0)));
    };
    a_failure_of_the_last_minutes_burns_fast_and_is_named => {
        let observer = observer("a", 1);
        for _ in 0..90 {
            observer.record_request(&served("adala"));
        }
        pass(4);
        for _ in 0..10 {
            observer.record_request(&failed("adala"));
        }
        let report = report(observer.burn_minutes(0));
        let line = &report.lines[0];
        assert_that!(line.objective.name.as_str(), eq("availability"));
        assert_that!((line.total, line.bad), eq((100, 10)));
        // 10 in 100 are bad where 1 in 1000 may be.
        assert_that!(line.rates, each(near(100.0, 1e-6)));
        assert_that!(line.budget_left, near(-99.0, 1e-6));
        assert_that!(line.alert, eq(Alert::Fast));
        assert_that!(line.p50.as_millis(), eq(60_u128).or(eq(61)).or(eq(63)));
        assert_that!(line.peaks.len(), eq(1));
        assert_that!((line.peaks[0].bad, line.peaks[0].total), eq((10, 10)));
    };
    an_old_failure_burns_only_over_the_long_windows => {
        let observer = observer("a", 1);
        observer.record_request(&failed("adala"));
        pass(120);
        for _ in 0..99 {
            observer.record_request(&served("adala"));
        }
        let report = report(observer.burn_minutes(0));
        assert_that!(rate(&report, 0), near(0.0, 1e-9));
        assert_that!(rate(&report, 1), near(0.0, 1e-9));
        assert_that!(rate(&report, 2), near(10.0, 1e-6));
        assert_that!(rate(&report, 3), near(10.0, 1e-6));
        assert_that!(report.lines[0].alert, eq(Alert::Drift));
    };
    the_sum_does_not_depend_on_who_holds_what => {
        proptest!(seeded(32), |(
            bad in proptest::collection::vec(proptest::bool::ANY, 1..40),
            order in proptest::collection::vec(0..3_usize, 1..40),
        )| {
            let instances = [observer("a", 1), observer("b", 1), observer("c", 1)];
            for (place, is_bad) in bad.iter().enumerate() {
                let record = if *is_bad { failed("adala") } else { served("adala") };
                instances[order[place % order.len()]].record_request(&record);
                if place % 5 == 4 {
                    pass(1);
                    for giver in 0..3 {
                        let minutes = instances[giver].take_finished_minutes();
                        instances[(giver + 1) % 3].store_minutes(minutes.clone());
                        instances[(giver + 2) % 3].store_minutes(minutes);
                    }
                }
            }
            let all = instances.iter().flat_map(|i| i.burn_minutes(0)).collect();
            let report = report(all);
            let wanted = bad.iter().filter(|b| **b).count() as u64;
            prop_assert_eq!(report.lines[0].bad, wanted);
            prop_assert_eq!(report.lines[0].total, bad.len() as u64);
        });
    };
}
