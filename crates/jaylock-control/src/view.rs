use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_channel::oneshot;
use jaylock_rpc::v1::{Change, Configuration, WatchReply};
use jaylock_types::{Index, Revision, boottime_now};
use prost::Message;

use crate::state;

/// The active configuration of this instance; clones share it.
#[derive(Clone, Default)]
pub struct ConfigView {
    shared: Rc<Shared>,
}

#[derive(Default)]
struct Shared {
    current: RefCell<Rc<Configuration>>,
    waiters: RefCell<Vec<oneshot::Sender<()>>>,
    /// Until when the instance counts as connected; `None` while it is disconnected.
    connected_until: Cell<Option<Instant>>,
}

impl ConfigView {
    /// The active configuration.
    #[must_use]
    pub fn current(&self) -> Rc<Configuration> {
        self.shared.current.borrow().clone()
    }

    /// Log index of the newest change in the active configuration; 0 before the first one.
    #[must_use]
    pub fn index(&self) -> Index {
        Index(self.shared.current.borrow().index)
    }

    /// Number of changes by operators that the active configuration includes.
    #[must_use]
    pub fn revision(&self) -> Revision {
        Revision(self.shared.current.borrow().revision)
    }

    /// Makes a configuration the active one if it is newer than the current one.
    ///
    /// Returns whether the configuration was newer.
    #[must_use = "an older configuration is ignored"]
    pub fn update(&self, configuration: Configuration) -> bool {
        if Index(configuration.index) <= self.index() {
            return false;
        }
        *self.shared.current.borrow_mut() = Rc::new(configuration);
        self.wake_waiters();
        true
    }

    fn wake_waiters(&self) {
        for waiter in self.shared.waiters.take() {
            let _ = waiter.send(());
        }
    }

    /// Applies the changes of a watch; returns false if a change can't be read or doesn't fit the active configuration.
    ///
    /// Older changes are skipped, as another instance may have sent a newer configuration meanwhile.
    #[must_use = "after changes that don't fit, the full configuration must be requested"]
    pub fn apply_changes(&self, reply: WatchReply) -> bool {
        if let Some(whole) = reply.whole {
            let Ok(configuration) = Configuration::decode(whole) else {
                return false;
            };
            let _ = self.update(configuration);
        }
        reply
            .changes
            .into_iter()
            .all(|change| self.apply_change(change))
    }

    fn apply_change(&self, encoding: Bytes) -> bool {
        let Ok(change) = Change::decode(encoding) else {
            return false;
        };
        if Index(change.index) <= self.index() {
            return true;
        }
        let applied = state::apply_change(&mut self.shared.current.borrow_mut(), &change);
        if applied.is_some() {
            self.wake_waiters();
        }
        applied.is_some()
    }

    /// Waits until a configuration newer than `index` is active.
    pub async fn wait_newer_than(&self, index: Index) -> Rc<Configuration> {
        while self.index() <= index {
            let _ = self.add_waiter().await;
        }
        self.current()
    }

    /// Adds a waiter for the next update; drops those that were cancelled whenever the list is full.
    fn add_waiter(&self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let mut waiters = self.shared.waiters.borrow_mut();
        if waiters.len() == waiters.capacity() {
            waiters.retain(|waiter| !waiter.is_canceled());
            // Room for as many again, so that the cost of a waiter stays constant on average.
            let live = waiters.len();
            waiters.reserve(live.max(MIN_WAITERS));
        }
        waiters.push(sender);
        receiver
    }

    /// Whether the instance recently had contact with control or a majority of a sample of instances.
    ///
    /// A disconnected instance admits no requests.
    #[must_use]
    pub fn is_connected(&self) -> bool {
        let end = self.shared.connected_until.get();
        end.is_some_and(|end| boottime_now() < end)
    }

    /// Sets whether the instance is connected.
    pub fn set_connected(&self, is_connected: bool) {
        let end = is_connected.then(|| boottime_now() + FAR_FUTURE);
        self.shared.connected_until.set(end);
    }

    /// Extends the time until which the instance counts as connected; an earlier time has no effect.
    ///
    /// A process that was suspended beyond that time is disconnected as soon as it resumes.
    pub fn extend_connected(&self, end: Instant) {
        let current_end = self.shared.connected_until.get();
        self.shared.connected_until.set(current_end.max(Some(end)));
    }
}

/// Least number of waiters for which the list gets room.
const MIN_WAITERS: usize = 16;
/// Duration that stands for an unlimited time.
const FAR_FUTURE: Duration = Duration::from_hours(24);
