use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use futures_channel::oneshot;

/// Places for requests that run at once, given in the order of arrival.
#[derive(Clone)]
pub struct Slots {
    shared: Rc<Shared>,
}

struct Shared {
    free: Cell<u32>,
    total: u32,
    waiting: RefCell<VecDeque<oneshot::Sender<Slot>>>,
}

/// One place; dropping it gives it to the next that waits.
pub struct Slot {
    shared: Option<Rc<Shared>>,
}

impl Slot {
    fn new(shared: Rc<Shared>) -> Self {
        Self {
            shared: Some(shared),
        }
    }
}

impl Slots {
    /// Makes places for `total` requests.
    #[must_use]
    pub fn new(total: u32) -> Self {
        let shared = Shared {
            free: Cell::new(total),
            total,
            waiting: RefCell::default(),
        };
        Self {
            shared: Rc::new(shared),
        }
    }

    /// Requests that run.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.shared.total - self.shared.free.get()
    }

    /// Requests that wait.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        u32::try_from(self.shared.waiting.borrow().len()).unwrap_or(u32::MAX)
    }

    /// Waits for a place; `None` when as many wait already as there are places.
    pub async fn acquire(&self) -> Option<Slot> {
        if self.shared.free.get() > 0 {
            self.shared.free.set(self.shared.free.get() - 1);
            return Some(Slot::new(self.shared.clone()));
        }
        if self.waiting() >= self.shared.total {
            return None;
        }
        let (sender, receiver) = oneshot::channel();
        self.shared.waiting.borrow_mut().push_back(sender);
        receiver.await.ok()
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let Some(shared) = self.shared.take() else {
            return;
        };
        let mut slot = Slot::new(shared.clone());
        loop {
            let next = shared.waiting.borrow_mut().pop_front();
            let Some(next) = next else {
                break;
            };
            match next.send(slot) {
                Ok(()) => return,
                Err(rejected) => slot = rejected,
            }
        }
        // Nobody waits, so the place is free and needs no further drop.
        slot.shared = None;
        shared.free.set(shared.free.get() + 1);
    }
}
