use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use futures_channel::oneshot;

/// Slots for concurrent requests, granted in the order of arrival.
#[derive(Clone)]
pub struct Slots {
    shared: Rc<Shared>,
}

struct Shared {
    free: Cell<u32>,
    total: u32,
    waiting: RefCell<VecDeque<oneshot::Sender<Slot>>>,
}

/// One slot; dropping passes the slot to the next waiting request.
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
    /// Creates slots for `total` concurrent requests.
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

    /// Returns the number of running requests.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.shared.total - self.shared.free.get()
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        u32::try_from(self.shared.waiting.borrow().len()).unwrap_or(u32::MAX)
    }

    /// Waits for a slot; `None` when as many requests wait already as there are slots.
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
        // No request waits, so the slot is free and must not be dropped again.
        slot.shared = None;
        shared.free.set(shared.free.get() + 1);
    }
}
