use googletest::prelude::*;
use jaylock_rpc::v1::BurnMinute;
use jaylock_tests::cases;

use crate::fixtures::{START_MS, advance_minutes, failed_request, observer, served_request};

fn entries<'a>(minutes: &'a [BurnMinute], objective: &str, span: u32) -> Vec<&'a BurnMinute> {
    let wanted = |m: &&BurnMinute| m.objective == objective && m.span == span;
    minutes.iter().filter(wanted).collect()
}

cases! {
    takes_each_finished_minute_once => {
        let observer = observer("a", 1);
        observer.record_request(&served_request("adala"));
        assert_that!(observer.take_finished_minutes(), is_empty());
        advance_minutes(1);
        let taken = observer.take_finished_minutes();
        assert_that!(entries(&taken, "availability", 1).len(), eq(1));
        assert_that!(entries(&taken, "availability", 60).len(), eq(1));
        assert_that!(observer.take_finished_minutes(), is_empty());
    };
    adds_each_minute_to_the_hourly_total => {
        let observer = observer("a", 1);
        observer.record_request(&served_request("adala"));
        advance_minutes(1);
        let _ = observer.take_finished_minutes();
        observer.record_request(&failed_request("adala"));
        advance_minutes(1);
        let taken = observer.take_finished_minutes();
        let hour = entries(&taken, "availability", 60);
        assert_that!((hour[0].good, hour[0].bad), eq((1, 1)));
        assert_that!(hour[0].minute, eq(START_MS / 60_000));
    };
    keeps_replicated_minutes_after_a_restart => {
        let first = observer("a", 1);
        let other = observer("b", 1);
        first.record_request(&failed_request("adala"));
        advance_minutes(1);
        other.store_minutes(first.take_finished_minutes());
        drop(first);
        let restarted = observer("a", 2);
        restarted.record_request(&served_request("adala"));
        let mut minutes = other.burn_minutes(0);
        minutes.extend(restarted.burn_minutes(0));
        let bad: u64 = entries(&minutes, "availability", 1).iter().map(|m| m.bad).sum();
        let good: u64 = entries(&minutes, "availability", 1).iter().map(|m| m.good).sum();
        assert_that!((good, bad), eq((1, 1)));
    };
    sums_two_incarnations_in_one_minute => {
        let other = observer("b", 1);
        for incarnation in [1, 2] {
            let started = observer("a", incarnation);
            started.record_request(&served_request("adala"));
            other.store_minutes(started.burn_minutes(0));
        }
        let kept = other.burn_minutes(0);
        let good: u64 = entries(&kept, "availability", 1).iter().map(|m| m.good).sum();
        assert_that!(good, eq(2));
    };
    limits_minutes_that_wait_for_replication => {
        let observer = observer("a", 1);
        for _ in 0..300 {
            for number in 0..4 {
                observer.record_request(&served_request(&format!("shop-{number}")));
            }
            advance_minutes(1);
        }
        // 300 minutes of 4 organisations with 3 objectives make 7,200 entries.
        assert_that!(observer.take_finished_minutes().len(), eq(4000));
    };
    keeps_the_larger_of_duplicate_entries => {
        let one = observer("a", 1);
        let other = observer("b", 1);
        one.record_request(&served_request("adala"));
        let early = one.burn_minutes(0);
        one.record_request(&served_request("adala"));
        let late = one.burn_minutes(0);
        other.store_minutes(late.clone());
        other.store_minutes(late);
        other.store_minutes(early);
        let kept = other.burn_minutes(0);
        let kept = entries(&kept, "availability", 1);
        assert_that!(kept.len(), eq(1));
        assert_that!(kept[0].good, eq(2));
    };
    expires_minutes_after_6_hours_and_hours_after_3_days => {
        let observer = observer("a", 1);
        observer.record_request(&served_request("adala"));
        advance_minutes(1);
        let _ = observer.take_finished_minutes();
        advance_minutes(7 * 60);
        observer.record_request(&served_request("adala"));
        advance_minutes(1);
        let minutes = observer.burn_minutes(0);
        assert_that!(entries(&minutes, "availability", 1).len(), eq(1));
        assert_that!(entries(&minutes, "availability", 60).len(), eq(2));
        advance_minutes(4 * 24 * 60);
        observer.record_request(&served_request("adala"));
        advance_minutes(1);
        assert_that!(entries(&observer.burn_minutes(0), "availability", 60).len(), eq(1));
    };
}
