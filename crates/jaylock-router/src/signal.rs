use std::cell::{Cell, RefCell};

use futures_channel::oneshot;

/// A switch that is thrown once and wakes all who wait for it.
#[derive(Default)]
pub struct Signal {
    thrown: Cell<bool>,
    waiting: RefCell<Vec<oneshot::Sender<()>>>,
}

impl Signal {
    /// Throws the switch.
    pub fn throw(&self) {
        self.thrown.set(true);
        for waiter in self.waiting.take() {
            let _ = waiter.send(());
        }
    }

    /// Whether it was thrown.
    pub fn is_thrown(&self) -> bool {
        self.thrown.get()
    }

    /// Waits until it is thrown.
    pub async fn wait(&self) {
        if self.is_thrown() {
            return;
        }
        let _ = self.enlist().await;
    }

    fn enlist(&self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let mut waiting = self.waiting.borrow_mut();
        waiting.retain(|w| !w.is_canceled());
        waiting.push(sender);
        receiver
    }
}
