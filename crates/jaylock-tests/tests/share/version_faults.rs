//! Streams of a pool with several software versions under faults.

use googletest::prelude::*;
use jaylock_tests::cases;

use crate::version_world::World;

/// Requests from which shares are compared.
const MIN_COUNT: u32 = 12;

cases! {
    streams_hold_events_of_two_versions_under_faults => {
        for seed in 0..seed_count() {
            let world = World::new(seed).run();
            assert_that!(world.mixed, is_empty(), "seed {seed}");
        }
    };
    taken_up_streams_are_served_less_than_half_as_often_as_new_ones_under_faults => {
        for seed in 0..seed_count() {
            check_shares(seed, World::new(seed).run());
        }
    };
    streams_hold_events_of_two_versions_while_routers_are_out_of_step => {
        for seed in 0..seed_count() {
            let world = World::out_of_step(seed).run();
            assert_that!(world.mixed, is_empty(), "seed {seed}");
        }
    };
    taken_up_streams_are_served_less_than_half_as_often_as_new_ones_while_routers_are_out_of_step => {
        for seed in 0..seed_count() {
            check_shares(seed, World::out_of_step(seed).run());
        }
    };
}

/// Checks that taken up streams are served at least half as often as new ones.
fn check_shares(seed: u64, world: World) {
    let World { begun, resumed, .. } = world;
    let is_enough = resumed.asked >= MIN_COUNT;
    let (own, other) = (resumed.served * begun.asked, begun.served * resumed.asked);
    assert_that!(
        !is_enough || own * 2 >= other,
        eq(true),
        "seed {seed}: {resumed:?} of {begun:?}"
    );
}

/// Seeds of a run; the environment variable `JAYLOCK_SEEDS` sets another number.
fn seed_count() -> u64 {
    let count = std::env::var("JAYLOCK_SEEDS").ok();
    count.and_then(|text| text.parse().ok()).unwrap_or(4)
}
