use std::cell::{Cell, RefCell};

use futures_channel::oneshot;

/// A flag that is set once and wakes every task that waits for it.
#[derive(Default)]
pub struct Latch {
    is_set: Cell<bool>,
    waiters: RefCell<Vec<oneshot::Sender<()>>>,
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
        if self.is_set() {
            return;
        }
        let _ = self.add_waiter().await;
    }

    fn add_waiter(&self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let mut waiters = self.waiters.borrow_mut();
        waiters.retain(|w| !w.is_canceled());
        waiters.push(sender);
        receiver
    }
}
