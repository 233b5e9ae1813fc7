use std::cell::RefCell;

use futures_channel::mpsc::{self, UnboundedReceiver, UnboundedSender};
use futures_util::future::LocalBoxFuture;
use futures_util::{FutureExt, StreamExt};

type Task = LocalBoxFuture<'static, ()>;

/// Queue of work that continues after its request was dropped.
///
/// Destructors can't spawn tasks, as they also run while the runtime shuts down; they queue work here.
pub struct Background {
    sender: UnboundedSender<Task>,
    receiver: RefCell<Option<UnboundedReceiver<Task>>>,
}

impl Default for Background {
    fn default() -> Self {
        let (sender, receiver) = mpsc::unbounded();
        let receiver = RefCell::new(Some(receiver));
        Self { sender, receiver }
    }
}

impl Background {
    /// Queues work for a task of its own.
    pub fn spawn(&self, work: impl Future<Output = ()> + 'static) {
        // After the router has ended, nothing receives the work, and it isn't needed.
        let _ = self.sender.unbounded_send(work.boxed_local());
    }

    /// Spawns a task for each queued item until the returned future is dropped.
    pub async fn run(&self) {
        let receiver = self.receiver.take();
        let Some(mut receiver) = receiver else {
            return;
        };
        while let Some(work) = receiver.next().await {
            compio::runtime::spawn(work).detach();
        }
    }
}
