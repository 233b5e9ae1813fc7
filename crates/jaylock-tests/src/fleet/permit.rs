use std::sync::{Condvar, Mutex, PoisonError};

/// Fleets that may run at once in one test program, so that tests leave the machine room.
const MAX_FLEETS: usize = 2;

static RUNNING: Mutex<usize> = Mutex::new(0);
static RELEASED: Condvar = Condvar::new();

/// The right to run a fleet; it ends when dropped.
pub struct FleetPermit(());

impl FleetPermit {
    /// Waits until few enough fleets run.
    pub fn acquire() -> Self {
        let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        let running = RELEASED.wait_while(running, |count| *count >= MAX_FLEETS);
        *running.unwrap_or_else(PoisonError::into_inner) += 1;
        Self(())
    }
}

impl Drop for FleetPermit {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        RELEASED.notify_all();
    }
}
