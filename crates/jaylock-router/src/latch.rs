use std::cell::{Cell, RefCell};

use futures_channel::oneshot;

/// Number of waiters below which those that stopped waiting are not removed.
const MIN_PRUNED_WAITERS: usize = 32;

/// A flag that is set once and wakes every task that waits for it.
#[derive(Default)]
pub struct Latch {
    is_set: Cell<bool>,
    waiters: RefCell<Vec<oneshot::Sender<()>>>,
    /// Number of waiters at which those that stopped waiting are removed.
    prune_at: Cell<usize>,
}

impl Latch {
    /// Sets the latch and wakes all waiters.
    pub fn set(&self) {
        self.is_set.set(true);
        for waiter in self.waiters.take() {
            let _ = waiter.send(());
        }
    }

    /// Whether the latch was set.
    pub fn is_set(&self) -> bool {
        self.is_set.get()
    }

    /// Waits until the latch is set.
    pub async fn wait(&self) {
        let _ = self.waiter().await;
    }

    /// Returns a receiver that is notified when the latch is set, or at once if it was set.
    pub fn waiter(&self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        if self.is_set() {
            let _ = sender.send(());
            return receiver;
        }
        let mut waiters = self.waiters.borrow_mut();
        if waiters.len() >= self.prune_at.get() {
            waiters.retain(|w| !w.is_canceled());
            // Doubling keeps the cost of each waiter constant.
            self.prune_at.set(MIN_PRUNED_WAITERS.max(waiters.len() * 2));
        }
        waiters.push(sender);
        receiver
    }
}
