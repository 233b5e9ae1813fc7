use std::cell::{Cell, RefCell};

use futures_channel::oneshot;

/// Notifies waiting tasks of this thread; like a condition variable with a counter.
#[derive(Debug, Default)]
pub(crate) struct Signal {
    count: Cell<u64>,
    waiters: RefCell<Vec<oneshot::Sender<()>>>,
}

impl Signal {
    /// Number of notifications so far.
    pub fn count(&self) -> u64 {
        self.count.get()
    }

    pub fn notify(&self) {
        self.count.set(self.count.get() + 1);
        for waiter in self.waiters.take() {
            let _ = waiter.send(());
        }
    }

    /// Waits until there were more than `count` notifications.
    pub async fn wait_past(&self, count: u64) {
        while self.count.get() <= count {
            let (sender, receiver) = oneshot::channel();
            {
                let mut waiters = self.waiters.borrow_mut();
                waiters.retain(|w| !w.is_canceled());
                waiters.push(sender);
            }
            let _ = receiver.await;
        }
    }
}
