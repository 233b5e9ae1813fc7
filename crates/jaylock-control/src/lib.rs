//! Control: the replicated log, the configuration stored in the log, leases, and clients.

mod client;
mod error;
mod follower;
mod gossip;
mod leases;
mod members;
mod replica;
mod rescue;
mod routes;
mod service;
mod settings;
mod signal;
mod state;
mod storage;
mod transport;
mod view;
mod withdrawals;

pub use self::client::ControlClient;
pub use self::error::{Error, Result};
pub use self::follower::{Follower, FollowerHandle, InstanceLease};
pub use self::gossip::PeerService;
pub use self::replica::{Bootstrap, Environment, Replica, ReplicaMemory};
pub use self::rescue::rescue;
pub use self::routes::{find_route, find_service};
pub use self::service::{ControlService, ReplicaService};
pub use self::settings::{ClientSettings, FollowerSettings, ReplicaSettings};
pub use self::state::{
    KeyRequirement, find_evacuation, has_departed, is_evacuated, is_known_domain,
    is_operator_change, key_requirement,
};
pub use self::storage::{Disk, FileDisk, FileName};
pub use self::transport::{ReplyFuture, RpcTransport, Transport};
pub use self::view::ConfigView;
