use googletest::prelude::*;
use jaylock_observe::{BurnReport, Objectives};
use jaylock_rpc::v1::Event;
use jaylock_tests::cases;

use crate::sample::{failed, now, observer, served};

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

fn sample() -> BurnReport {
    let observer = observer("a", 1);
    observer.record_request(&served("adala"));
    observer.record_request(&failed("adala"));
    BurnReport::new(
        observer.burn_minutes(0),
        &Objectives::default().list(),
        now(),
    )
}

cases! {
    the_table_has_a_line_for_each_objective_and_names_the_moments => {
        let text = sample().with_events(&events()).to_table();
        let lines: Vec<&str> = text.lines().collect();
        assert_that!(lines[0], starts_with("ORGANISATION  OBJECTIVE"));
        assert_that!(lines[1], all!(starts_with("adala"), contains_substring("99.9%")));
        assert_that!(text, contains_substring("1 of 2 bad"));
        assert_that!(text, contains_substring("[control] instance b was <lost>"));
        assert_that!(text, not(contains_substring("long ago")));
    };
    the_page_loads_nothing_and_escapes_what_it_shows => {
        let page = sample().to_html(&events());
        assert_that!(page, starts_with("<!DOCTYPE html>"));
        assert_that!(page, contains_substring("<svg"));
        assert_that!(page, contains_substring("instance b was &lt;lost&gt;"));
        for outside in ["http:", "https:", "<script", "src=", "<link"] {
            assert_that!(page, not(contains_substring(outside)));
        }
    };
    a_report_of_nothing_is_just_its_head => {
        let report = BurnReport::new(Vec::new(), &Objectives::default().list(), now());
        assert_that!(report.to_table().lines().count(), eq(1));
    };
}
