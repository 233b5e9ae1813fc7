use std::net::SocketAddr;
use std::path::PathBuf;

use jaylock_types::{DomainId, InstanceId};

use crate::key::{Key, Part};
use crate::value::{ADDRESS, parsed};

/// Who this instance is and where it listens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceSettings {
    /// Name of the instance, unique in the fleet.
    pub id: InstanceId,
    /// Failure domain it stands in.
    pub domain: DomainId,
    /// Where callers and backend servers connect; an instance without one serves none.
    pub caller_address: Option<SocketAddr>,
    /// Where other instances and operators connect.
    pub peer_address: SocketAddr,
    /// Where it listens for callers when they reach it through another address.
    pub caller_listen: Option<SocketAddr>,
    /// Where it listens for other instances when they reach it through another address.
    pub peer_listen: Option<SocketAddr>,
    /// Folder for the system's own state; without one the instance holds no replica of the log.
    pub data: Option<PathBuf>,
    /// Where metrics are read; nowhere when unset.
    pub metrics_address: Option<SocketAddr>,
}

impl InstanceSettings {
    /// Where the instance listens for callers and backend servers.
    #[must_use]
    pub fn caller_listen(&self) -> Option<SocketAddr> {
        self.caller_listen.or(self.caller_address)
    }

    /// Where the instance listens for other instances and operators.
    #[must_use]
    pub fn peer_listen(&self) -> SocketAddr {
        self.peer_listen.unwrap_or(self.peer_address)
    }
}

impl Default for InstanceSettings {
    fn default() -> Self {
        Self {
            id: "local".parse().expect("a valid name"),
            domain: "local".parse().expect("a valid name"),
            caller_address: Some(SocketAddr::from(([127, 0, 0, 1], 7080))),
            peer_address: SocketAddr::from(([127, 0, 0, 1], 7090)),
            caller_listen: None,
            peer_listen: None,
            data: None,
            metrics_address: None,
        }
    }
}

impl Part for InstanceSettings {
    const SECTION: &'static str = "instance";
    const KEYS: &'static [Key<Self>] = &[
        Key::obligatory("id", NAME, |s, v| parsed(v).map(|id| s.id = id)),
        Key::obligatory("domain", NAME, |s, v| parsed(v).map(|id| s.domain = id)),
        Key::obligatory("caller_address", ADDRESS, |s, v| match v {
            NO_ADDRESS => {
                s.caller_address = None;
                Some(())
            }
            _ => address(v).map(|a| s.caller_address = Some(a)),
        }),
        Key::obligatory("peer_address", ADDRESS, |s, v| {
            address(v).map(|a| s.peer_address = a)
        }),
        Key::optional("caller_listen", LISTEN, |s, v| {
            listen(v).map(|a| s.caller_listen = Some(a))
        }),
        Key::optional("peer_listen", LISTEN, |s, v| {
            listen(v).map(|a| s.peer_listen = Some(a))
        }),
        Key::optional("data", "the path of a folder", |s, v| {
            (!v.is_empty()).then(|| s.data = Some(v.into()))
        }),
        Key::optional("metrics_address", ADDRESS, |s, v| {
            address(v).map(|a| s.metrics_address = Some(a))
        }),
    ];
}

/// Reads an address that others can connect to.
fn address(text: &str) -> Option<SocketAddr> {
    let address: SocketAddr = text.parse().ok()?;
    (!address.ip().is_unspecified() && address.port() != 0).then_some(address)
}

/// Reads an address to listen on, which may stand for every interface.
fn listen(text: &str) -> Option<SocketAddr> {
    let address: SocketAddr = text.parse().ok()?;
    (address.port() != 0).then_some(address)
}

/// What an address to listen on looks like.
const LISTEN: &str = "an IP address with a port, such as 0.0.0.0:7080";

/// Stands for the address of an instance that serves no callers.
const NO_ADDRESS: &str = "none";

/// What a name looks like.
const NAME: &str = "1 to 64 letters, digits, dots, dashes, underscores or colons";
