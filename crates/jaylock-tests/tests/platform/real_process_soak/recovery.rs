use std::thread;
use std::time::{Duration, Instant};

use super::callers::{Request, read_document};
use super::draft::{Draft, ROUTES};
use super::operator::{self, Reply};
use super::world::World;
use crate::harness::KEY;

/// Time after the last fault in which everything works again.
const RECOVERY_TIME: Duration = Duration::from_secs(12);
/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(50);

/// Checks that a new document is acknowledged, read back and obeyed after all faults.
pub fn check(world: &World) {
    let end = Instant::now() + RECOVERY_TIME;
    let draft = {
        let mut ledger = world.ledger();
        let version = ledger.last_version() + 1;
        let routes = ROUTES[..5].to_vec();
        let draft = Draft {
            routes,
            is_large: true,
            ..Draft::first(version)
        };
        ledger.add(draft.clone());
        draft
    };
    let text = draft.text();
    let mut controls = world.controls.iter().cycle();
    let mut put = || {
        controls
            .next()
            .is_some_and(|c| operator::send(*c, &text) == Reply::Acknowledged)
    };
    if !is_met_by(end, &mut put) {
        world.report("the last document is not acknowledged".into());
        return;
    }
    world.ledger().acknowledge(draft.version);
    for control in &world.controls {
        if !is_met_by(end, || {
            read_document(*control).as_deref() == Some(text.as_str())
        }) {
            world.report(format!("{control} doesn't return the last document"));
        }
    }
    for router in &world.routers {
        for route in ROUTES {
            let request = Request { route, key: KEY };
            if !is_met_by(end, || request.send(*router) == 200) {
                world.report(format!("{router} doesn't serve {route}"));
            }
        }
    }
}

/// Whether a condition is met until a moment; it is checked once at least.
fn is_met_by(end: Instant, mut condition: impl FnMut() -> bool) -> bool {
    loop {
        if condition() {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        thread::sleep(PAUSE);
    }
}
