//! One replica of the log: election, replication, commit.

mod bootstrap;
mod core;
mod election;
mod handover;
mod join;
mod lead;
mod log;
mod peer;
mod progress;
pub(crate) mod receive;
mod recovery;
mod shared;
mod writer;

use std::rc::Rc;

use jaylock_rpc::v1::Member;
use jaylock_rpc::v1::control_server::ControlServer;
use jaylock_rpc::v1::replica_server::ReplicaServer;
use jaylock_types::{Clock, SystemClock};

use crate::service::{ControlService, ReplicaService};
use crate::storage::{Disk, Store};
use crate::transport::{LARGEST_MESSAGE, RpcTransport, Transport};
use crate::{ReplicaSettings, Result};

pub use self::bootstrap::Bootstrap;
pub(crate) use self::core::Core;
pub(crate) use self::log::Log;
pub(crate) use self::progress::Progress;
pub(crate) use self::shared::{Refusal, Shared};

/// A replica of the log on this instance's disk; clones share it.
#[derive(Clone)]
pub struct Replica {
    shared: Rc<Shared>,
}

/// What a replica reaches the world through.
pub struct Ports {
    /// The other replicas.
    pub transport: Rc<dyn Transport>,
    /// The time.
    pub clock: Rc<dyn Clock>,
}

impl Replica {
    /// Reads what the disk holds and reaches the other replicas by gRPC.
    ///
    /// `identity` names the instance, its address and failure domain; the disk tells its
    /// generation. `bootstrap` tells how a new group begins.
    ///
    /// # Errors
    /// [`Error::Disk`](crate::Error::Disk) and [`Error::Corrupt`](crate::Error::Corrupt).
    pub async fn open(
        identity: Member,
        bootstrap: impl Into<Bootstrap>,
        disk: impl Disk,
        settings: ReplicaSettings,
    ) -> Result<Self> {
        let ports = Ports {
            transport: Rc::new(RpcTransport::new(settings.channel.clone())),
            clock: Rc::new(SystemClock),
        };
        Self::open_with(identity, bootstrap, disk, ports, settings).await
    }

    /// The same through other ports.
    ///
    /// # Errors
    /// As [`Replica::open`].
    pub async fn open_with(
        identity: Member,
        bootstrap: impl Into<Bootstrap>,
        disk: impl Disk,
        ports: Ports,
        settings: ReplicaSettings,
    ) -> Result<Self> {
        let store = Store::new(Rc::new(disk));
        let shared = Shared::load(identity, bootstrap.into(), store, ports, settings).await?;
        Ok(Self {
            shared: Rc::new(shared),
        })
    }

    /// The services through which other replicas and instances reach it.
    #[must_use]
    pub fn services(&self) -> (ReplicaServer<ReplicaService>, ControlServer<ControlService>) {
        let replica = ReplicaServer::new(self.replica_service());
        let control = ControlServer::new(self.control_service());
        (
            replica.max_decoding_message_size(LARGEST_MESSAGE),
            control.max_decoding_message_size(LARGEST_MESSAGE),
        )
    }

    /// What it answers to the other replicas.
    #[must_use]
    pub fn replica_service(&self) -> ReplicaService {
        ReplicaService::new(self.shared.clone())
    }

    /// What it answers to instances and operators.
    #[must_use]
    pub fn control_service(&self) -> ControlService {
        ControlService::new(self.shared.clone())
    }

    /// Takes part in the group until it is closed or the future is dropped.
    ///
    /// While its disk fails it neither leads, votes nor takes entries, and tries the disk again.
    pub async fn run(self) {
        loop {
            join::join(&self.shared).await;
            let writer = compio::runtime::spawn(writer::write(self.shared.clone()));
            while !self.shared.is_halted() {
                election::follow(&self.shared).await;
                lead::lead(&self.shared).await;
            }
            // A write that has begun ends before the disk is read.
            let _ = writer.await;
            if !recovery::recover(&self.shared).await {
                return;
            }
        }
    }

    /// Whether it leads and may answer by itself.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.shared.holds_lease()
    }

    /// Why it takes no part, if it is closed or its disk has failed.
    #[must_use]
    pub fn halted(&self) -> Option<String> {
        let core = self.shared.core.borrow();
        core.halted.as_ref().map(ToString::to_string)
    }

    /// Stops leading and lets the best of the others take over at once.
    pub async fn step_down(&self) {
        handover::hand_over(&self.shared).await;
    }

    /// Hands over, lets a write that has begun end, and takes part no more.
    pub async fn close(self) {
        handover::hand_over(&self.shared).await;
        let _writing = self.shared.writing.lock().await;
        self.shared.close();
    }
}
