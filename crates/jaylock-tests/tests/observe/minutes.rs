use googletest::prelude::*;
use jaylock_rpc::v1::BurnMinute;
use jaylock_tests::cases;

use crate::sample::{START_MS, failed, observer, pass, served};

fn of<'a>(minutes: &'a [BurnMinute], objective: &str, span: u32) -> Vec<&'a BurnMinute> {
    let wanted = |m: &&BurnMinute| m.objective == objective && m.span == span;
    minutes.iter().filter(wanted).collect()
}

cases! {
    only_finished_minutes_are_handed_over_and_each_once => {
        let observer = observer("a", 1);
        observer.record_request(&served("adala"));
        assert_that!(observer.take_finished_minutes(), is_empty());
        pass(1);
        let taken = observer.take_finished_minutes();
        assert_that!(of(&taken, "availability", 1).len(), eq(1));
        assert_that!(of(&taken, "availability", 60).len(), eq(1));
        assert_that!(observer.take_finished_minutes(), is_empty());
    };
    the_total_of_an_hour_grows_with_each_minute => {
        let observer = observer("a", 1);
        observer.record_request(&served("adala"));
        pass(1);
        let _ = observer.take_finished_minutes();
        observer.record_request(&failed("adala"));
        pass(1);
        let taken = observer.take_finished_minutes();
        let hour = of(&taken, "availability", 60);
        assert_that!((hour[0].good, hour[0].bad), eq((1, 1)));
        assert_that!(hour[0].minute, eq(START_MS / 60_000));
    };
    what_was_handed_over_lasts_past_a_restart => {
        let first = observer("a", 1);
        let other = observer("b", 1);
        first.record_request(&failed("adala"));
        pass(1);
        other.store_minutes(first.take_finished_minutes());
        drop(first);
        let restarted = observer("a", 2);
        restarted.record_request(&served("adala"));
        let mut minutes = other.burn_minutes(0);
        minutes.extend(restarted.burn_minutes(0));
        let bad: u64 = of(&minutes, "availability", 1).iter().map(|m| m.bad).sum();
        let good: u64 = of(&minutes, "availability", 1).iter().map(|m| m.good).sum();
        assert_that!((good, bad), eq((1, 1)));
    };
    two_starts_within_one_minute_add_up => {
        let other = observer("b", 1);
        for incarnation in [1, 2] {
            let started = observer("a", incarnation);
            started.record_request(&served("adala"));
            other.store_minutes(started.burn_minutes(0));
        }
        let kept = other.burn_minutes(0);
        let good: u64 = of(&kept, "availability", 1).iter().map(|m| m.good).sum();
        assert_that!(good, eq(2));
    };
    what_nobody_takes_over_is_bounded => {
        let observer = observer("a", 1);
        for _ in 0..300 {
            for shop in 0..4 {
                observer.record_request(&served(&format!("shop-{shop}")));
            }
            pass(1);
        }
        // 300 minutes of 4 organisations with 3 objectives make 7,200 entries.
        assert_that!(observer.take_finished_minutes().len(), eq(4000));
    };
    the_same_entry_is_kept_once_and_the_larger_stays => {
        let one = observer("a", 1);
        let other = observer("b", 1);
        one.record_request(&served("adala"));
        let early = one.burn_minutes(0);
        one.record_request(&served("adala"));
        let late = one.burn_minutes(0);
        other.store_minutes(late.clone());
        other.store_minutes(late);
        other.store_minutes(early);
        let kept = other.burn_minutes(0);
        let kept = of(&kept, "availability", 1);
        assert_that!(kept.len(), eq(1));
        assert_that!(kept[0].good, eq(2));
    };
    single_minutes_are_forgotten_after_six_hours_and_hours_after_three_days => {
        let observer = observer("a", 1);
        observer.record_request(&served("adala"));
        pass(1);
        let _ = observer.take_finished_minutes();
        pass(7 * 60);
        observer.record_request(&served("adala"));
        pass(1);
        let minutes = observer.burn_minutes(0);
        assert_that!(of(&minutes, "availability", 1).len(), eq(1));
        assert_that!(of(&minutes, "availability", 60).len(), eq(2));
        pass(4 * 24 * 60);
        observer.record_request(&served("adala"));
        pass(1);
        assert_that!(of(&observer.burn_minutes(0), "availability", 60).len(), eq(1));
    };
}
