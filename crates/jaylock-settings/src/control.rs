use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use jaylock_types::{DomainId, InstanceId};

use crate::key::{Key, SettingsSection};
use crate::value::{COUNT, DURATION, count, duration, parsed};

/// Settings of the replicated log and of the leases that it grants.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlSettings {
    /// Replicas of the log at the first start of the fleet, sorted by instance.
    pub replicas: Vec<ReplicaAddress>,
    /// Alternative to `replicas`: addresses of some instances at the time when the settings were written.
    pub seeds: Vec<SocketAddr>,
    /// Port at which instances reach each other; replaces the ports of the seeds.
    pub seed_port: Option<u16>,
    /// Whether the whole fleet starts for the first time, in which case the seeds form a group.
    pub first_start: bool,
    /// Number of replicas of the log once that many instances have a disk; higher if more are listed.
    pub voters: usize,
    /// Time between two messages from the leader to each replica.
    pub heartbeat: Duration,
    /// Time without contact to the leader after which a replica starts an election.
    pub election: Duration,
    /// Duration of an instance's lease after its last renewal.
    pub lease: Duration,
    /// Number of replicas whose disks may be lost at the same time; the group keeps enough voters for it.
    pub tolerated_losses: usize,
    /// How long a replica may be unreachable before a spare instance replaces it.
    pub replace_after: Duration,
    /// Number of log entries after which a snapshot is taken.
    pub snapshot_entries: u64,
}

impl Default for ControlSettings {
    fn default() -> Self {
        Self {
            replicas: Vec::new(),
            seeds: Vec::new(),
            seed_port: None,
            first_start: false,
            voters: 3,
            tolerated_losses: 1,
            heartbeat: Duration::from_millis(100),
            election: Duration::from_millis(500),
            lease: Duration::from_secs(3),
            replace_after: Duration::from_secs(30),
            snapshot_entries: 4096,
        }
    }
}

impl ControlSettings {
    /// Addresses at which other instances reach the seeds.
    #[must_use]
    pub fn seed_peers(&self) -> Vec<SocketAddr> {
        let mut peers = self.seeds.clone();
        for peer in &mut peers {
            peer.set_port(self.seed_port.unwrap_or(peer.port()));
        }
        peers
    }
}

impl SettingsSection for ControlSettings {
    const SECTION: &'static str = "control";
    const KEYS: &'static [Key<Self>] = &[
        Key::optional("replicas", REPLICA_LIST, |s, v| {
            replicas(v).map(|list| s.replicas = list)
        }),
        Key::optional("seeds", SEED_LIST, |s, v| {
            seeds(v).map(|list| s.seeds = list)
        }),
        Key::optional("seed_port", PORT, |s, v| {
            count(v).map(|port| s.seed_port = Some(port))
        }),
        Key::optional("first_start", FLAG, |s, v| {
            parsed(v).map(|flag| s.first_start = flag)
        }),
        Key::optional("voters", COUNT, |s, v| count(v).map(|n| s.voters = n)),
        Key::optional("tolerated_losses", NUMBER, |s, v| {
            parsed(v).map(|n| s.tolerated_losses = n)
        }),
        Key::optional("heartbeat", DURATION, |s, v| {
            duration(v).map(|d| s.heartbeat = d)
        }),
        Key::optional("election", DURATION, |s, v| {
            duration(v).map(|d| s.election = d)
        }),
        Key::optional("lease", DURATION, |s, v| duration(v).map(|d| s.lease = d)),
        Key::optional("replace_after", DURATION, |s, v| {
            duration(v).map(|d| s.replace_after = d)
        }),
        Key::optional("snapshot_entries", COUNT, |s, v| {
            count(v).map(|n| s.snapshot_entries = n)
        }),
    ];
}

/// A replica of the log and its address, written as `id@ip:port@domain`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaAddress {
    /// Instance that holds the replica.
    pub instance: InstanceId,
    /// Address at which other instances reach the replica.
    pub peer_address: SocketAddr,
    /// Failure domain of the instance.
    pub domain: DomainId,
}

impl Display for ReplicaAddress {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}@{}", self.instance, self.peer_address, self.domain)
    }
}

impl FromStr for ReplicaAddress {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split('@');
        let mut next = || parts.next().ok_or(REPLICA_LIST);
        let replica = Self {
            instance: next()?.parse().map_err(|_| REPLICA_LIST)?,
            peer_address: next()?.parse().map_err(|_| REPLICA_LIST)?,
            domain: next()?.parse().map_err(|_| REPLICA_LIST)?,
        };
        match parts.next() {
            None => Ok(replica),
            Some(_) => Err(REPLICA_LIST),
        }
    }
}

/// Parses a list of replicas; returns `None` for duplicates.
fn replicas(text: &str) -> Option<Vec<ReplicaAddress>> {
    let words = text.split([',', ' ']).filter(|w| !w.is_empty());
    let mut list: Vec<ReplicaAddress> = words.map(|w| w.parse().ok()).collect::<Option<_>>()?;
    list.sort_by(|a, b| a.instance.cmp(&b.instance));
    let has_duplicates = list.windows(2).any(|w| w[0].instance == w[1].instance);
    (!list.is_empty() && !has_duplicates).then_some(list)
}

/// Parses a list of addresses.
fn seeds(text: &str) -> Option<Vec<SocketAddr>> {
    let words = text.split([',', ' ']).filter(|w| !w.is_empty());
    let list: Vec<SocketAddr> = words.map(|w| w.parse().ok()).collect::<Option<_>>()?;
    (!list.is_empty()).then_some(list)
}

/// Form of the list of seeds, for errors.
const SEED_LIST: &str = "addresses separated by commas, such as 10.1.0.35:7090, 10.2.0.20:7090";

/// Form of a port, for errors.
const PORT: &str = "a port from 1 to 65535";

/// Form of a number that may be zero, for errors.
const NUMBER: &str = "an integer of at least 0";

/// Form of a flag, for errors.
const FLAG: &str = "true or false";

/// Form of the list of replicas, for errors.
pub(crate) const REPLICA_LIST: &str = "different replicas as id@ip:port@domain, separated by commas, such as \
     a1@127.0.0.1:7090@amman-a";
