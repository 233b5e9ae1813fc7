use std::cell::{Cell, RefCell};

use futures_channel::oneshot;

/// Wakes tasks of this thread when something has changed.
#[derive(Debug, Default)]
pub(crate) struct Signal {
    count: Cell<u64>,
    waiting: RefCell<Vec<oneshot::Sender<()>>>,
}

impl Signal {
    /// How often the signal was raised.
    pub fn count(&self) -> u64 {
        self.count.get()
    }

    pub fn raise(&self) {
        self.count.set(self.count.get() + 1);
        for waiter in self.waiting.take() {
            let _ = waiter.send(());
        }
    }

    /// Waits until the signal was raised more than `count` times.
    pub async fn past(&self, count: u64) {
        while self.count.get() <= count {
            let (sender, receiver) = oneshot::channel();
            {
                let mut waiting = self.waiting.borrow_mut();
                waiting.retain(|w| !w.is_canceled());
                waiting.push(sender);
            }
            let _ = receiver.await;
        }
    }
}
