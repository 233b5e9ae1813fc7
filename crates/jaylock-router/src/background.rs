use std::cell::RefCell;

use futures_channel::mpsc::{self, UnboundedReceiver, UnboundedSender};
use futures_util::future::LocalBoxFuture;
use futures_util::{FutureExt, StreamExt};

type Work = LocalBoxFuture<'static, ()>;

/// Work that goes on after its request was dropped.
///
/// Destructors can't start tasks, as they also run while the runtime ends; they leave work here.
pub struct Background {
    sender: UnboundedSender<Work>,
    receiver: RefCell<Option<UnboundedReceiver<Work>>>,
}

impl Default for Background {
    fn default() -> Self {
        let (sender, receiver) = mpsc::unbounded();
        let receiver = RefCell::new(Some(receiver));
        Self { sender, receiver }
    }
}

impl Background {
    /// Leaves work to be done soon.
    pub fn spawn(&self, work: impl Future<Output = ()> + 'static) {
        // Nothing receives it once the router has ended, and then it needn't be done.
        let _ = self.sender.unbounded_send(work.boxed_local());
    }

    /// Gives each piece of work a task of its own, until it is dropped.
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
