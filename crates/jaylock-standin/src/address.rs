use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::client::read_json;

/// Response to `GET /v1/routers`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RouterList {
    /// Time for which the list is valid, in ms.
    pub keep_ms: u64,
    /// Routers that accept callers.
    pub routers: Vec<RouterAddress>,
}

/// Address of a router and its failure domain.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RouterAddress {
    /// Address on which the router listens.
    pub address: SocketAddr,
    /// Failure domain of the router.
    pub domain: String,
}

/// Addresses of routers, looked up again when the list has expired.
#[derive(Debug)]
pub struct AddressCache {
    seeds: Vec<SocketAddr>,
    known: RefCell<Vec<SocketAddr>>,
    expires_at: Cell<Option<Instant>>,
    next: Cell<usize>,
}

impl AddressCache {
    /// Creates a cache with seed addresses; `first` is the index of the address used first.
    #[must_use]
    pub fn new(seeds: Vec<SocketAddr>, first: usize) -> Self {
        Self {
            known: RefCell::default(),
            expires_at: Cell::new(None),
            next: Cell::new(first),
            seeds,
        }
    }

    /// Returns the address to use, after a new lookup if the list has expired.
    pub async fn current(&self) -> SocketAddr {
        if self
            .expires_at
            .get()
            .is_none_or(|time| Instant::now() >= time)
        {
            self.refresh().await;
        }
        self.pick()
    }

    /// Switches to the next address, after the current one has failed.
    pub fn use_next(&self) {
        self.next.set(self.next.get().wrapping_add(1));
    }

    /// Returns the addresses of the last lookup, or the seeds if none has succeeded.
    #[must_use]
    pub fn known(&self) -> Vec<SocketAddr> {
        let known = self.known.borrow();
        if known.is_empty() {
            return self.seeds.clone();
        }
        known.clone()
    }

    fn pick(&self) -> SocketAddr {
        let known = self.known();
        known[self.next.get() % known.len()]
    }

    /// Looks up the list at the known addresses in turn, then at the seeds.
    async fn refresh(&self) {
        let start = self.next.get();
        let known = self.known();
        let rotated = (0..known.len()).map(|n| known[(start + n) % known.len()]);
        let all: Vec<SocketAddr> = rotated.chain(self.seeds.iter().copied()).collect();
        for address in all {
            let Ok(list) = read_json::<RouterList>(address, "/v1/routers").await else {
                continue;
            };
            if list.routers.is_empty() {
                continue;
            }
            let addresses = list.routers.iter().map(|r| r.address).collect();
            *self.known.borrow_mut() = addresses;
            let lifetime = Duration::from_millis(list.keep_ms);
            self.expires_at.set(Some(Instant::now() + lifetime));
            return;
        }
        log::warn!(target: "standin", "no instance returned a list of routers");
    }
}
