use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

use super::draft::Draft;
use super::world::World;
use crate::harness::send_call_within;

/// Time after which an operator asks another instance.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time in which a document is acknowledged by control that works.
const ACKNOWLEDGEMENT_TIME: Duration = Duration::from_secs(4);
/// Further time for each route.
const ROUTE_TIME: Duration = Duration::from_millis(3);
/// Pause before a document is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Pause between two documents in a calm span.
const CALM_PAUSE: Duration = Duration::from_millis(3500);
/// Longest time for which a document is sent again.
const MAX_PATIENCE: Duration = Duration::from_secs(15);

/// Response to a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    Acknowledged,
    Refused(u16),
    Unclear,
}

/// Sends documents until the run is over.
pub fn run(world: &World, mut rng: SmallRng) {
    while !world.is_over() {
        match rng.random_range(0..14) {
            0 => send_invalid(world, &mut rng),
            1 => send_other_content(world, &mut rng),
            2 => send_again(world, &mut rng),
            _ => send_next(world, &mut rng),
        }
        pause(world, &mut rng);
    }
}

/// Sends a document to an instance.
pub fn send(control: SocketAddr, text: &str) -> Reply {
    let answer = send_call_within(control, "PUT", "/-/config", text, CALL_TIMEOUT);
    match answer.map_or(0, |a| a.status) {
        200 => Reply::Acknowledged,
        408 | 429 => Reply::Unclear,
        status @ 400..500 => Reply::Refused(status),
        _ => Reply::Unclear,
    }
}

fn send_next(world: &World, rng: &mut SmallRng) {
    let draft = world.ledger().draw_next(rng);
    let patience = MAX_PATIENCE.mul_f64(rng.random_range(0.1..=1.0));
    let Draft { version, .. } = draft;
    let text = draft.text();
    let started = Instant::now();
    let limit = ACKNOWLEDGEMENT_TIME + ROUTE_TIME * u32::try_from(draft.added_count()).unwrap_or(0);
    while !world.is_over() && started.elapsed() < patience {
        let control = *world.controls.choose(rng).expect("an instance");
        let reply = send(control, &text);
        world.note(&format!(
            "document {version}, {} bytes, to {control}: {reply:?}",
            text.len()
        ));
        match reply {
            Reply::Acknowledged => {
                world.ledger().acknowledge(version);
                return;
            }
            Reply::Refused(status) => {
                world.report(format!("valid document {version} is refused with {status}"));
                return;
            }
            Reply::Unclear => thread::sleep(RETRY_PAUSE),
        }
        if world.is_in_touch(started) && started.elapsed() > limit {
            world.report(format!(
                "document {version} is not acknowledged within {limit:?}"
            ));
            return;
        }
    }
}

/// Sends a document once more that was acknowledged.
fn send_again(world: &World, rng: &mut SmallRng) {
    let draft = world.ledger().draw_acknowledged(rng).clone();
    let control = *world.controls.choose(rng).expect("an instance");
    let reply = send(control, &draft.text());
    world.note(&format!(
        "document {} again to {control}: {reply:?}",
        draft.version
    ));
    if let Reply::Refused(status) = reply {
        world.report(format!(
            "document {} is refused again with {status}",
            draft.version
        ));
    }
}

/// Sends other content under a version that was acknowledged.
fn send_other_content(world: &World, rng: &mut SmallRng) {
    let draft = world.ledger().draw_acknowledged(rng).clone();
    let control = *world.controls.choose(rng).expect("an instance");
    let reply = send(control, &draft.other_content());
    world.note(&format!(
        "other content as {} to {control}: {reply:?}",
        draft.version
    ));
}

/// Sends an invalid document under a version of its own.
fn send_invalid(world: &World, rng: &mut SmallRng) {
    let version = world.ledger().draw_version(rng);
    let text = Draft::first(version).draw_invalid(rng);
    let control = *world.controls.choose(rng).expect("an instance");
    let reply = send(control, &text);
    world.note(&format!(
        "invalid document {version} to {control}: {reply:?}"
    ));
    if reply == Reply::Acknowledged {
        world.report(format!(
            "invalid document {version} is acknowledged: {text}"
        ));
    }
}

/// Waits for a short time in a span of faults and for a longer one in a calm span.
fn pause(world: &World, rng: &mut SmallRng) {
    if !world.is_calm() {
        thread::sleep(Duration::from_millis(rng.random_range(0..300)));
        return;
    }
    let end = Instant::now() + CALM_PAUSE;
    while world.is_calm() && !world.is_over() && Instant::now() < end {
        thread::sleep(RETRY_PAUSE);
    }
}
