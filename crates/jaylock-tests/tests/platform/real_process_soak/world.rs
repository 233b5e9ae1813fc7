use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::Value;

use super::CONTROL_COUNT;
use super::draft::Draft;
use super::ledger::Ledger;
use crate::harness::TestFleet;

/// Time without a fault after which promises with a bound hold.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// What the threads of a run share.
pub struct World {
    /// Addresses of control.
    pub controls: Vec<SocketAddr>,
    /// Addresses of routers for callers.
    pub routers: Vec<SocketAddr>,
    pub counts: Counts,
    ledger: Mutex<Ledger>,
    calm_since: Mutex<Option<Instant>>,
    is_over: AtomicBool,
    violations: Mutex<Vec<String>>,
    record: Mutex<Vec<String>>,
}

/// What was checked in a run.
#[derive(Default)]
pub struct Counts {
    pub reads: AtomicUsize,
    pub requests: AtomicUsize,
    pub calm_requests: AtomicUsize,
    pub served: AtomicUsize,
    pub faults: AtomicUsize,
}

/// Ends the threads of a run when dropped.
pub struct EndOnDrop<'a>(&'a World);

impl World {
    /// Creates the state of a run before its first document.
    pub fn new(fleet: &TestFleet, count: usize) -> Self {
        let controls = (0..CONTROL_COUNT).map(|at| fleet.control_address(at));
        let routers = (CONTROL_COUNT..count).map(|at| fleet.caller_address(at));
        Self {
            controls: controls.collect(),
            routers: routers.collect(),
            counts: Counts::default(),
            ledger: Mutex::new(Ledger::new(Draft::first(1))),
            calm_since: Mutex::default(),
            is_over: AtomicBool::new(false),
            violations: Mutex::default(),
            record: Mutex::default(),
        }
    }

    /// Returns the first document.
    pub fn first_document() -> Value {
        Draft::first(1).document()
    }

    /// Returns the documents that were sent.
    pub fn ledger(&self) -> MutexGuard<'_, Ledger> {
        lock(&self.ledger)
    }

    /// Ends the threads of the run when the returned value is dropped.
    pub fn end_on_drop(&self) -> EndOnDrop<'_> {
        EndOnDrop(self)
    }

    /// Whether the faults and changes are over.
    pub fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    /// Notes that all faults are repaired, or that a fault begins.
    pub fn set_calm(&self, is_calm: bool) {
        *lock(&self.calm_since) = is_calm.then(Instant::now);
    }

    /// Whether there is no fault now.
    pub fn is_calm(&self) -> bool {
        lock(&self.calm_since).is_some()
    }

    /// Whether there was no fault for a while before a moment and none since.
    pub fn is_in_touch(&self, moment: Instant) -> bool {
        lock(&self.calm_since).is_some_and(|since| since + CONTACT_TIME <= moment)
    }

    /// Adds a broken promise.
    pub fn report(&self, text: String) {
        self.note(&format!("broken: {text}"));
        lock(&self.violations).push(text);
    }

    /// Adds a line to the record, with the Unix time in ms.
    pub fn note(&self, text: &str) {
        let time = SystemTime::now().duration_since(UNIX_EPOCH);
        let time = time.map_or(0, |t| t.as_millis());
        lock(&self.record).push(format!("{time} {text}"));
    }

    /// Returns the broken promises.
    pub fn violations(&self) -> Vec<String> {
        lock(&self.violations).clone()
    }

    /// Returns the record.
    pub fn record(&self) -> Vec<String> {
        lock(&self.record).clone()
    }

    /// Returns what was done and checked.
    pub fn summary(&self) -> String {
        let (sent, acknowledged) = self.ledger().counts();
        let Counts {
            reads,
            requests,
            calm_requests,
            served,
            faults,
        } = &self.counts;
        let [reads, requests, calm_requests, served, faults] =
            [reads, requests, calm_requests, served, faults].map(|n| n.load(Ordering::Relaxed));
        format!(
            "{faults} faults, {acknowledged} of {sent} documents acknowledged, {reads} reads, \
             {served} of {requests} requests served, {calm_requests} in touch"
        )
    }
}

impl Counts {
    /// Adds one.
    pub fn add(count: &AtomicUsize) {
        count.fetch_add(1, Ordering::Relaxed);
    }
}

impl Drop for EndOnDrop<'_> {
    fn drop(&mut self) {
        self.0.is_over.store(true, Ordering::Relaxed);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
