use std::cell::RefCell;
use std::rc::Rc;

use jaylock_types::{ByteSize, OrganisationId};

/// Divisor of the memory that one organisation may use.
const ORGANISATION_DIVISOR: usize = 4;

/// Limits the memory for the bodies of requests in progress; clones share the limit.
///
/// One organisation may use a quarter at most, so that its overload leaves memory for the others.
#[derive(Debug, Clone)]
pub struct BodyMemory {
    max_bytes: usize,
    /// Reserved bytes of each organisation, sorted by identifier.
    reserved: Rc<RefCell<Vec<(OrganisationId, usize)>>>,
}

/// Memory reserved for one body; released on drop.
#[derive(Debug)]
pub struct BodyReservation {
    memory: BodyMemory,
    organisation: OrganisationId,
    bytes: usize,
}

impl BodyMemory {
    /// Allows `max_size` over all organisations.
    #[must_use]
    pub fn new(max_size: ByteSize) -> Self {
        let reserved = Rc::default();
        Self {
            max_bytes: max_size.0,
            reserved,
        }
    }

    /// Reserves memory for a body; returns `None` when the organisation or the router is at the limit.
    #[must_use]
    pub fn reserve(&self, organisation: &OrganisationId, bytes: usize) -> Option<BodyReservation> {
        let mut reserved = self.reserved.borrow_mut();
        let total: usize = reserved.iter().map(|r| r.1).sum();
        let search = reserved.binary_search_by(|r| r.0.cmp(organisation));
        let held = search.map_or(0, |index| reserved[index].1);
        if total + bytes > self.max_bytes || held + bytes > self.max_bytes / ORGANISATION_DIVISOR {
            return None;
        }
        match search {
            Ok(index) => reserved[index].1 += bytes,
            Err(index) => reserved.insert(index, (organisation.clone(), bytes)),
        }
        Some(BodyReservation {
            memory: self.clone(),
            organisation: organisation.clone(),
            bytes,
        })
    }
}

impl BodyReservation {
    /// Reserves further bytes; returns false when the organisation or the router is at the limit.
    #[must_use]
    pub fn grow(&mut self, bytes: usize) -> bool {
        let Some(mut added) = self.memory.reserve(&self.organisation, bytes) else {
            return false;
        };
        self.bytes += std::mem::take(&mut added.bytes);
        true
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        let mut reserved = self.memory.reserved.borrow_mut();
        if let Ok(index) = reserved.binary_search_by(|r| r.0.cmp(&self.organisation)) {
            reserved[index].1 -= self.bytes;
            if reserved[index].1 == 0 {
                reserved.remove(index);
            }
        }
    }
}
