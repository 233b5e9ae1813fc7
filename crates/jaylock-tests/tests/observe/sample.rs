use std::cell::Cell;
use std::time::Duration;

use jaylock_observe::{Observer, ObserverSettings, RequestKind, RequestRecord, RunStatus};
use jaylock_types::{Incarnation, Tokens};

/// Start of an hour, in ms since 1970.
pub const START_MS: u64 = 1_800_000_000_000;
/// A minute, in ms.
pub const MINUTE_MS: u64 = 60_000;

thread_local! {
    static NOW: Cell<u64> = const { Cell::new(START_MS) };
}

/// The time of the test that runs on this thread.
pub fn now() -> u64 {
    NOW.get()
}

/// Moves the time of this test.
pub fn pass(minutes: u64) {
    NOW.set(NOW.get() + minutes * MINUTE_MS);
}

/// An observer under the time of this test.
pub fn observer(instance: &str, incarnation: u64) -> Observer {
    let settings = ObserverSettings {
        incarnation: Incarnation(incarnation),
        clock: now,
        ..ObserverSettings::default()
    };
    Observer::new(&instance.parse().expect("an instance name"), settings)
}

/// A short look-up that was served well.
pub fn served(organisation: &str) -> RequestRecord {
    RequestRecord {
        request: jaylock_types::RequestId::random(),
        organisation: organisation.parse().expect("an organisation name"),
        pool: "main".parse().expect("a pool name"),
        kind: RequestKind::Model,
        status: 200,
        run: RunStatus::Ran,
        is_complete: true,
        tokens: Tokens(8),
        reason: "",
        admission_time: Duration::from_millis(1),
        wait_time: Duration::from_millis(3),
        head_time: Some(Duration::from_millis(2)),
        first_token_time: Some(Duration::from_millis(20)),
        total_time: Duration::from_millis(60),
        attempts: 1,
    }
}

/// The same, ended by an error.
pub fn failed(organisation: &str) -> RequestRecord {
    RequestRecord {
        status: 503,
        is_complete: false,
        first_token_time: None,
        ..served(organisation)
    }
}
