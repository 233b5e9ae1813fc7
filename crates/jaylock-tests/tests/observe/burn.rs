use std::time::Duration;

use googletest::prelude::*;
use jaylock_observe::{Alert, BurnReport, Objectives, Observer, RequestRecord, RunStatus};
use jaylock_rpc::v1::BurnMinute;
use jaylock_tests::{cases, seeded_config};
use jaylock_types::Tokens;
use proptest::prelude::*;

use crate::fixtures::{advance_minutes, failed_request, now, observer, served_request};

/// Numbers of good and bad requests for an objective.
fn counts(observer: &Observer, objective: &str) -> (u64, u64) {
    let minutes = observer.burn_minutes(0);
    let own = minutes
        .iter()
        .filter(|m| m.objective == objective && m.span == 1);
    own.fold((0, 0), |(good, bad), m| (good + m.good, bad + m.bad))
}

/// The numbers after one request, a served one with a change.
fn counts_with(change: impl Fn(&mut RequestRecord), objective: &str) -> (u64, u64) {
    let observer = observer("a", 1);
    let mut record = served_request("adala");
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
    counts_a_complete_response_as_good => {
        assert_that!(counts_with(|_| (), "availability"), eq((1, 0)));
    };
    counts_a_broken_stream_with_status_200_as_bad => {
        assert_that!(counts_with(|r| r.is_complete = false, "availability"), eq((0, 1)));
    };
    counts_an_unknown_outcome_with_status_409_as_bad => {
        let change = |r: &mut RequestRecord| {
            r.is_complete = false;
            r.status = 409;
            r.run = RunStatus::Unknown;
        };
        assert_that!(counts_with(change, "availability"), eq((0, 1)));
    };
    ignores_client_errors_and_hang_ups => {
        for status in [401, 422, 429, 499] {
            let change = |r: &mut RequestRecord| {
                r.is_complete = false;
                r.status = status;
                r.run = RunStatus::NotRun;
            };
            assert_that!(counts_with(change, "availability"), eq((0, 0)));
        }
    };
    counts_a_late_first_token_as_bad => {
        let change = |r: &mut RequestRecord| r.first_token_time = Some(Duration::from_secs(2));
        assert_that!(counts_with(change, "first_token"), eq((0, 1)));
    };
    evaluates_short_and_long_requests_separately => {
        let long = |r: &mut RequestRecord| {
            r.tokens = Tokens(5000);
            r.wait_time = Duration::from_secs(30);
        };
        assert_that!(counts_with(long, "short_wait"), eq((0, 0)));
        assert_that!(counts_with(long, "completion"), eq((1, 0)));
        let short = |r: &mut RequestRecord| r.wait_time = Duration::from_secs(30);
        assert_that!(counts_with(short, "short_wait"), eq((0, 1)));
        assert_that!(counts_with(short, "completion"), eq((0, 0)));
    };
    reports_a_recent_failure_as_fast_burn_with_its_peak => {
        let observer = observer("a", 1);
        for _ in 0..90 {
            observer.record_request(&served_request("adala"));
        }
        advance_minutes(4);
        for _ in 0..10 {
            observer.record_request(&failed_request("adala"));
        }
        let report = report(observer.burn_minutes(0));
        let line = &report.lines[0];
        assert_that!(line.objective.name.as_str(), eq("availability"));
        assert_that!((line.total, line.bad), eq((100, 10)));
        // 10 of 100 requests are bad; the target permits 1 of 1000.
        assert_that!(line.rates, each(near(100.0, 1e-6)));
        assert_that!(line.budget_left, near(-99.0, 1e-6));
        assert_that!(line.alert, eq(Alert::Fast));
        assert_that!(line.p50.as_millis(), eq(60_u128).or(eq(61)).or(eq(63)));
        assert_that!(line.peaks.len(), eq(1));
        assert_that!((line.peaks[0].bad, line.peaks[0].total), eq((10, 10)));
    };
    counts_an_old_failure_in_long_windows_only => {
        let observer = observer("a", 1);
        observer.record_request(&failed_request("adala"));
        advance_minutes(120);
        for _ in 0..99 {
            observer.record_request(&served_request("adala"));
        }
        let report = report(observer.burn_minutes(0));
        assert_that!(rate(&report, 0), near(0.0, 1e-9));
        assert_that!(rate(&report, 1), near(0.0, 1e-9));
        assert_that!(rate(&report, 2), near(10.0, 1e-6));
        assert_that!(rate(&report, 3), near(10.0, 1e-6));
        assert_that!(report.lines[0].alert, eq(Alert::Drift));
    };
    report_does_not_depend_on_the_instance_of_an_entry => {
        proptest!(seeded_config(32), |(
            bad in proptest::collection::vec(proptest::bool::ANY, 1..40),
            order in proptest::collection::vec(0..3_usize, 1..40),
        )| {
            let instances = [observer("a", 1), observer("b", 1), observer("c", 1)];
            for (index, is_bad) in bad.iter().enumerate() {
                let record = if *is_bad { failed_request("adala") } else { served_request("adala") };
                instances[order[index % order.len()]].record_request(&record);
                if index % 5 == 4 {
                    advance_minutes(1);
                    for sender in 0..3 {
                        let minutes = instances[sender].take_finished_minutes();
                        instances[(sender + 1) % 3].store_minutes(minutes.clone());
                        instances[(sender + 2) % 3].store_minutes(minutes);
                    }
                }
            }
            let all = instances.iter().flat_map(|i| i.burn_minutes(0)).collect();
            let report = report(all);
            let expected = bad.iter().filter(|b| **b).count() as u64;
            prop_assert_eq!(report.lines[0].bad, expected);
            prop_assert_eq!(report.lines[0].total, bad.len() as u64);
        });
    };
}
