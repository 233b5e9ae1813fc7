use std::net::SocketAddr;
use std::path::PathBuf;

use jaylock_types::{DomainId, InstanceId};

use crate::key::{Key, SettingsSection};
use crate::value::{ADDRESS, parsed};

/// Identity and addresses of the instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceSettings {
    /// Name of the instance, unique in the fleet.
    pub id: InstanceId,
    /// Failure domain of the instance.
    pub domain: DomainId,
    /// Address to which callers and backend servers connect; unset if the instance accepts none.
    pub caller_address: Option<SocketAddr>,
    /// Address to which other instances and operators connect.
    pub peer_address: SocketAddr,
    /// Listen address for callers, if it differs from `caller_address`.
    pub caller_listen: Option<SocketAddr>,
    /// Listen address for other instances, if it differs from `peer_address`.
    pub peer_listen: Option<SocketAddr>,
    /// Address at which the instance takes connections of callers from other routers; unset if it neither takes nor passes on any.
    pub relay_address: Option<SocketAddr>,
    /// Data folder; without one the instance holds no replica of the log.
    pub data: Option<PathBuf>,
    /// Address at which metrics are served; not served when unset.
    pub metrics_address: Option<SocketAddr>,
}

impl InstanceSettings {
    /// Effective listen address for callers and backend servers.
    #[must_use]
    pub fn caller_listen(&self) -> Option<SocketAddr> {
        self.caller_listen.or(self.caller_address)
    }

    /// Effective listen address for other instances and operators.
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
            relay_address: None,
            data: None,
            metrics_address: None,
        }
    }
}

impl SettingsSection for InstanceSettings {
    const SECTION: &'static str = "instance";
    const KEYS: &'static [Key<Self>] = &[
        Key::required("id", NAME, |s, v| parsed(v).map(|id| s.id = id)),
        Key::required("domain", NAME, |s, v| parsed(v).map(|id| s.domain = id)),
        Key::required("caller_address", ADDRESS, |s, v| match v {
            NO_ADDRESS => {
                s.caller_address = None;
                Some(())
            }
            _ => address(v).map(|a| s.caller_address = Some(a)),
        }),
        Key::required("peer_address", ADDRESS, |s, v| {
            address(v).map(|a| s.peer_address = a)
        }),
        Key::optional("caller_listen", LISTEN_ADDRESS, |s, v| {
            listen(v).map(|a| s.caller_listen = Some(a))
        }),
        Key::optional("peer_listen", LISTEN_ADDRESS, |s, v| {
            listen(v).map(|a| s.peer_listen = Some(a))
        }),
        Key::optional("relay_address", ADDRESS, |s, v| {
            address(v).map(|a| s.relay_address = Some(a))
        }),
        Key::optional("data", "the path of a folder", |s, v| {
            (!v.is_empty()).then(|| s.data = Some(v.into()))
        }),
        Key::optional("metrics_address", ADDRESS, |s, v| {
            address(v).map(|a| s.metrics_address = Some(a))
        }),
    ];
}

/// Parses an address that others can connect to.
fn address(text: &str) -> Option<SocketAddr> {
    let address: SocketAddr = text.parse().ok()?;
    (!address.ip().is_unspecified() && address.port() != 0).then_some(address)
}

/// Parses a listen address, which may be the unspecified address.
fn listen(text: &str) -> Option<SocketAddr> {
    let address: SocketAddr = text.parse().ok()?;
    (address.port() != 0).then_some(address)
}

/// Form of a listen address, for errors.
const LISTEN_ADDRESS: &str = "an IP address with a port, such as 0.0.0.0:7080";

/// Value of `caller_address` for an instance that accepts no callers.
const NO_ADDRESS: &str = "none";

/// Form of a name, for errors.
const NAME: &str = "1 to 64 letters, digits, dots, dashes, underscores or colons";
