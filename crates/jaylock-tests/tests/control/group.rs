//! Replicas in one process whose disks and network the test places.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::runtime::JoinHandle;
use futures_util::FutureExt;
use jaylock_control::{Environment, Replica, ReplicaSettings, ReplyFuture, Transport};
use jaylock_rpc::v1::control_server::Control;
use jaylock_rpc::v1::replica_server::Replica as Peer;
use jaylock_rpc::v1::{
    AppendReply, AppendRequest, Applied, Command, Configuration, EventsRequest, InstallReply,
    InstallRequest, Instance, Member, ProposeRequest, ReadRequest, RenewReply, RenewRequest,
    VoteReply, VoteRequest,
};
use jaylock_types::SystemClock;
use tonic::{Request, Status};

use crate::disk::Medium;
use crate::fleet::settings;

/// Time within which a healthy group must answer.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Machines that each may run a replica, and the network between them.
pub struct Group {
    machines: Rc<Vec<Machine>>,
    bootstrap: Vec<Member>,
    pub settings: ReplicaSettings,
}

/// A machine: its disk outlives its process.
pub struct Machine {
    pub member: Member,
    pub medium: Rc<Medium>,
    running: RefCell<Option<Running>>,
    /// Whether messages to and from it are lost.
    pub cut: Cell<bool>,
}

struct Running {
    replica: Replica,
    _task: JoinHandle<()>,
}

/// The network as one machine sees it.
struct Wire {
    machines: Rc<Vec<Machine>>,
    own: usize,
}

impl Machine {
    pub fn replica(&self) -> Option<Replica> {
        self.running.borrow().as_ref().map(|r| r.replica.clone())
    }

    pub fn kill(&self) {
        self.medium.crash();
        self.running.take();
    }

    /// Waits while the machine is frozen; fails when it is cut off or down.
    async fn pass(&self) -> Result<Replica, Status> {
        compio::time::sleep(Duration::from_micros(rand::random_range(20..800))).await;
        while self.medium.frozen.get() {
            compio::time::sleep(Duration::from_millis(1)).await;
        }
        if self.cut.get() {
            return std::future::pending().await;
        }
        self.replica().ok_or_else(|| Status::unavailable("down"))
    }
}

/// Calls a service of a machine across the network.
macro_rules! across {
    ($machines:expr, $from:expr, $to:expr, $which:ident, $method:ident, $request:expr) => {{
        let (machines, from, to) = ($machines.clone(), $from, $to);
        let request = $request;
        async move {
            machines[from].pass().await?;
            let service = machines[to].pass().await?.$which();
            let reply = service.$method(Request::new(request)).await?;
            machines[to].pass().await?;
            machines[from].pass().await?;
            Ok(reply.into_inner())
        }
        .boxed_local()
    }};
}

impl Wire {
    fn to(&self, member: &Member) -> usize {
        let found = self
            .machines
            .iter()
            .position(|m| m.member.instance == member.instance);
        found.expect("a machine")
    }
}

impl Transport for Wire {
    fn vote(&self, to: &Member, request: VoteRequest) -> ReplyFuture<VoteReply> {
        across!(
            self.machines,
            self.own,
            self.to(to),
            replica_service,
            vote,
            request
        )
    }

    fn append(&self, to: &Member, request: AppendRequest) -> ReplyFuture<AppendReply> {
        across!(
            self.machines,
            self.own,
            self.to(to),
            replica_service,
            append,
            request
        )
    }

    fn install(&self, to: &Member, request: InstallRequest) -> ReplyFuture<InstallReply> {
        across!(
            self.machines,
            self.own,
            self.to(to),
            replica_service,
            install,
            request
        )
    }
}

impl Group {
    /// `size` machines, the first `replicas` of which begin a group.
    pub async fn new(size: usize, replicas: usize) -> Self {
        let machine = |at: usize| Machine {
            member: Member {
                instance: format!("r{at}"),
                peer_address: format!("127.0.0.1:{}", at + 1),
                domain: format!("d{}", at % 3),
                ..Member::default()
            },
            medium: Rc::default(),
            running: RefCell::default(),
            cut: Cell::default(),
        };
        let machines: Vec<Machine> = (0..size).map(machine).collect();
        let first = machines.iter().take(replicas);
        let group = Self {
            bootstrap: first.map(|m| m.member.clone()).collect(),
            machines: Rc::new(machines),
            settings: ReplicaSettings {
                voters: replicas,
                reply_timeout: Duration::from_millis(100),
                snapshot_entries: 40,
                retained_entries: 10,
                ..settings()
            },
        };
        for at in 0..size {
            group.start(at).await.expect("a replica");
        }
        group
    }

    pub fn machine(&self, at: usize) -> &Machine {
        &self.machines[at]
    }

    pub fn machines(&self) -> &[Machine] {
        &self.machines
    }

    /// Starts a machine's process, unless it runs.
    pub async fn start(&self, at: usize) -> jaylock_control::Result<()> {
        let machine = &self.machines[at];
        if machine.replica().is_some() {
            return Ok(());
        }
        let wire = Wire {
            machines: self.machines.clone(),
            own: at,
        };
        let environment = Environment {
            transport: Rc::new(wire),
            clock: Rc::new(SystemClock),
        };
        let replica = Replica::open_with(
            machine.member.clone(),
            self.bootstrap.clone(),
            machine.medium.open(),
            environment,
            self.settings.clone(),
        )
        .await?;
        let task = compio::runtime::spawn(replica.clone().run());
        *machine.running.borrow_mut() = Some(Running {
            replica,
            _task: task,
        });
        Ok(())
    }

    /// Machines whose replica says that it leads.
    pub fn leaders(&self) -> Vec<usize> {
        let leads = |at: &usize| self.machines[*at].replica().is_some_and(|r| r.is_leader());
        (0..self.machines.len()).filter(leads).collect()
    }

    /// Waits until one leads.
    pub async fn leader(&self) -> usize {
        let started = Instant::now();
        while started.elapsed() < PATIENCE {
            if let [leader] = self.leaders().as_slice() {
                return *leader;
            }
            compio::time::sleep(Duration::from_millis(5)).await;
        }
        panic!("no leader within {PATIENCE:?}");
    }

    /// Asks one machine to commit a command; `None` when it does not answer or does not lead.
    pub async fn propose_to(&self, at: usize, command: Command) -> Option<Applied> {
        let request = ProposeRequest {
            command: Some(command),
        };
        let call = across!(self.machines, at, at, control_service, propose, request);
        let reply: Result<_, Status> = compio::time::timeout(self.limit(), call).await.ok()?;
        reply.ok()?.applied
    }

    /// Asks one machine for the newest configuration.
    pub async fn read_from(&self, at: usize) -> Option<Configuration> {
        let call = across!(self.machines, at, at, control_service, read, ReadRequest {});
        let reply: Result<_, Status> = compio::time::timeout(self.limit(), call).await.ok()?;
        reply.ok()?.configuration
    }

    /// Renews an instance's lease at one machine.
    pub async fn renew_at(
        &self,
        at: usize,
        instance: &Instance,
        pools: &[&str],
    ) -> Option<RenewReply> {
        let request = RenewRequest {
            instance: Some(instance.clone()),
            pools: pools.iter().map(ToString::to_string).collect(),
            ..RenewRequest::default()
        };
        let call = across!(self.machines, at, at, control_service, renew, request);
        let reply: Result<_, Status> = compio::time::timeout(self.limit(), call).await.ok()?;
        reply.ok().filter(|r| r.lease_ms > 0)
    }

    /// Changes of members that the record of repairs holds.
    pub async fn members_changed(&self) -> usize {
        let at = self.leader().await;
        let replica = self.machines[at].replica().expect("a replica");
        let request = Request::new(EventsRequest { most: u32::MAX });
        let reply = replica.control_service().events(request).await;
        let events = reply.expect("events").into_inner().events;
        events
            .iter()
            .filter(|e| e.text.starts_with("replica on"))
            .count()
    }

    /// Asks machine after machine until one has committed a command.
    pub async fn propose(&self, command: Command) -> Applied {
        let started = Instant::now();
        for at in (0..self.machines.len()).cycle() {
            if let Some(applied) = self.propose_to(at, command.clone()).await {
                return applied;
            }
            assert!(
                started.elapsed() < PATIENCE,
                "no answer within {PATIENCE:?}"
            );
            compio::time::sleep(Duration::from_millis(2)).await;
        }
        unreachable!("the machines are asked in a circle")
    }

    /// Asks machine after machine for the newest configuration.
    pub async fn read(&self) -> Configuration {
        let started = Instant::now();
        for at in (0..self.machines.len()).cycle() {
            if let Some(configuration) = self.read_from(at).await {
                return configuration;
            }
            assert!(
                started.elapsed() < PATIENCE,
                "no answer within {PATIENCE:?}"
            );
            compio::time::sleep(Duration::from_millis(2)).await;
        }
        unreachable!("the machines are asked in a circle")
    }

    /// Waits until the newest configuration is as wanted.
    pub async fn until(
        &self,
        what: &str,
        wanted: impl Fn(&Configuration) -> bool,
    ) -> Configuration {
        let started = Instant::now();
        loop {
            let configuration = self.read().await;
            if wanted(&configuration) {
                return configuration;
            }
            assert!(
                started.elapsed() < PATIENCE,
                "not within {PATIENCE:?}: {what}; {configuration:?}"
            );
            compio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    fn limit(&self) -> Duration {
        self.settings.election_timeout * 3
    }
}
