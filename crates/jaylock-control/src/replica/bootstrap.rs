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
    /// Whether the settings declare that the whole fleet starts for the first time.
    #[must_use]
    pub fn is_first_start(&self) -> bool {
        matches!(
            self,
            Self::Seeds {
                is_first_start: true,
                ..
            }
        )
    }
}
