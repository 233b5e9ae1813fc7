use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::StatusCode;
use serde::{Deserialize, Serialize};

use crate::{AddressCache, HttpError, post};

/// Pause before an announcement is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Message with which a backend server registers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Announcement {
    /// Id of the backend server.
    pub id: String,
    /// Incarnation, larger after every start.
    pub incarnation: u64,
    /// Pool of the backend server; for a plain service, the name of the service.
    pub pool: String,
    /// `engine` or `service`.
    pub kind: String,
    /// Address on which the backend server listens.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Proof of identity, the same in each announcement of this id.
    pub token: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the backend server refuses orders with an old fencing number.
    pub checks_orders: bool,
    /// Loaded model versions and adapters.
    pub models: Vec<LoadedModel>,
    /// Fencing number of the newest accepted order.
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

/// Message with which a backend server periodically reports its state.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Id of the backend server.
    pub id: String,
    /// Incarnation, larger after every start.
    pub incarnation: u64,
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Prompt prefixes added to the cache since the last heartbeat, 16 hex digits each.
    pub cached: Vec<String>,
    /// Prompt prefixes evicted from the cache since the last heartbeat, 16 hex digits each.
    pub evicted: Vec<String>,
    /// Loaded model versions and adapters.
    pub models: Vec<LoadedModel>,
    /// Fencing number of the newest accepted order.
    pub fence: u64,
}

/// A stand-in that registers with the system.
pub trait Backend {
    /// Returns the current announcement.
    fn announcement(&self) -> Announcement;
    /// Returns the next heartbeat.
    fn heartbeat(&self) -> Heartbeat;
}

/// Keeps a backend server registered by announcements and heartbeats.
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
    /// Creates the registration of a backend server; `seeds` are instances that list the routers.
    #[must_use]
    pub fn new(backend: Rc<B>, seeds: Vec<SocketAddr>) -> Self {
        // Backend servers on different ports start with different addresses.
        let first = usize::from(backend.announcement().address.port());
        Self {
            backend,
            addresses: AddressCache::new(seeds, first),
            is_leaving: Cell::new(false),
        }
    }

    /// Announces the backend server and sends heartbeats until [`Registration::leave`] is called.
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

    /// Reports to one instance that the backend server leaves.
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
        log::warn!(target: "standin", "no instance accepted the report that this backend server leaves");
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
        log::info!(target: "standin", "{address} registered {}", announcement.id);
        Ok(Duration::from_millis(reply.heartbeat_ms))
    }

    /// Sends heartbeats until one is refused or two in a row fail.
    async fn send_heartbeats(&self, interval: Duration) {
        let mut failures = 0;
        while !self.is_leaving.get() {
            compio::time::sleep(interval).await;
            let address = self.addresses.current().await;
            let heartbeat = self.backend.heartbeat();
            match post(address, "/v1/backends/heartbeat", &heartbeat).await {
                Ok((StatusCode::OK, _)) => failures = 0,
                Ok((status, _)) => {
                    log::info!(target: "standin", "{address} refused the heartbeat with status {status}, announcing again");
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
