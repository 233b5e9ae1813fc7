//! The tests of the whole workspace, in `tests`, and their shared helpers.

/// Fleets of real processes, their faults and their clients.
pub mod fleet;
mod peer;
mod process;
mod program;
mod small_buffers;

pub use self::fleet::{Fleet, FleetSettings, ORGANISATIONS};
pub use self::peer::SyncOnlyPeer;
pub use self::process::Process;
pub use self::program::program_path;
pub use self::small_buffers::limit_buffers;

use proptest::test_runner::{Config, RngSeed};

/// Seed of every property test, unless `JAYLOCK_SEED` sets another.
const DEFAULT_SEED: u64 = 20_261_203;

/// Returns the configuration of a property test that runs the same cases every time.
///
/// The environment variable `JAYLOCK_SEED` selects other cases.
#[must_use]
pub fn seeded_config(cases: u32) -> Config {
    let seed = std::env::var("JAYLOCK_SEED")
        .ok()
        .and_then(|s| s.parse().ok());
    Config {
        cases,
        rng_seed: RngSeed::Fixed(seed.unwrap_or(DEFAULT_SEED)),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Defines test cases, each of which becomes a test function.
///
/// A synchronous case is `name => block;`. An asynchronous case is `async name => block;` and runs
/// on its own compio runtime.
#[macro_export]
macro_rules! cases {
    () => {};
    (async $name:ident => $body:block; $($rest:tt)*) => {
        #[::googletest::gtest]
        fn $name() {
            compio::runtime::Runtime::new().expect("a runtime").block_on(async $body);
        }
        $crate::cases!($($rest)*);
    };
    ($name:ident => $body:block; $($rest:tt)*) => {
        #[::googletest::gtest]
        fn $name() $body
        $crate::cases!($($rest)*);
    };
}
