use std::rc::Rc;
use std::time::Duration;

use super::Shared;

/// Time between two trials of a disk that has failed.
const TRIAL_PAUSE: Duration = Duration::from_millis(500);

/// Tries the disk until the replica can take part again; false once it is closed.
pub async fn recover(shared: &Rc<Shared>) -> bool {
    let mut told = None;
    while shared.is_halted() {
        if shared.core.borrow().is_closed() {
            return false;
        }
        compio::time::sleep(TRIAL_PAUSE).await;
        let Err(error) = shared.recover().await else {
            log::info!(target: "control", "the disk can be written again: the replica takes part");
            continue;
        };
        // The same reason each time is told once.
        let reason = error.to_string();
        if told.as_ref() != Some(&reason) {
            log::warn!(target: "control", "the disk was tried in vain: {reason}");
            told = Some(reason);
        }
    }
    true
}
