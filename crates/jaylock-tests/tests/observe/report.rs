use googletest::prelude::*;
use jaylock_observe::{BurnReport, Objectives};
use jaylock_rpc::v1::Event;
use jaylock_tests::cases;

use crate::fixtures::{failed_request, now, observer, served_request};

fn events() -> Vec<Event> {
    let event = |at_ms, text: &str| Event {
        index: 1,
        at_ms,
        part: "control".into(),
        text: text.into(),
    };
    vec![
        event(now() - 3_600_000, "long ago"),
        event(now(), "instance b was <lost>"),
    ]
}

fn sample_report() -> BurnReport {
    let observer = observer("a", 1);
    observer.record_request(&served_request("adala"));
    observer.record_request(&failed_request("adala"));
    BurnReport::new(
        observer.burn_minutes(0),
        &Objectives::default().list(),
        now(),
    )
}

cases! {
    table_lists_objectives_and_peaks => {
        let text = sample_report().with_events(&events()).to_table();
        let lines: Vec<&str> = text.lines().collect();
        assert_that!(lines[0], starts_with("ORGANISATION  OBJECTIVE"));
        assert_that!(lines[1], all!(starts_with("adala"), contains_substring("99.9%")));
        assert_that!(text, contains_substring("1 of 2 bad"));
        assert_that!(text, contains_substring("[control] instance b was <lost>"));
        assert_that!(text, not(contains_substring("long ago")));
    };
    page_is_self_contained_and_escapes_text => {
        let page = sample_report().to_html(&events());
        assert_that!(page, starts_with("<!DOCTYPE html>"));
        assert_that!(page, contains_substring("<svg"));
        assert_that!(page, contains_substring("instance b was &lt;lost&gt;"));
        for external in ["http:", "https:", "<script", "src=", "<link"] {
            assert_that!(page, not(contains_substring(external)));
        }
    };
    empty_report_has_only_a_header => {
        let report = BurnReport::new(Vec::new(), &Objectives::default().list(), now());
        assert_that!(report.to_table().lines().count(), eq(1));
    };
}
