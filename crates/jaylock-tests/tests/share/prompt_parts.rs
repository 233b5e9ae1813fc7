//! Tests of parts of prompts that crash each engine which begins to answer them.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use jaylock_rpc::v1::end::Outcome;
use jaylock_rpc::v1::{Ask, Configuration, End, PromptPart};
use jaylock_tests::{cases, seeded_config};
use proptest::proptest;

use crate::fleet::{ask, detached_router, end, grant_locally};
use crate::pool::{FATAL_PART, MAX_LATER_RUNS, Pool, SHARED_PART, STEP};

cases! {
    // Guards against a bound on the parts of a prompt beyond which none is counted, cleared or refused.
    part_among_all_that_a_head_holds_crashes_one_engine_after_the_other => {
        for further_parts in [1, 40, 8000] {
            let mut pool = Pool::new(6, &[FATAL_PART]);
            pool.further_parts = further_parts;
            pool.run(Duration::from_mins(1), |time| time > Duration::from_secs(5));
            expect_that!(pool.crashes.len(), ge(3));
            expect_that!(pool.late_grants(FATAL_PART), le(MAX_LATER_RUNS), "{} parts", further_parts);
            expect_that!(pool.sound_granted * 100, ge(pool.sound_sent * 90), "{} parts", further_parts);
        }
    };
    part_of_prompts_that_crashes_engines_is_sent_to_one_engine_after_the_other => {
        let mut pool = Pool::new(12, &[FATAL_PART]);
        pool.run(Duration::from_mins(1), |time| time > Duration::from_secs(5));
        assert_that!(pool.late_grants(FATAL_PART), le(MAX_LATER_RUNS));
    };
    sound_prompts_are_refused_beside_a_part_that_crashes_engines => {
        let mut pool = Pool::new(12, &[FATAL_PART]);
        pool.run(Duration::from_mins(1), |time| time > Duration::from_secs(5));
        assert_that!(pool.sound_granted * 100, ge(pool.sound_sent * 95));
    };
    engines_crash_on_from_the_start_when_no_prompt_was_answered_before => {
        let mut pool = Pool::new(3, &[FATAL_PART]);
        pool.run(Duration::from_mins(1), |_| true);
        assert_that!(pool.late_grants(FATAL_PART), le(MAX_LATER_RUNS));
        assert_that!(pool.sound_granted * 2, ge(pool.sound_sent));
    };
    second_part_that_crashes_engines_hides_behind_the_first => {
        let mut pool = Pool::new(12, &[FATAL_PART, FATAL_PART + 1]);
        pool.run(Duration::from_mins(1), |time| time > Duration::from_secs(5));
        assert_that!(pool.late_grants(FATAL_PART), le(MAX_LATER_RUNS));
        assert_that!(pool.late_grants(FATAL_PART + 1), le(MAX_LATER_RUNS));
        assert_that!(pool.sound_granted * 100, ge(pool.sound_sent * 95));
    };
    part_that_was_answered_before_crashes_engines_for_ever => {
        let mut pool = Pool::new(12, &[]);
        pool.sound_parts = vec![SHARED_PART, FATAL_PART];
        pool.run(Duration::from_secs(5), |_| false);
        pool.sound_parts = vec![SHARED_PART];
        pool.fatal_parts = vec![FATAL_PART];
        pool.run(Duration::from_mins(1), |_| true);
        assert_that!(pool.late_grants(FATAL_PART), le(MAX_LATER_RUNS));
        assert_that!(pool.sound_granted * 100, ge(pool.sound_sent * 95));
    };
    trials_after_quarantines_crash_an_engine_a_minute => {
        let mut pool = Pool::new(12, &[FATAL_PART]);
        (pool.interval, pool.step) = (Duration::from_secs(1), Duration::from_millis(50));
        pool.run(Duration::from_mins(20), |time| time > Duration::from_secs(5));
        assert_that!(pool.late_grants(FATAL_PART), le(MAX_LATER_RUNS));
    };
    sound_prompts_are_refused_after_engines_ended_together => {
        let mut pool = Pool::new(12, &[]);
        for _ in 0..4 {
            pool.run(Duration::from_secs(5), |_| false);
            let engines = pool.engines[..6].to_vec();
            for engine in engines {
                pool.crash(&engine, None);
            }
        }
        pool.run(Duration::from_secs(5), |_| false);
        assert_that!(pool.sound_granted * 100, ge(pool.sound_sent * 95));
    };
    new_scheduler_counts_the_crashes_of_a_part_from_the_beginning => {
        let mut pool = Pool::new(12, &[FATAL_PART]);
        pool.run(Duration::from_secs(5), |_| false);
        while pool.crashes.len() < 2 {
            pool.run(STEP, |_| true);
        }
        pool.replace_scheduler();
        pool.run(Duration::from_mins(1), |_| true);
        assert_that!(pool.late_grants(FATAL_PART), le(MAX_LATER_RUNS));
        assert_that!(pool.sound_granted * 100, ge(pool.sound_sent * 90));
    };
    new_scheduler_grants_slots_to_prompts_in_quarantine => {
        let mut pool = Pool::new(12, &[FATAL_PART]);
        pool.run(Duration::from_secs(10), |time| time > Duration::from_secs(5));
        let crashes = pool.crashes.len();
        let recorded = pool.fixture.allocator.unrecorded_causes(pool.fixture.now);
        assert_that!(recorded, len(eq(1)));
        pool.forget_crashes();
        pool.replace_scheduler();
        let configuration = Configuration { crash_causes: recorded, ..Configuration::default() };
        pool.fixture.allocator.configure(&configuration, pool.fixture.now);
        pool.run(Duration::from_secs(30), |_| true);
        assert_that!(pool.crashes.len(), eq(crashes));
    };
    engines_crash_on_or_sound_prompts_are_refused_in_any_pool => {
        proptest!(seeded_config(24), |(
            engines in 1_usize..16,
            fatal_parts in 1_u64..4,
            interval_ms in 20_u64..2000,
            first_s in 0_u64..10,
        )| {
            let parts: Vec<u64> = (FATAL_PART..FATAL_PART + fatal_parts).collect();
            let mut pool = Pool::new(engines, &parts);
            pool.interval = Duration::from_millis(interval_ms);
            pool.check_bounds(Duration::from_secs(40), Duration::from_secs(first_s))?;
        });
    };
    one_crash_under_two_prompts_blocks_their_part_without_a_scheduler => {
        let now = Instant::now();
        let mut router = detached_router(&["e1", "e2"], now);
        let now = now + Duration::from_secs(1);
        let shared = PromptPart { hash: SHARED_PART, tokens: 100 };
        let request = |ticket| Ask { ticket, parts: vec![shared, shared], ..ask("bench") };
        for ticket in 1..=2 {
            assert_that!(grant_locally(&mut router, request(ticket), now), eq(true));
        }
        for ticket in 1..=2 {
            router.release_slot(End { outcome: Outcome::Crashed.into(), ..end(ticket, 0) }, now);
        }
        assert_that!(grant_locally(&mut router, request(3), now), eq(true));
    };
}
