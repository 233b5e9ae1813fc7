use std::net::SocketAddr;

use jaylock_rpc::v1::Member;

/// How the group of replicas begins.
#[derive(Debug, Clone)]
pub enum Bootstrap {
    /// The settings of every instance name the first members, who form the group by themselves.
    Members(Vec<Member>),
    /// The settings name addresses of some instances and nothing more.
    Seeds {
        /// Where other instances reach them.
        addresses: Vec<SocketAddr>,
        /// Whether the whole fleet starts for the first time; the seeds form the group then.
        is_first_start: bool,
    },
}

impl From<Vec<Member>> for Bootstrap {
    fn from(members: Vec<Member>) -> Self {
        Self::Members(members)
    }
}

impl Bootstrap {
    /// Whether the settings say that the whole fleet starts for the first time.
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
