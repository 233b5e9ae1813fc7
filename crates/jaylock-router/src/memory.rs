use std::cell::RefCell;
use std::rc::Rc;

use jaylock_types::{ByteSize, OrganisationId};

/// Divisor of the memory that one organisation may use unless another share is set.
const ORGANISATION_DIVISOR: usize = 4;

/// Limits the memory for the bodies of requests in progress; clones share the limit.
///
/// One organisation may use a part at most, so that its overload leaves memory for the others.
#[derive(Debug, Clone)]
pub struct BodyMemory {
    max_bytes: usize,
    /// What one organisation may use of it.
    max_share: usize,
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
        Self::with_share(max_size, ByteSize(max_size.0 / ORGANISATION_DIVISOR))
    }

    /// Allows `max_size` over all organisations and `max_share` for each.
    #[must_use]
    pub fn with_share(max_size: ByteSize, max_share: ByteSize) -> Self {
        Self {
            max_bytes: max_size.0,
            max_share: max_share.0,
            reserved: Rc::default(),
        }
    }

    /// Memory that is reserved at the moment.
    #[must_use]
    pub fn used(&self) -> ByteSize {
        ByteSize(self.reserved.borrow().iter().map(|r| r.1).sum())
    }

    /// Reserves memory for a body; returns `None` when the organisation or the router is at the limit.
    #[must_use]
    pub fn reserve(&self, organisation: &OrganisationId, bytes: usize) -> Option<BodyReservation> {
        let total = self.used().0;
        let mut reserved = self.reserved.borrow_mut();
        let search = reserved.binary_search_by(|r| r.0.cmp(organisation));
        let held = search.map_or(0, |index| reserved[index].1);
        if total + bytes > self.max_bytes || held + bytes > self.max_share {
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
    /// Number of bytes that are reserved.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

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
