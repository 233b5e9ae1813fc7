use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use compact_str::CompactString;
use jaylock_rpc::v1::{BackendReport, LoadedModel};
use thiserror::Error;

/// Maximum number of requests that a backend server may run at once.
const MAX_SLOTS: u32 = 65_536;
/// Longest name of a version, model or adapter, in bytes.
const MAX_NAME_BYTES: usize = 256;
/// Longest sum of all names in a report, in bytes; routers and schedulers exchange many reports in one message.
const MAX_NAMES_BYTES: usize = 32 << 10;

/// Why a report names no backend server to use.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum InvalidReport {
    /// The number of slots is 0 or too large.
    #[error("{0} slots are out of bounds: announce 1 to {MAX_SLOTS}")]
    Slots(u32),
    /// A name is too long or holds control characters.
    #[error("a name has {0} bytes or holds control characters: use at most {MAX_NAME_BYTES}")]
    Name(usize),
    /// The names are too long together.
    #[error("the names of models and adapters have {0} bytes: use at most {MAX_NAMES_BYTES}")]
    Names(usize),
    /// No connection leads to the address.
    #[error("no connection leads to \"{0}\": announce the IP:PORT at which requests are taken")]
    Address(CompactString),
}

/// Checks a report of a backend server that any other program may have sent.
///
/// # Errors
/// Why the report names no backend server to use.
pub fn check_report(report: &BackendReport) -> Result<(), InvalidReport> {
    if report.slots == 0 || report.slots > MAX_SLOTS {
        return Err(InvalidReport::Slots(report.slots));
    }
    if !is_reachable(&report.address) {
        return Err(InvalidReport::Address(report.address.as_str().into()));
    }
    check_names(report)
}

/// Whether an address can be that of one process.
fn is_reachable(text: &str) -> bool {
    let Ok(address) = text.parse::<SocketAddr>() else {
        return false;
    };
    let ip = address.ip();
    let is_broadcast = ip == IpAddr::V4(Ipv4Addr::BROADCAST);
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !is_broadcast
}

fn check_names(report: &BackendReport) -> Result<(), InvalidReport> {
    let mut sum = 0;
    let models = report.models.iter().flat_map(model_names);
    for name in models.chain([report.software.as_str()]) {
        if name.len() > MAX_NAME_BYTES || name.contains(char::is_control) {
            return Err(InvalidReport::Name(name.len()));
        }
        sum += name.len();
    }
    if sum > MAX_NAMES_BYTES {
        return Err(InvalidReport::Names(sum));
    }
    Ok(())
}

fn model_names(loaded: &LoadedModel) -> impl Iterator<Item = &str> {
    let adapters = loaded.adapters.iter().map(String::as_str);
    adapters.chain([loaded.model.as_str(), loaded.version.as_str()])
}
