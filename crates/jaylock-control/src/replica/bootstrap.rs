use std::net::SocketAddr;

use jaylock_rpc::v1::Member;

/// How a new group of replicas is formed.
#[derive(Debug, Clone)]
pub enum Bootstrap {
    /// The settings of every instance list the initial members, which form the group.
    Members(Vec<Member>),
    /// The settings list only the addresses of some instances.
    Seeds {
        /// Peer addresses of the seed instances.
        addresses: Vec<SocketAddr>,
        /// Whether the whole fleet starts for the first time, so that the seeds form the group.
        is_first_start: bool,
    },
}

impl From<Vec<Member>> for Bootstrap {
    fn from(members: Vec<Member>) -> Self {
        Self::Members(members)
    }
}

impl Bootstrap {
    /// The sorted addresses of the seeds if the fleet starts for the first time and this instance is one of them.
    #[must_use]
    pub fn first_seeds(&self, own_address: &str) -> Vec<String> {
        let Self::Seeds {
            addresses,
            is_first_start: true,
        } = self
        else {
            return Vec::new();
        };
        let mut seeds: Vec<String> = addresses.iter().map(ToString::to_string).collect();
        seeds.sort_unstable();
        seeds.dedup();
        if !seeds.iter().any(|seed| seed == own_address) {
            seeds.clear();
        }
        seeds
    }

    /// The addresses that may know a group.
    #[must_use]
    pub fn seeds(&self) -> &[SocketAddr] {
        match self {
            Self::Seeds { addresses, .. } => addresses,
            Self::Members(_) => &[],
        }
    }
}
