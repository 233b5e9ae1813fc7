use std::cell::RefCell;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use compact_str::format_compact;
use futures_util::lock::Mutex;
use jaylock_rpc::v1::{Configuration, Member};
use jaylock_types::Clock;
use tonic::Status;

use super::Bootstrap;
use super::Environment;
use super::core::{Core, Halt, Role};
use super::log::Log;
use super::snapshot_transfer::OutgoingSnapshot;
use crate::leases::Leases;
use crate::signal::Signal;
use crate::state::State;
use crate::storage::{DiskContents, HardState, Store};
use crate::transport::Transport;
use crate::{Error, ReplicaSettings, Result};

/// State shared by the tasks of a replica.
pub struct Shared {
    pub identity: Member,
    pub bootstrap: Bootstrap,
    pub settings: ReplicaSettings,
    pub store: Store,
    pub transport: Rc<dyn Transport>,
    pub clock: Rc<dyn Clock>,
    pub core: RefCell<Core>,
    /// Held during disk writes, so that records are written in the order of the decisions.
    pub disk_lock: Mutex<()>,
    /// Held while a large command is checked.
    pub check_lock: Mutex<()>,
    /// Notified when the log grows, the commit index rises or the role changes.
    pub activity: Signal,
    /// Notified when the configuration changes or the replica stops following a leader.
    pub config_changed: Signal,
    pub leases: RefCell<Leases>,
    /// The newest snapshot that is being sent to other replicas.
    pub outgoing_snapshot: RefCell<Weak<OutgoingSnapshot>>,
}

/// Why a replica does not serve a request.
#[derive(Debug)]
pub enum RequestError {
    /// This replica is not the leader: the address of the leader, empty when unknown.
    NotLeader(String),
    /// The request is invalid, too many commands are pending, or the replica is halted.
    Failed(Status),
}

impl Shared {
    /// Loads the state from the disk; the replica is halted if it can't be read or written.
    pub async fn load(
        identity: Member,
        bootstrap: Bootstrap,
        store: Store,
        environment: Environment,
        settings: ReplicaSettings,
    ) -> Result<Self> {
        let now = environment.clock.now();
        let (contents, halted) = match store.load().await {
            Err(error @ Error::Disk { .. }) => (DiskContents::default(), Some(unread(&error))),
            outcome => (outcome?, None),
        };
        let mut core = restore(&identity, &store, contents, now)?;
        core.halted = halted;
        Ok(Self {
            core: RefCell::new(core),
            identity,
            bootstrap,
            settings,
            store,
            transport: environment.transport,
            clock: environment.clock,
            disk_lock: Mutex::default(),
            check_lock: Mutex::default(),
            activity: Signal::default(),
            config_changed: Signal::default(),
            leases: RefCell::default(),
            outgoing_snapshot: RefCell::default(),
        })
    }

    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    pub fn is_halted(&self) -> bool {
        self.core.borrow().halted.is_some()
    }

    /// Whether this replica leads and has had contact with a majority within the leader lease.
    pub fn holds_lease(&self) -> bool {
        let now = self.now();
        let core = self.core.borrow();
        core.halted.is_none()
            && core
                .lease_end(self.settings.leader_lease, now)
                .is_some_and(|end| now < end)
    }

    /// Whether reads may be served from the local state.
    ///
    /// Requires the leader lease and a committed entry of the current term.
    pub fn can_serve_reads(&self) -> bool {
        let core = self.core.borrow();
        let has_committed = core
            .leader_state()
            .is_some_and(|l| l.first_index <= core.state.index());
        drop(core);
        has_committed && self.holds_lease()
    }

    /// Time without contact to a leader after which this replica starts an election.
    pub fn random_election_timeout(&self) -> Duration {
        self.settings
            .election_timeout
            .mul_f64(1.0 + rand::random::<f64>())
    }

    /// The newest configuration, if this replica may serve reads.
    pub fn read_configuration(&self) -> Result<Rc<Configuration>, RequestError> {
        if !self.can_serve_reads() {
            return Err(self.not_leader());
        }
        Ok(self.core.borrow().state.configuration().clone())
    }

    /// Error that names the current leader, or the reason why this replica is halted.
    pub fn not_leader(&self) -> RequestError {
        let core = self.core.borrow();
        if let Some(reason) = &core.halted {
            return RequestError::Failed(Status::unavailable(reason.to_string()));
        }
        let address = core.leader_address();
        if core.leader == self.identity.instance {
            return RequestError::NotLeader(String::new());
        }
        RequestError::NotLeader(address)
    }

    /// Raises the commit index, applies the committed entries and notifies the waiting tasks.
    pub fn advance_commit(&self) {
        let mut core = self.core.borrow_mut();
        core.advance_commit();
        let changed = core.apply_committed();
        drop(core);
        self.activity.notify();
        if changed {
            self.config_changed.notify();
        }
    }

    /// Halts the replica until its disk, which has failed, is writable again.
    pub fn halt(&self, error: &Error) {
        log_halt(error);
        self.stop(Halt::Disk(format_compact!("{error}")));
    }

    /// Shuts the replica down permanently.
    pub fn close(&self) {
        self.stop(Halt::Closed);
    }

    /// Reloads the state after a disk failure and resumes once the disk is writable.
    ///
    /// Data that a failed sync left in the files may be lost at the next power failure, so all of
    /// it is written again.
    pub async fn recover(&self) -> Result<()> {
        let _disk_guard = self.disk_lock.lock().await;
        let contents = self.store.load().await?;
        if let Some(snapshot) = &contents.snapshot {
            self.store.write_snapshot(snapshot).await?;
        }
        self.store.rewrite(&contents.entries).await?;
        if let Some(hard_state) = &contents.hard_state {
            self.store.write_hard_state(hard_state).await?;
        }
        let mut core = restore(&self.identity, &self.store, contents, self.now())?;
        {
            let before = self.core.borrow();
            core.highest_term = core.highest_term.max(before.highest_term);
            core.commit_index = core
                .commit_index
                .max(before.commit_index.min(core.log.last_index()));
        }
        core.apply_committed();
        let mut current = self.core.borrow_mut();
        if !current.is_closed() {
            *current = core;
        }
        drop(current);
        self.activity.notify();
        self.config_changed.notify();
        Ok(())
    }

    fn stop(&self, halt: Halt) {
        let mut core = self.core.borrow_mut();
        core.become_follower("");
        core.halted = Some(halt);
        drop(core);
        self.activity.notify();
        self.config_changed.notify();
    }

    /// Fails if the replica is halted.
    pub fn ensure_running(&self) -> Result<(), Status> {
        match &self.core.borrow().halted {
            Some(reason) => Err(Status::unavailable(reason.to_string())),
            None => Ok(()),
        }
    }

    /// Writes generation, term and vote to the disk, then updates the copy in memory.
    ///
    /// The caller holds `disk_lock`.
    pub async fn save_hard_state(&self, hard_state: HardState) -> Result<(), Status> {
        self.core.borrow_mut().is_term_pending = true;
        let outcome = self.store.write_hard_state(&hard_state).await;
        self.core.borrow_mut().is_term_pending = false;
        if let Err(error) = outcome {
            self.halt(&error);
            return Err(Status::unavailable(error.to_string()));
        }
        let mut core = self.core.borrow_mut();
        if hard_state.term > core.hard_state.term {
            core.become_follower("");
        }
        core.highest_term = core.highest_term.max(hard_state.term);
        core.hard_state = hard_state;
        Ok(())
    }

    /// Enters a newer term without voting. The caller holds `disk_lock`.
    pub async fn enter_term(&self, term: u64) -> Result<(), Status> {
        let hard_state = HardState {
            term,
            voted_for: String::new(),
            ..self.core.borrow().hard_state.clone()
        };
        self.save_hard_state(hard_state).await
    }

    /// Records a term seen in a message from another replica; a leader of an older term steps down.
    pub fn observe_term(&self, term: u64) {
        let mut core = self.core.borrow_mut();
        core.highest_term = core.highest_term.max(term);
        if term > core.term() && core.leader_state().is_some() {
            core.become_follower("");
            drop(core);
            self.activity.notify();
        }
    }

    /// Becomes leader in the current term, unless this replica was halted while it collected the votes.
    pub fn become_leader(&self, leader_state: super::core::LeaderState) {
        let mut core = self.core.borrow_mut();
        if core.halted.is_some() {
            return;
        }
        core.leader = self.identity.instance.as_str().into();
        core.open_election = None;
        core.role = Role::Leader(leader_state);
    }
}

fn log_halt(error: &Error) {
    log::error!(target: "control", "the replica halts until its disk is writable: {error}");
}

/// The halt of a replica whose disk fails at its start.
fn unread(error: &Error) -> Halt {
    log_halt(error);
    Halt::Unread(format_compact!("{error}"))
}

/// Builds the in-memory state from the contents of the disk.
fn restore(identity: &Member, store: &Store, contents: DiskContents, now: Instant) -> Result<Core> {
    let state = State::restore(contents.snapshot.unwrap_or_default());
    let log = Log::restore(state.index(), state.term(), contents.entries);
    let log = log.ok_or_else(|| store.missing_entries_error())?;
    let hard_state = contents.hard_state.unwrap_or_default();
    Ok(Core::new(&identity.instance, hard_state, state, log, now))
}
