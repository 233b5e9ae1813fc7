use std::cell::RefCell;
use std::rc::Rc;

use jaylock_types::{ByteSize, OrganisationId};

/// Part of the bound that one organisation may use, as a divisor.
const ORGANISATION_PART: usize = 4;

/// Bounds the bodies of requests that are held at once; clones share it.
///
/// One organisation gets a quarter at most, so that its flood leaves room for others.
#[derive(Debug, Clone)]
pub struct BodyMemory {
    bound: usize,
    held: Rc<RefCell<Vec<(OrganisationId, usize)>>>,
}

/// Memory reserved for one body; released on drop.
#[derive(Debug)]
pub struct BodyReservation {
    memory: BodyMemory,
    organisation: OrganisationId,
    bytes: usize,
}

impl BodyMemory {
    /// Allows `bound` bytes over all organisations.
    #[must_use]
    pub fn new(bound: ByteSize) -> Self {
        let held = Rc::default();
        Self {
            bound: bound.0,
            held,
        }
    }

    /// Takes room for a body; none when the organisation or the router is at its bound.
    #[must_use]
    pub fn reserve(&self, organisation: &OrganisationId, bytes: usize) -> Option<BodyReservation> {
        let mut held = self.held.borrow_mut();
        let total: usize = held.iter().map(|h| h.1).sum();
        let found = held.binary_search_by(|h| h.0.cmp(organisation));
        let own = found.map_or(0, |at| held[at].1);
        if total + bytes > self.bound || own + bytes > self.bound / ORGANISATION_PART {
            return None;
        }
        match found {
            Ok(at) => held[at].1 += bytes,
            Err(at) => held.insert(at, (organisation.clone(), bytes)),
        }
        Some(BodyReservation {
            memory: self.clone(),
            organisation: organisation.clone(),
            bytes,
        })
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        let mut held = self.memory.held.borrow_mut();
        if let Ok(at) = held.binary_search_by(|h| h.0.cmp(&self.organisation)) {
            held[at].1 -= self.bytes;
            if held[at].1 == 0 {
                held.remove(at);
            }
        }
    }
}
