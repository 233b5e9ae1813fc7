use std::net::SocketAddr;

use jaylock_rpc::v1::Member;

/// How the group of replicas begins.
#[derive(Debug, Clone)]
pub enum Origin {
    /// The settings of every instance name the first members, who form the group by themselves.
    Members(Vec<Member>),
    /// The settings name addresses of some instances and nothing more.
    Seeds {
        /// Where other instances reach them.
        addresses: Vec<SocketAddr>,
        /// Whether the whole fleet starts for the first time; the seeds form the group then.
        is_first: bool,
    },
}

impl From<Vec<Member>> for Origin {
    fn from(members: Vec<Member>) -> Self {
        Self::Members(members)
    }
}

impl Origin {
    /// Whether the settings say that the whole fleet starts for the first time.
    #[must_use]
    pub fn is_first(&self) -> bool {
        matches!(self, Self::Seeds { is_first: true, .. })
    }
}
