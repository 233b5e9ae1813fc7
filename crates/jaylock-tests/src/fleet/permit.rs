use std::sync::{Condvar, Mutex, PoisonError};

/// Maximum number of concurrent fleets in one test program, to bound the load on the machine.
const MAX_FLEETS: usize = 2;

static RUNNING: Mutex<usize> = Mutex::new(0);
static RELEASED: Condvar = Condvar::new();

/// Permission to run a fleet, released when dropped.
pub struct FleetPermit(());

impl FleetPermit {
    /// Waits until fewer than `MAX_FLEETS` fleets run.
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
