use std::rc::Rc;
use std::time::Duration;

use super::Shared;

/// Time between two attempts to use a disk that has failed.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Retries the disk until the replica can resume; returns false if the replica is shut down.
pub async fn recover(shared: &Rc<Shared>) -> bool {
    let mut logged = None;
    while shared.is_halted() {
        if shared.core.borrow().is_closed() {
            return false;
        }
        compio::time::sleep(RETRY_DELAY).await;
        let Err(error) = shared.recover().await else {
            log::info!(target: "control", "the disk is writable again: the replica resumes");
            continue;
        };
        // Repeated failures with the same reason are logged once.
        let reason = error.to_string();
        if logged.as_ref() != Some(&reason) {
            log::warn!(target: "control", "the disk still fails: {reason}");
            logged = Some(reason);
        }
    }
    true
}
