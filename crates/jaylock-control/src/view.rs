use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::oneshot;
use jaylock_rpc::v1::{Change, Configuration, WatchReply};
use jaylock_types::{Index, Revision, boottime_now};

use crate::state;

/// The configuration in force at this instance; clones share it.
#[derive(Clone, Default)]
pub struct ConfigView {
    shared: Rc<Shared>,
}

#[derive(Default)]
struct Shared {
    current: RefCell<Rc<Configuration>>,
    waiting: RefCell<Vec<oneshot::Sender<()>>>,
    /// When being connected ends; the instance is cut off without one.
    connected: Cell<Option<Instant>>,
}

impl ConfigView {
    /// The newest configuration that was offered.
    #[must_use]
    pub fn current(&self) -> Rc<Configuration> {
        self.shared.current.borrow().clone()
    }

    /// Log index of the last change in force; 0 before the first one.
    #[must_use]
    pub fn index(&self) -> Index {
        Index(self.shared.current.borrow().index)
    }

    /// Count of operators' changes in force.
    #[must_use]
    pub fn revision(&self) -> Revision {
        Revision(self.shared.current.borrow().revision)
    }

    /// Puts a configuration in force, unless it is not newer than the current one.
    ///
    /// Returns whether it was taken.
    #[must_use = "an older configuration is not taken"]
    pub fn update(&self, configuration: Configuration) -> bool {
        if Index(configuration.index) <= self.index() {
            return false;
        }
        *self.shared.current.borrow_mut() = Rc::new(configuration);
        for waiter in self.shared.waiting.take() {
            let _ = waiter.send(());
        }
        true
    }

    /// Puts in force what a watch brought; false when it does not fit what is in force.
    ///
    /// Older changes are passed over, for another instance may have brought a newer configuration meanwhile.
    #[must_use = "changes that do not fit call for the whole configuration"]
    pub fn follow(&self, reply: &WatchReply) -> bool {
        if let Some(whole) = &reply.whole {
            let _ = self.update(whole.clone());
        }
        let newer = |c: &&Change| Index(c.index) > self.index();
        for change in reply.changes.iter().filter(newer) {
            let Some(next) = state::apply_change(&self.current(), change) else {
                return false;
            };
            let _ = self.update(next);
        }
        true
    }

    /// Waits until a configuration newer than `index` is in force.
    pub async fn wait_newer_than(&self, index: Index) -> Rc<Configuration> {
        while self.index() <= index {
            let (sender, receiver) = oneshot::channel();
            self.shared.waiting.borrow_mut().push(sender);
            let _ = receiver.await;
        }
        self.current()
    }

    /// Whether control or a majority of the other instances was heard lately.
    ///
    /// While it is false, the instance admits no request.
    #[must_use]
    pub fn is_connected(&self) -> bool {
        let end = self.shared.connected.get();
        end.is_some_and(|end| boottime_now() < end)
    }

    /// Notes that the instance is connected, or that it is cut off.
    pub fn set_connected(&self, connected: bool) {
        let end = connected.then(|| boottime_now() + LONGEST);
        self.shared.connected.set(end);
    }

    /// Notes until when the instance counts as connected by what it has heard; an earlier moment
    /// than the one that is known changes nothing.
    ///
    /// A process that was frozen past that moment is cut off from its first step on.
    pub fn stay_connected(&self, end: Instant) {
        let known = self.shared.connected.get();
        self.shared.connected.set(known.max(Some(end)));
    }
}

/// Stands for a time without end.
const LONGEST: Duration = Duration::from_hours(24);
