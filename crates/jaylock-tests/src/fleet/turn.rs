use std::sync::{Condvar, Mutex, PoisonError};

/// Fleets that may run at once in one test program, so that tests leave the machine room.
const MOST: usize = 2;

static RUNNING: Mutex<usize> = Mutex::new(0);
static ENDED: Condvar = Condvar::new();

/// The right to run a fleet; it ends when dropped.
pub struct Turn(());

impl Turn {
    /// Waits until few enough fleets run.
    pub fn take() -> Self {
        let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        let waited = ENDED.wait_while(running, |count| *count >= MOST);
        *waited.unwrap_or_else(PoisonError::into_inner) += 1;
        Self(())
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        ENDED.notify_all();
    }
}
