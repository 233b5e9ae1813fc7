//! Replicas in one process with simulated disks and a simulated network.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::runtime::JoinHandle;
use futures_util::FutureExt;
use jaylock_control::{Bootstrap, Environment, Replica, ReplicaSettings, ReplyFuture, Transport};
use jaylock_rpc::v1::control_server::Control;
use jaylock_rpc::v1::replica_server::Replica as Peer;
use jaylock_rpc::v1::{
    AppendReply, AppendRequest, Applied, Command, Configuration, EventsRequest, GreetReply,
    GreetRequest, InstallReply, InstallRequest, Instance, Member, ProposeRequest, ReadRequest,
    RenewReply, RenewRequest, VoteReply, VoteRequest,
};
use jaylock_types::SystemClock;
use prost::Message;
use tonic::{Request, Status};

use crate::disk::SimulatedDisk;
use crate::nodes::settings;

/// Time within which a healthy group must reply.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// Machines that can each run a replica, and the network between them.
pub struct Group {
    machines: Rc<Vec<Machine>>,
    bootstrap: Vec<Member>,
    pub settings: ReplicaSettings,
}

/// A machine, whose disk outlives its process.
pub struct Machine {
    pub member: Member,
    pub disk: Rc<SimulatedDisk>,
    running: RefCell<Option<RunningReplica>>,
    /// Additional time that a message to the machine takes, and its reply as well, in ms.
    pub message_delay_ms: Cell<u64>,
    /// Whether messages to and from the machine are lost.
    pub is_isolated: Cell<bool>,
    /// Machines that messages of this one don't reach, and the reverse.
    cut_from: RefCell<Vec<usize>>,
    /// Whether the machine is gone for good or not there yet, so that it can't be started.
    pub is_absent: Cell<bool>,
}

struct RunningReplica {
    replica: Replica,
    _task: JoinHandle<()>,
}

/// Transport from one machine to the others.
struct MemoryTransport {
    machines: Rc<Vec<Machine>>,
    from: usize,
}

impl Machine {
    pub fn replica(&self) -> Option<Replica> {
        self.running.borrow().as_ref().map(|r| r.replica.clone())
    }

    pub fn kill(&self) {
        self.disk.crash();
        self.running.take();
    }

    /// Removes the machine and its disk for good.
    pub fn remove(&self) {
        self.kill();
        self.disk.wipe();
        self.is_absent.set(true);
    }

    async fn delay_message(&self) {
        compio::time::sleep(Duration::from_millis(self.message_delay_ms.get())).await;
    }

    /// Cuts the links to other machines; an empty list restores them.
    pub fn cut_from(&self, others: &[usize]) {
        self.cut_from.replace(others.to_vec());
    }

    fn is_cut_from(&self, other: usize) -> bool {
        self.cut_from.borrow().contains(&other)
    }

    /// Waits while the machine is suspended, and forever if it is isolated; fails if it is down.
    async fn reach(&self) -> Result<Replica, Status> {
        compio::time::sleep(Duration::from_micros(rand::random_range(20..800))).await;
        while self.disk.is_suspended.get() {
            compio::time::sleep(Duration::from_millis(1)).await;
        }
        if self.is_isolated.get() {
            return std::future::pending().await;
        }
        self.replica().ok_or_else(|| Status::unavailable("down"))
    }
}

/// Calls a service of one machine from another.
macro_rules! rpc {
    ($machines:expr, $from:expr, $to:expr, $service:ident, $method:ident, $request:expr) => {{
        let (machines, from, to) = ($machines.clone(), $from, $to);
        let request = $request;
        async move {
            machines[from].reach().await?;
            if machines[from].is_cut_from(to) || machines[to].is_cut_from(from) {
                return std::future::pending().await;
            }
            machines[to].delay_message().await;
            let service = machines[to].reach().await?.$service();
            let reply = service.$method(Request::new(request)).await?;
            machines[to].delay_message().await;
            machines[to].reach().await?;
            machines[from].reach().await?;
            Ok(reply.into_inner())
        }
        .boxed_local()
    }};
}

impl MemoryTransport {
    fn machine_index(&self, member: &Member) -> usize {
        let found = self
            .machines
            .iter()
            .position(|m| m.member.instance == member.instance);
        found.expect("a machine")
    }
}

impl Transport for MemoryTransport {
    fn vote(&self, to: &Member, request: VoteRequest) -> ReplyFuture<VoteReply> {
        rpc!(
            self.machines,
            self.from,
            self.machine_index(to),
            replica_service,
            vote,
            request
        )
    }

    fn append(&self, to: &Member, request: AppendRequest) -> ReplyFuture<AppendReply> {
        rpc!(
            self.machines,
            self.from,
            self.machine_index(to),
            replica_service,
            append,
            request
        )
    }

    fn install(&self, to: &Member, request: InstallRequest) -> ReplyFuture<InstallReply> {
        rpc!(
            self.machines,
            self.from,
            self.machine_index(to),
            replica_service,
            install,
            request
        )
    }

    fn greet(&self, to: SocketAddr) -> ReplyFuture<GreetReply> {
        let address = to.to_string();
        let mut machines = self.machines.iter();
        let index = machines.position(|m| m.member.peer_address == address);
        rpc!(
            self.machines,
            self.from,
            index.expect("a machine"),
            replica_service,
            greet,
            GreetRequest {}
        )
    }
}

impl Group {
    /// Starts `size` machines, the first `replicas` of which form a group.
    pub async fn new(size: usize, replicas: usize) -> Self {
        let group = Self::absent(size, replicas);
        for at in 0..size {
            group.add(at).await;
        }
        group
    }

    /// Creates machines that are not there yet, the first `replicas` of which will form a group.
    pub fn absent(size: usize, replicas: usize) -> Self {
        let machine = |at: usize| Machine {
            member: Member {
                instance: format!("r{at}"),
                peer_address: format!("127.0.0.1:{}", at + 1),
                domain: format!("d{}", at % 3),
                ..Member::default()
            },
            disk: Rc::default(),
            running: RefCell::default(),
            message_delay_ms: Cell::default(),
            is_isolated: Cell::default(),
            cut_from: RefCell::default(),
            is_absent: Cell::new(true),
        };
        let machines: Vec<Machine> = (0..size).map(machine).collect();
        let first = machines.iter().take(replicas);
        Self {
            bootstrap: first.map(|m| m.member.clone()).collect(),
            machines: Rc::new(machines),
            settings: ReplicaSettings {
                voters: replicas,
                reply_timeout: Duration::from_millis(100),
                snapshot_entries: 40,
                retained_entries: 10,
                ..settings()
            },
        }
    }

    /// Adds a machine with an empty disk and starts its process.
    pub async fn add(&self, at: usize) {
        self.machines[at].is_absent.set(false);
        self.start(at).await.expect("a replica");
    }

    pub fn machine(&self, at: usize) -> &Machine {
        &self.machines[at]
    }

    pub fn machines(&self) -> &[Machine] {
        &self.machines
    }

    /// Starts the process of a machine unless it is running.
    pub async fn start(&self, at: usize) -> jaylock_control::Result<()> {
        self.start_as(at, self.bootstrap.clone()).await
    }

    /// Starts the process of a machine with other settings of the first members, unless it is running.
    pub async fn start_as(
        &self,
        at: usize,
        bootstrap: impl Into<Bootstrap>,
    ) -> jaylock_control::Result<()> {
        let machine = &self.machines[at];
        // A process that is started on a suspended machine waits for its disk; who resumes the machine starts it.
        let is_waiting = machine.disk.is_suspended.get();
        if machine.replica().is_some() || machine.is_absent.get() || is_waiting {
            return Ok(());
        }
        let transport = MemoryTransport {
            machines: self.machines.clone(),
            from: at,
        };
        let environment = Environment {
            transport: Rc::new(transport),
            clock: Rc::new(SystemClock),
        };
        let replica = Replica::open_with(
            machine.member.clone(),
            bootstrap,
            machine.disk.open(),
            environment,
            self.settings.clone(),
        )
        .await?;
        let task = compio::runtime::spawn(replica.clone().run());
        *machine.running.borrow_mut() = Some(RunningReplica {
            replica,
            _task: task,
        });
        Ok(())
    }

    /// Machines whose replica reports that it is the leader.
    pub fn leaders(&self) -> Vec<usize> {
        let is_leader = |at: &usize| self.machines[*at].replica().is_some_and(|r| r.is_leader());
        (0..self.machines.len()).filter(is_leader).collect()
    }

    /// Waits until exactly one machine is the leader.
    pub async fn leader(&self) -> usize {
        let started = Instant::now();
        while started.elapsed() < TIMEOUT {
            if let [leader] = self.leaders().as_slice() {
                return *leader;
            }
            compio::time::sleep(Duration::from_millis(5)).await;
        }
        panic!("no leader within {TIMEOUT:?}");
    }

    /// Sends a command to one machine; `None` if it doesn't reply or isn't the leader.
    pub async fn propose_to(&self, at: usize, command: Command) -> Option<Applied> {
        let request = ProposeRequest {
            command: Some(command),
        };
        let call = rpc!(self.machines, at, at, control_service, propose, request);
        let reply: Result<_, Status> = compio::time::timeout(self.call_timeout(), call)
            .await
            .ok()?;
        reply.ok()?.applied
    }

    /// Reads the newest configuration from one machine.
    pub async fn read_from(&self, at: usize) -> Option<Configuration> {
        let call = rpc!(self.machines, at, at, control_service, read, ReadRequest {});
        let reply: Result<_, Status> = compio::time::timeout(self.call_timeout(), call)
            .await
            .ok()?;
        Configuration::decode(reply.ok()?.configuration?).ok()
    }

    /// Renews the lease of an instance at one machine.
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
        self.renew_with(at, request).await
    }

    /// Sends a renewal to one machine; `None` if it doesn't reply or isn't the leader.
    pub async fn renew_with(&self, at: usize, request: RenewRequest) -> Option<RenewReply> {
        let call = rpc!(self.machines, at, at, control_service, renew, request);
        let reply: Result<_, Status> = compio::time::timeout(self.call_timeout(), call)
            .await
            .ok()?;
        reply.ok().filter(|r| r.lease_ms > 0)
    }

    /// Number of member changes in the event log.
    pub async fn count_member_changes(&self) -> usize {
        let events = self.events().await;
        let is_change = |text: &&String| text.starts_with("replica on");
        events.iter().filter(is_change).count()
    }

    /// Texts of the event log, oldest first.
    pub async fn events(&self) -> Vec<String> {
        let at = self.leader().await;
        let replica = self.machines[at].replica().expect("a replica");
        let request = Request::new(EventsRequest { most: u32::MAX });
        let reply = replica.control_service().events(request).await;
        let events = reply.expect("events").into_inner().events;
        events.into_iter().map(|e| e.text).collect()
    }

    /// Sends a command to one machine after another until one has committed it.
    pub async fn propose(&self, command: Command) -> Applied {
        let started = Instant::now();
        for at in (0..self.machines.len()).cycle() {
            if let Some(applied) = self.propose_to(at, command.clone()).await {
                return applied;
            }
            assert!(
                started.elapsed() < TIMEOUT,
                "no reply within {TIMEOUT:?}: {}",
                self.describe()
            );
            compio::time::sleep(Duration::from_millis(2)).await;
        }
        unreachable!("the loop over the machines is endless")
    }

    /// Whether a replica that was halted resumes in time.
    pub async fn resumes(&self, at: usize) -> bool {
        let started = Instant::now();
        while started.elapsed() < TIMEOUT {
            let replica = self.machines[at].replica().expect("a replica");
            if replica.halt_reason().is_none() {
                return true;
            }
            compio::time::sleep(Duration::from_millis(5)).await;
        }
        false
    }

    /// Reads the newest configuration from the first machine that returns it.
    pub async fn read(&self) -> Configuration {
        let started = Instant::now();
        for at in (0..self.machines.len()).cycle() {
            if let Some(configuration) = self.read_from(at).await {
                return configuration;
            }
            assert!(started.elapsed() < TIMEOUT, "no reply within {TIMEOUT:?}");
            compio::time::sleep(Duration::from_millis(2)).await;
        }
        unreachable!("the loop over the machines is endless")
    }

    /// Waits until the newest configuration fulfils a condition.
    pub async fn wait_until(
        &self,
        what: &str,
        condition: impl Fn(&Configuration) -> bool,
    ) -> Configuration {
        let started = Instant::now();
        loop {
            let configuration = self.read().await;
            if condition(&configuration) {
                return configuration;
            }
            assert!(
                started.elapsed() < TIMEOUT,
                "not within {TIMEOUT:?}: {what}; {configuration:?}"
            );
            compio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// What is left of each machine, for failures.
    fn describe(&self) -> String {
        let machines = self.machines.iter().map(|machine| {
            let state = match machine.replica() {
                Some(replica) if replica.is_leader() => "leads",
                Some(_) => "runs",
                None if machine.is_absent.get() => "absent",
                None => "down",
            };
            let disk = if machine.disk.has_vote() {
                "kept"
            } else {
                "empty"
            };
            format!("{} {state}, its disk {disk}", machine.member.instance)
        });
        machines.collect::<Vec<_>>().join(", ")
    }

    fn call_timeout(&self) -> Duration {
        self.settings.election_timeout * 3
    }
}
