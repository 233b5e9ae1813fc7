use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::format_compact;
use futures_channel::oneshot;
use futures_util::lock::Mutex;
use jaylock_rpc::v1::command::Body;
use jaylock_rpc::v1::{Applied, Command, Configuration, Member};
use jaylock_types::Clock;
use tonic::Status;

use super::Bootstrap;
use super::Ports;
use super::core::{Core, Halt, Pending, Role};
use super::log::Log;
use crate::leases::Leases;
use crate::signal::Signal;
use crate::state::State;
use crate::storage::{Ballot, Contents, Store};
use crate::transport::Transport;
use crate::{Error, ReplicaSettings, Result};

/// What the tasks of a replica share.
pub struct Shared {
    pub identity: Member,
    pub bootstrap: Bootstrap,
    pub settings: ReplicaSettings,
    pub store: Store,
    pub transport: Rc<dyn Transport>,
    pub clock: Rc<dyn Clock>,
    pub core: RefCell<Core>,
    /// Held while the disk is written, so that its records stand in the order of decisions.
    pub writing: Mutex<()>,
    /// Raised when the log grew, the commit moved or the role changed.
    pub work: Signal,
    /// Raised when the configuration changed or the replica stopped following.
    pub changed: Signal,
    pub leases: RefCell<Leases>,
}

/// Why a replica does not take a command or question.
#[derive(Debug)]
pub enum Refusal {
    /// Another replica leads; its address, or empty when none is known.
    NotLeader(String),
    /// Too much waits, or the disk has failed.
    Unable(Status),
}

impl Shared {
    /// Reads the disk.
    pub async fn load(
        identity: Member,
        bootstrap: Bootstrap,
        store: Store,
        ports: Ports,
        settings: ReplicaSettings,
    ) -> Result<Self> {
        let contents = store.load().await?;
        let now = ports.clock.now();
        Ok(Self {
            core: RefCell::new(restore(&identity, &store, contents, now)?),
            identity,
            bootstrap,
            settings,
            store,
            transport: ports.transport,
            clock: ports.clock,
            writing: Mutex::default(),
            work: Signal::default(),
            changed: Signal::default(),
            leases: RefCell::default(),
        })
    }

    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    pub fn is_halted(&self) -> bool {
        self.core.borrow().halted.is_some()
    }

    /// Whether it leads and a majority was heard within the lease.
    pub fn holds_lease(&self) -> bool {
        let now = self.now();
        let core = self.core.borrow();
        core.halted.is_none()
            && core
                .lease_end(self.settings.leader_lease, now)
                .is_some_and(|end| now < end)
    }

    /// Whether it may answer from its own state: it holds the lease and has committed an entry.
    pub fn may_answer(&self) -> bool {
        let core = self.core.borrow();
        let started = core
            .leading()
            .is_some_and(|l| l.start <= core.state.index());
        drop(core);
        started && self.holds_lease()
    }

    /// Time without a leader that this replica waits before an election.
    pub fn patience(&self) -> Duration {
        self.settings
            .election_timeout
            .mul_f64(1.0 + rand::random::<f64>())
    }

    /// The newest configuration, if this replica may answer by itself.
    pub fn newest(&self) -> Result<Rc<Configuration>, Refusal> {
        if !self.may_answer() {
            return Err(self.not_leader());
        }
        Ok(self.core.borrow().state.configuration().clone())
    }

    /// Commits a command and says what became of it.
    pub async fn submit(&self, command: Command) -> Result<Applied, Refusal> {
        if !self.holds_lease() {
            return Err(self.not_leader());
        }
        let receiver = self.enqueue(command)?;
        self.work.raise();
        receiver.await.map_err(|_| self.not_leader())
    }

    /// Commits a command of the leader's own.
    pub async fn submit_body(&self, body: Body) -> Result<Applied, Refusal> {
        let command = Command {
            id: uuid::Uuid::now_v7().simple().to_string(),
            expected_revision: None,
            body: Some(body),
        };
        self.submit(command).await
    }

    fn enqueue(&self, command: Command) -> Result<oneshot::Receiver<Applied>, Refusal> {
        let mut core = self.core.borrow_mut();
        if core.pending.len() >= self.settings.pending_limit {
            return Err(Refusal::Unable(Status::resource_exhausted(
                "too many commands wait for the disks: ask again in a second",
            )));
        }
        let index = core.add(command);
        let (sender, receiver) = oneshot::channel();
        core.pending.push_back(Pending { index, sender });
        Ok(receiver)
    }

    /// Tells who leads instead.
    pub fn not_leader(&self) -> Refusal {
        let core = self.core.borrow();
        if let Some(reason) = &core.halted {
            return Refusal::Unable(Status::unavailable(reason.to_string()));
        }
        let address = core.leader_address();
        if core.leader == self.identity.instance {
            return Refusal::NotLeader(String::new());
        }
        Refusal::NotLeader(address)
    }

    /// Raises the commit index, applies and wakes who waits for it.
    pub fn advance(&self) {
        let mut core = self.core.borrow_mut();
        core.advance();
        let changed = core.apply();
        drop(core);
        self.work.raise();
        if changed {
            self.changed.raise();
        }
    }

    /// Takes no part until its disk, which has failed, can be written again.
    pub fn halt(&self, error: &Error) {
        log::error!(target: "control", "replica stops until its disk can be written: {error}");
        self.stop(Halt::Disk(format_compact!("{error}")));
    }

    /// Takes part no more.
    pub fn close(&self) {
        self.stop(Halt::Closed);
    }

    /// Reads the disk again after it has failed, and takes part again once it can be written.
    ///
    /// What a failed sync has left in the files may be gone with the next loss of power, so all of it is
    /// written anew.
    pub async fn recover(&self) -> Result<()> {
        let _writing = self.writing.lock().await;
        let contents = self.store.load().await?;
        self.store.rewrite(contents.entries.clone()).await?;
        if let Some(ballot) = &contents.ballot {
            self.store.write_ballot(ballot).await?;
        }
        let mut core = restore(&self.identity, &self.store, contents, self.now())?;
        {
            let before = self.core.borrow();
            core.seen_term = core.seen_term.max(before.seen_term);
            core.commit = core.commit.max(before.commit.min(core.log.last_index()));
        }
        core.apply();
        let mut current = self.core.borrow_mut();
        if !current.is_closed() {
            *current = core;
        }
        drop(current);
        self.work.raise();
        self.changed.raise();
        Ok(())
    }

    fn stop(&self, halt: Halt) {
        let mut core = self.core.borrow_mut();
        core.follow("");
        core.halted = Some(halt);
        drop(core);
        self.work.raise();
        self.changed.raise();
    }

    /// Fails unless the replica takes part.
    pub fn check(&self) -> Result<(), Status> {
        match &self.core.borrow().halted {
            Some(reason) => Err(Status::unavailable(reason.to_string())),
            None => Ok(()),
        }
    }

    /// Writes generation, term and vote, then takes them over. The caller holds `writing`.
    pub async fn set_ballot(&self, ballot: Ballot) -> Result<(), Status> {
        if let Err(error) = self.store.write_ballot(&ballot).await {
            self.halt(&error);
            return Err(Status::unavailable(error.to_string()));
        }
        let mut core = self.core.borrow_mut();
        if ballot.term > core.ballot.term {
            core.follow("");
        }
        core.seen_term = core.seen_term.max(ballot.term);
        core.ballot = ballot;
        Ok(())
    }

    /// Moves to a newer term without a vote. The caller holds `writing`.
    pub async fn enter_term(&self, term: u64) -> Result<(), Status> {
        let ballot = Ballot {
            term,
            voted: String::new(),
            ..self.core.borrow().ballot.clone()
        };
        self.set_ballot(ballot).await
    }

    /// Notes a term heard from another replica; a leader of an older one stops leading.
    pub fn note_term(&self, term: u64) {
        let mut core = self.core.borrow_mut();
        core.seen_term = core.seen_term.max(term);
        if term > core.term() && core.leading().is_some() {
            core.follow("");
            drop(core);
            self.work.raise();
        }
    }

    /// Begins to lead in the current term.
    pub fn begin(&self, leading: super::core::Leading) {
        let mut core = self.core.borrow_mut();
        core.leader = self.identity.instance.as_str().into();
        core.role = Role::Leader(leading);
    }
}

/// What a replica holds in memory after it has read its disk.
fn restore(identity: &Member, store: &Store, contents: Contents, now: Instant) -> Result<Core> {
    let state = State::restore(contents.image.unwrap_or_default());
    let log = Log::restore(state.index(), state.term(), contents.entries);
    let log = log.ok_or_else(|| store.incomplete())?;
    let ballot = contents.ballot.unwrap_or_default();
    Ok(Core::new(&identity.instance, ballot, state, log, now))
}
