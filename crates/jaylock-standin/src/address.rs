use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::client::read_json;

/// The answer to `GET /v1/routers`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RouterList {
    /// How long the list may be kept, in ms.
    pub keep_ms: u64,
    /// Where to connect.
    pub routers: Vec<RouterAddress>,
}

/// One entry of the list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RouterAddress {
    /// Where it listens.
    pub address: SocketAddr,
    /// Failure domain of the instance.
    pub domain: String,
}

/// The addresses that the system named, kept as long as it said.
#[derive(Debug)]
pub struct AddressCache {
    seeds: Vec<SocketAddr>,
    known: RefCell<Vec<SocketAddr>>,
    expires_at: Cell<Option<Instant>>,
    next: Cell<usize>,
}

impl AddressCache {
    /// Starts from addresses given by hand; `first` says which entry is used first.
    #[must_use]
    pub fn new(seeds: Vec<SocketAddr>, first: usize) -> Self {
        Self {
            known: RefCell::default(),
            expires_at: Cell::new(None),
            next: Cell::new(first),
            seeds,
        }
    }

    /// The address to use now; asks for the list again when it is old.
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

    /// Moves on to another address, because the current one does not serve.
    pub fn use_next(&self) {
        self.next.set(self.next.get().wrapping_add(1));
    }

    /// The addresses that the system named last, or those given by hand.
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

    /// Asks the addresses in turn, first those that the system named, then those given by hand.
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
        log::warn!(target: "standin", "no instance names addresses");
    }
}
