//! One replica of the Raft log: election, replication, commit.

mod bootstrap;
mod core;
mod election;
mod founders;
pub(crate) mod handlers;
mod join;
mod leader;
mod log;
mod progress;
mod proposals;
mod recovery;
mod replication;
mod shared;
mod snapshot_transfer;
mod transfer;
mod writer;

use std::rc::Rc;

use jaylock_rpc::v1::Member;
use jaylock_rpc::v1::control_server::ControlServer;
use jaylock_rpc::v1::replica_server::ReplicaServer;
use jaylock_types::{Clock, SystemClock};

use crate::service::{ControlService, ReplicaService};
use crate::storage::{Disk, Store};
use crate::transport::{MAX_MESSAGE_BYTES, RpcTransport, Transport};
use crate::{ReplicaSettings, Result};

pub use self::bootstrap::Bootstrap;
pub(crate) use self::core::Core;
pub(crate) use self::log::Log;
pub(crate) use self::progress::Progress;
pub(crate) use self::shared::{RequestError, Shared};

/// A replica of the log on the disk of this instance; clones share it.
#[derive(Clone)]
pub struct Replica {
    shared: Rc<Shared>,
}

/// The replica's dependencies that tests replace.
pub struct Environment {
    /// Calls to the other replicas.
    pub transport: Rc<dyn Transport>,
    /// Monotonic clock of the election and lease timers.
    pub clock: Rc<dyn Clock>,
}

/// What a replica keeps in memory that grows with the size and rate of the changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaMemory {
    /// Size of the log entries in bytes.
    pub log_bytes: u64,
    /// Size of the changes kept for watchers in bytes of their encoding.
    pub change_bytes: u64,
}

impl Replica {
    /// Loads the replica from its disk; other replicas are called by gRPC.
    ///
    /// `identity` has the instance, its address and failure domain; the generation is read from the
    /// disk. `bootstrap` says how a new group is formed.
    ///
    /// If the disk fails, the replica is halted until it can be read and written.
    ///
    /// # Errors
    /// [`Error::Corrupt`](crate::Error::Corrupt).
    pub async fn open(
        identity: Member,
        bootstrap: impl Into<Bootstrap>,
        disk: impl Disk,
        settings: ReplicaSettings,
    ) -> Result<Self> {
        let environment = Environment {
            transport: Rc::new(RpcTransport::new(settings.channel.clone())),
            clock: Rc::new(SystemClock),
        };
        Self::open_with(identity, bootstrap, disk, environment, settings).await
    }

    /// Like [`Replica::open`], with a given transport and clock.
    ///
    /// # Errors
    /// As [`Replica::open`].
    pub async fn open_with(
        identity: Member,
        bootstrap: impl Into<Bootstrap>,
        disk: impl Disk,
        environment: Environment,
        settings: ReplicaSettings,
    ) -> Result<Self> {
        let store = Store::new(Rc::new(disk));
        let shared = Shared::load(identity, bootstrap.into(), store, environment, settings).await?;
        // Before the instance waits for an address; a disk that fails is tried again by `run`.
        let _ = founders::record_first_start(&shared).await;
        Ok(Self {
            shared: Rc::new(shared),
        })
    }

    /// The gRPC services for other replicas and for instances.
    #[must_use]
    pub fn services(&self) -> (ReplicaServer<ReplicaService>, ControlServer<ControlService>) {
        let replica = ReplicaServer::new(self.replica_service());
        let control = ControlServer::new(self.control_service());
        (
            replica.max_decoding_message_size(MAX_MESSAGE_BYTES),
            control.max_decoding_message_size(MAX_MESSAGE_BYTES),
        )
    }

    /// The service for the other replicas.
    #[must_use]
    pub fn replica_service(&self) -> ReplicaService {
        ReplicaService::new(self.shared.clone())
    }

    /// The service for instances and operators.
    #[must_use]
    pub fn control_service(&self) -> ControlService {
        ControlService::new(self.shared.clone())
    }

    /// Runs the replica until it is closed or the future is dropped.
    ///
    /// While the disk fails, the replica neither leads, votes nor accepts entries, and retries the
    /// disk.
    pub async fn run(self) {
        loop {
            join::join(&self.shared).await;
            let writer = compio::runtime::spawn(writer::run(self.shared.clone()));
            while !self.shared.is_halted() {
                election::run_follower(&self.shared).await;
                leader::run_leader(&self.shared).await;
            }
            // A write in progress must finish before recovery reads the disk.
            let _ = writer.await;
            if !recovery::recover(&self.shared).await {
                return;
            }
        }
    }

    /// Whether the replica leads and holds the leader lease.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.shared.holds_lease()
    }

    /// Bytes that the replica keeps of the log and for watchers.
    #[must_use]
    pub fn memory(&self) -> ReplicaMemory {
        let core = self.shared.core.borrow();
        ReplicaMemory {
            log_bytes: core.log.bytes(),
            change_bytes: core.state.change_bytes() as u64,
        }
    }

    /// Why the replica is halted: it was shut down or its disk failed.
    #[must_use]
    pub fn halt_reason(&self) -> Option<String> {
        let core = self.shared.core.borrow();
        core.halted.as_ref().map(ToString::to_string)
    }

    /// Transfers leadership to the most up-to-date of the other voters.
    pub async fn step_down(&self) {
        transfer::transfer_leadership(&self.shared).await;
    }

    /// Transfers leadership, waits for a write in progress, and shuts the replica down.
    pub async fn close(self) {
        transfer::transfer_leadership(&self.shared).await;
        let _disk_guard = self.shared.disk_lock.lock().await;
        self.shared.close();
    }
}
