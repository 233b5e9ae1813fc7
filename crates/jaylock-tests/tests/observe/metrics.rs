use googletest::prelude::*;
use jaylock_observe::RunStatus;
use jaylock_tests::cases;

use crate::fixtures::{failed_request, observer, served_request};

/// Number of series in the text exposition format.
fn count_series(text: &str) -> usize {
    text.lines().filter(|l| !l.starts_with('#')).count()
}

cases! {
    counts_requests_by_kind_run_and_status_class => {
        let observer = observer("a", 1);
        observer.record_request(&served_request("adala"));
        observer.record_request(&served_request("adala"));
        let mut refused = failed_request("adala");
        refused.run = RunStatus::NotRun;
        observer.record_request(&refused);
        let text = observer.exposition();
        let line = |run: &str, class: &str, count: u32| {
            let labels = format!("kind=\"model\",run=\"{run}\",status_class=\"{class}\"");
            format!("{{{labels},otel_scope_name=\"jaylock\"}} {count}\n")
        };
        assert_that!(text, contains_substring(line("ran", "2xx", 2)));
        assert_that!(text, contains_substring(line("not-run", "5xx", 1)));
        assert_that!(text, contains_substring("# TYPE jaylock_requests_total counter"));
        assert_that!(text, contains_substring("# TYPE jaylock_first_token_seconds histogram"));
        assert_that!(text, contains_substring("jaylock_control_sent_bytes_total"));
        assert_that!(text, contains_substring("process_resident_memory_bytes"));
        assert_that!(text, contains_substring(
            "{objective=\"availability\",result=\"bad\",otel_scope_name=\"jaylock\"} 1\n"
        ));
    };
    limits_the_series_of_organisations => {
        let observer = observer("a", 1);
        for number in 0..64 {
            observer.record_request(&served_request(&format!("shop-{number}")));
        }
        let before = count_series(&observer.exposition());
        for number in 64..500 {
            observer.record_request(&served_request(&format!("shop-{number}")));
        }
        let text = observer.exposition();
        assert_that!(count_series(&text), eq(before + 1));
        assert_that!(text, contains_substring("organisation=\"other\""));
        assert_that!(text, not(contains_substring("shop-64\"")));
    };
}
