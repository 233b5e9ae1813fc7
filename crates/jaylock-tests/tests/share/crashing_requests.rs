//! Tests of calls of plain services that crash each backend server when they are sent again.

use std::time::Duration;

use googletest::prelude::*;
use jaylock_rpc::v1::Configuration;
use jaylock_tests::{cases, seeded_config};
use proptest::proptest;

use crate::pool::{FATAL_PART as FATAL_CALL, MAX_LATER_RUNS, Pool, STEP};

cases! {
    call_that_is_sent_again_crashes_one_backend_server_after_the_other => {
        let mut pool = Pool::of_calls(4, &[FATAL_CALL]);
        pool.run(Duration::from_mins(2), |time| time > Duration::from_secs(5));
        assert_that!(pool.crashes.len(), ge(3));
        assert_that!(pool.late_grants(FATAL_CALL), le(MAX_LATER_RUNS));
        assert_that!(pool.sound_granted * 100, ge(pool.sound_sent * 90));
    };
    second_call_crashes_backend_servers_beside_the_first => {
        let mut pool = Pool::of_calls(4, &[FATAL_CALL, FATAL_CALL + 1]);
        pool.run(Duration::from_mins(2), |time| time > Duration::from_secs(5));
        assert_that!(pool.late_grants(FATAL_CALL), le(MAX_LATER_RUNS));
        assert_that!(pool.late_grants(FATAL_CALL + 1), le(MAX_LATER_RUNS));
        assert_that!(pool.sound_granted * 100, ge(pool.sound_sent * 90));
    };
    new_scheduler_lets_a_call_crash_backend_servers_again => {
        let mut pool = Pool::of_calls(4, &[FATAL_CALL]);
        pool.run(Duration::from_secs(5), |_| false);
        while pool.crashes.len() < 2 {
            pool.run(STEP, |_| true);
        }
        for _ in 0..4 {
            pool.replace_scheduler();
            pool.run(Duration::from_secs(2), |_| true);
            let recorded = pool.fixture.allocator.unrecorded_causes(pool.fixture.now);
            let configuration = Configuration { crash_causes: recorded, ..Configuration::default() };
            pool.fixture.allocator.configure(&configuration, pool.fixture.now);
        }
        pool.run(Duration::from_mins(1), |_| true);
        assert_that!(pool.late_grants(FATAL_CALL), le(MAX_LATER_RUNS));
    };
    calls_crash_on_or_sound_ones_are_refused_in_any_pool => {
        proptest!(seeded_config(24), |(
            backends in 2_usize..9,
            fatal_calls in 1_u64..4,
            interval_ms in 20_u64..2000,
            first_s in 0_u64..10,
        )| {
            let calls: Vec<u64> = (FATAL_CALL..FATAL_CALL + fatal_calls).collect();
            let mut pool = Pool::of_calls(backends, &calls);
            pool.interval = Duration::from_millis(interval_ms);
            pool.check_bounds(Duration::from_secs(80), Duration::from_secs(first_s))?;
        });
    };
}
