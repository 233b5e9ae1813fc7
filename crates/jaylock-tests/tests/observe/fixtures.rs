use std::cell::Cell;
use std::time::Duration;

use jaylock_observe::{Observer, ObserverSettings, RequestKind, RequestRecord, RunStatus};
use jaylock_types::{Incarnation, Tokens};

/// Start of an hour, in ms since the Unix epoch.
pub const START_MS: u64 = 1_800_000_000_000;
pub const MINUTE_MS: u64 = 60_000;

thread_local! {
    static NOW: Cell<u64> = const { Cell::new(START_MS) };
}

/// The simulated time of the test on this thread.
pub fn now() -> u64 {
    NOW.get()
}

/// Advances the simulated time.
pub fn advance_minutes(minutes: u64) {
    NOW.set(NOW.get() + minutes * MINUTE_MS);
}

/// Creates an observer with the simulated time.
pub fn observer(instance: &str, incarnation: u64) -> Observer {
    let settings = ObserverSettings {
        incarnation: Incarnation(incarnation),
        clock: now,
        ..ObserverSettings::default()
    };
    Observer::new(&instance.parse().expect("an instance name"), settings)
}

/// A short request that met all objectives.
pub fn served_request(organisation: &str) -> RequestRecord {
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

/// A request that ended with an error.
pub fn failed_request(organisation: &str) -> RequestRecord {
    RequestRecord {
        status: 503,
        is_complete: false,
        first_token_time: None,
        ..served_request(organisation)
    }
}
