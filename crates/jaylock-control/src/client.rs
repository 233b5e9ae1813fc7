use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use jaylock_rpc::v1::control_client::ControlClient as Stub;
use jaylock_rpc::v1::{
    Applied, Command, Configuration, DocumentReply, EventsReply, EventsRequest, LagReply,
    LagRequest, ProposeRequest, ReadRequest, RenewReply, RenewRequest, WatchReply, WatchRequest,
};
use jaylock_rpc::{Channel, ChannelSettings};
use jaylock_types::boottime_now;
use tonic::{Code, Status, Streaming};

use crate::transport::{Channels, MAX_MESSAGE_BYTES};
use crate::{ClientSettings, Error, Result};

/// Finds the leader of the control replicas and asks it; clones share what they learnt.
#[derive(Clone)]
pub struct ControlClient {
    shared: Rc<Shared>,
}

struct Shared {
    channels: Channels,
    settings: ClientSettings,
    seeds: RefCell<Vec<SocketAddr>>,
    /// Replicas that are known, the seeds among them.
    replicas: RefCell<Vec<SocketAddr>>,
    /// Where the last answer came from.
    leader: RefCell<Option<SocketAddr>>,
}

/// What one replica said.
enum Reply<T> {
    Answer(T),
    /// Another leads, if it is known.
    Elsewhere(Option<SocketAddr>),
}

impl ControlClient {
    /// Names addresses at which control replicas may be found; nothing is sent yet.
    #[must_use]
    pub fn new(seeds: Vec<SocketAddr>, channel: ChannelSettings, settings: ClientSettings) -> Self {
        Self {
            shared: Rc::new(Shared {
                channels: Channels::new(channel),
                settings,
                replicas: RefCell::new(seeds.clone()),
                seeds: seeds.into(),
                leader: RefCell::default(),
            }),
        }
    }

    /// Commits a command; the same id goes out until an answer comes.
    ///
    /// # Errors
    /// [`Error::NoLeader`] after the deadline: the command may have been applied or not, and may
    /// be sent again under the same id. [`Error::Refused`] when it is malformed.
    pub async fn propose(&self, command: Command) -> Result<Applied> {
        let ask = async |mut stub: Stub<Channel>| {
            let request = ProposeRequest {
                command: Some(command.clone()),
            };
            let reply = stub.propose(request).await?.into_inner();
            Ok(answer(reply.applied, reply.leader_address))
        };
        self.seek(ask).await
    }

    /// The newest configuration.
    ///
    /// # Errors
    /// [`Error::NoLeader`] after the deadline.
    pub async fn read(&self) -> Result<Configuration> {
        let ask = async |mut stub: Stub<Channel>| {
            let reply = stub.read(ReadRequest {}).await?.into_inner();
            Ok(answer(reply.configuration, reply.leader_address))
        };
        let configuration = self.seek(ask).await?;
        self.learn(&configuration);
        Ok(configuration)
    }

    /// The newest document, as its author wrote it.
    ///
    /// # Errors
    /// [`Error::NoLeader`] after the deadline.
    pub async fn read_document(&self) -> Result<DocumentReply> {
        let ask = async |mut stub: Stub<Channel>| {
            let mut reply = stub.read_document(ReadRequest {}).await?.into_inner();
            let elsewhere = reply.leader_address.take();
            let given = elsewhere.is_none().then_some(reply);
            Ok(answer(given, elsewhere))
        };
        self.seek(ask).await
    }

    /// Renews the lease of an instance.
    ///
    /// # Errors
    /// [`Error::NoLeader`] after the deadline; [`Error::Refused`] when a newer start of the
    /// instance is known.
    pub async fn renew(&self, request: RenewRequest) -> Result<RenewReply> {
        Ok(self.renew_timed(request).await?.0)
    }

    /// Renews the lease of an instance and says when the renewal that was granted was sent.
    pub(crate) async fn renew_timed(&self, request: RenewRequest) -> Result<(RenewReply, Instant)> {
        let ask = async |mut stub: Stub<Channel>| {
            let sent = boottime_now();
            let reply = stub.renew(request.clone()).await?.into_inner();
            let elsewhere = reply.leader_address.clone();
            let granted = (reply.lease_ms > 0).then_some((reply, sent));
            Ok(answer(granted, elsewhere))
        };
        self.seek(ask).await
    }

    /// What each instance has in force.
    ///
    /// # Errors
    /// [`Error::NoLeader`] after the deadline.
    pub async fn lag(&self) -> Result<LagReply> {
        let ask = async |mut stub: Stub<Channel>| {
            let mut reply = stub.lag(LagRequest {}).await?.into_inner();
            let elsewhere = reply.leader_address.take();
            let given = elsewhere.is_none().then_some(reply);
            Ok(answer(given, elsewhere))
        };
        self.seek(ask).await
    }

    /// The newest `most` events of the record of repairs, oldest first.
    ///
    /// # Errors
    /// [`Error::NoLeader`] when no replica answers before the deadline.
    pub async fn events(&self, most: u32) -> Result<EventsReply> {
        let ask = async |mut stub: Stub<Channel>| {
            let reply = stub.events(EventsRequest { most }).await?;
            Ok(Reply::Answer(reply.into_inner()))
        };
        self.seek(ask).await
    }

    /// Takes over the addresses of the replicas that a configuration names.
    pub fn learn(&self, configuration: &Configuration) {
        let members = configuration.members.iter();
        let named = members.filter_map(|m| m.peer_address.parse().ok());
        let mut replicas: Vec<SocketAddr> = named.collect();
        // Members that are known make up for seeds, which may be long gone.
        if replicas.is_empty() {
            replicas.clone_from(&self.shared.seeds.borrow());
        }
        self.shared.channels.keep(&replicas);
        *self.shared.replicas.borrow_mut() = replicas;
    }

    /// Takes other addresses to begin with, where no configuration names the replicas yet.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        if seeds.is_empty() {
            return;
        }
        self.shared.replicas.borrow_mut().extend(&seeds);
        *self.shared.seeds.borrow_mut() = seeds;
    }

    /// Settings of its connections.
    pub(crate) fn channel_settings(&self) -> ChannelSettings {
        self.shared.channels.settings().clone()
    }

    /// Configurations after an index, from any replica that is up to date.
    pub(crate) async fn watch(
        &self,
        index: u64,
        whole: bool,
        turn: usize,
    ) -> Result<Streaming<WatchReply>, Status> {
        let replicas = self.shared.replicas.borrow().clone();
        if replicas.is_empty() {
            return Err(Status::unavailable("no control replica is known"));
        }
        let address = replicas[turn % replicas.len()];
        let mut stub = self.shared.stub(address);
        let opening = stub.watch(WatchRequest { index, whole });
        let limit = self.shared.settings.reply_timeout;
        Ok(jaylock_rpc::with_timeout(limit, opening)
            .await?
            .into_inner())
    }

    /// Asks replica after replica until one gives an answer.
    async fn seek<T>(
        &self,
        ask: impl AsyncFn(Stub<Channel>) -> Result<Reply<T>, Status>,
    ) -> Result<T> {
        let shared = &self.shared;
        let started = Instant::now();
        let mut reason = String::from("nobody leads");
        let mut turn = rand::random_range(0..usize::MAX / 2);
        let mut chases = 0;
        while started.elapsed() < shared.settings.timeout {
            let Some(address) = shared.candidate(turn) else {
                break;
            };
            let left = shared.settings.timeout.saturating_sub(started.elapsed());
            let limit = shared.settings.reply_timeout.min(left);
            match jaylock_rpc::with_timeout(limit, ask(shared.stub(address))).await {
                Ok(Reply::Answer(given)) => {
                    *shared.leader.borrow_mut() = Some(address);
                    return Ok(given);
                }
                Ok(Reply::Elsewhere(Some(leader)))
                    if leader != address && chases < LONGEST_CHASE =>
                {
                    *shared.leader.borrow_mut() = Some(leader);
                    chases += 1;
                    continue;
                }
                Ok(Reply::Elsewhere(_)) => {}
                Err(status) if is_final(&status) => {
                    return Err(Error::Refused(status.message().into()));
                }
                Err(status) => reason = status.message().into(),
            }
            *shared.leader.borrow_mut() = None;
            turn += 1;
            chases = 0;
            if turn.is_multiple_of(shared.replicas.borrow().len().max(1)) {
                compio::time::sleep(shared.settings.retry_pause).await;
            }
        }
        let waited = started.elapsed();
        Err(Error::NoLeader { waited, reason })
    }
}

/// Times in a row that a client follows the name of a leader.
const LONGEST_CHASE: usize = 4;

impl Shared {
    fn candidate(&self, turn: usize) -> Option<SocketAddr> {
        if let Some(leader) = *self.leader.borrow() {
            return Some(leader);
        }
        let replicas = self.replicas.borrow();
        replicas.get(turn % replicas.len().max(1)).copied()
    }

    fn stub(&self, address: SocketAddr) -> Stub<Channel> {
        Stub::new(self.channels.to(address)).max_decoding_message_size(MAX_MESSAGE_BYTES)
    }
}

fn answer<T>(given: Option<T>, elsewhere: Option<String>) -> Reply<T> {
    match given {
        Some(given) => Reply::Answer(given),
        None => Reply::Elsewhere(elsewhere.and_then(|a| a.parse().ok())),
    }
}

/// Whether asking again can't help.
fn is_final(status: &Status) -> bool {
    matches!(
        status.code(),
        Code::InvalidArgument | Code::FailedPrecondition | Code::Unauthenticated
    )
}
