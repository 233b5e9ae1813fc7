use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::StatusCode;
use serde::{Deserialize, Serialize};

use crate::{AddressCache, HttpError, post};

/// Time between two tries to reach an instance.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// What a backend server says of itself when it is new to the system.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Announcement {
    /// Name of the backend server.
    pub id: String,
    /// Grows with every start.
    pub incarnation: u64,
    /// Pool that it serves in; for a plain service the service's name.
    pub pool: String,
    /// `engine` or `service`.
    pub kind: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Proof of identity, the same at each announcement of this id.
    pub token: String,
    /// Requests it takes at once.
    pub slots: u32,
    /// Whether it refuses orders with an old fencing number.
    pub checks_orders: bool,
    /// Model versions and adapters that it holds.
    pub models: Vec<LoadedModel>,
    /// Fencing number of the newest order it followed.
    pub fence: u64,
}

/// A model version and the adapters on top of it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LoadedModel {
    /// Name of the model.
    pub model: String,
    /// Version.
    pub version: String,
    /// Names of the adapters.
    #[serde(default)]
    pub adapters: Vec<String>,
}

/// What a backend server says of itself from time to time.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the backend server.
    pub id: String,
    /// Grows with every start.
    pub incarnation: u64,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Prompt prefixes that its cache gained, 16 hex digits each.
    pub cached: Vec<String>,
    /// Prompt prefixes that its cache dropped, 16 hex digits each.
    pub evicted: Vec<String>,
    /// Model versions and adapters that it holds.
    pub models: Vec<LoadedModel>,
    /// Fencing number of the newest order it followed.
    pub fence: u64,
}

/// A stand-in that announces itself.
pub trait Backend {
    /// What it says of itself when it is new to the system.
    fn announcement(&self) -> Announcement;
    /// What it says of itself from time to time.
    fn heartbeat(&self) -> Heartbeat;
}

/// Keeps a backend server known to the system.
pub struct Registration<B> {
    backend: Rc<B>,
    addresses: AddressCache,
    is_leaving: Cell<bool>,
}

#[derive(Deserialize)]
struct AnnounceReply {
    heartbeat_ms: u64,
}

#[derive(Serialize)]
struct LeaveRequest {
    id: String,
    incarnation: u64,
}

impl<B: Backend> Registration<B> {
    /// Names the backend server and some instances to ask for addresses.
    #[must_use]
    pub fn new(backend: Rc<B>, seeds: Vec<SocketAddr>) -> Self {
        let first = usize::from(backend.announcement().address.port());
        Self {
            backend,
            addresses: AddressCache::new(seeds, first),
            is_leaving: Cell::new(false),
        }
    }

    /// Announces and then sends heartbeats until [`Registration::leave`] is called.
    pub async fn run(&self) {
        while !self.is_leaving.get() {
            match self.announce().await {
                Ok(interval) => self.send_heartbeats(interval).await,
                Err(error) => {
                    log::warn!(target: "standin", "announcement failed: {error}");
                    self.addresses.use_next();
                    compio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Says that the backend server leaves, to any instance that hears it.
    pub async fn leave(&self) {
        self.is_leaving.set(true);
        let announcement = self.backend.announcement();
        let leave = LeaveRequest {
            id: announcement.id,
            incarnation: announcement.incarnation,
        };
        for _ in 0..self.addresses.known().len() {
            let address = self.addresses.current().await;
            match post(address, "/v1/backends/leave", &leave).await {
                Ok((StatusCode::OK, _)) => return,
                _ => self.addresses.use_next(),
            }
        }
        log::warn!(target: "standin", "no instance hears that we leave");
    }

    async fn announce(&self) -> Result<Duration, HttpError> {
        let address = self.addresses.current().await;
        let announcement = self.backend.announcement();
        let (status, body) = post(address, "/v1/backends/announce", &announcement).await?;
        if status != StatusCode::OK {
            let reason = String::from_utf8_lossy(&body);
            log::warn!(target: "standin", "{address} refused the announcement: {reason}");
            return Err(HttpError::Status(status));
        }
        let reply: AnnounceReply = serde_json::from_slice(&body)?;
        log::info!(target: "standin", "{address} knows {} now", announcement.id);
        Ok(Duration::from_millis(reply.heartbeat_ms))
    }

    /// Sends heartbeats until one is not taken.
    async fn send_heartbeats(&self, interval: Duration) {
        let mut failures = 0;
        while !self.is_leaving.get() {
            compio::time::sleep(interval).await;
            let address = self.addresses.current().await;
            let heartbeat = self.backend.heartbeat();
            match post(address, "/v1/backends/heartbeat", &heartbeat).await {
                Ok((StatusCode::OK, _)) => failures = 0,
                Ok((status, _)) => {
                    log::info!(target: "standin", "{address} answers {status}, so we announce");
                    return;
                }
                Err(error) => {
                    log::info!(target: "standin", "heartbeat to {address} failed: {error}");
                    self.addresses.use_next();
                    failures += 1;
                    if failures > 1 {
                        return;
                    }
                }
            }
        }
    }
}
