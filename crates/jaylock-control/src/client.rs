use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use jaylock_rpc::v1::control_client::ControlClient as Stub;
use jaylock_rpc::v1::{
    Applied, Command, Configuration, DocumentReply, EventsReply, EventsRequest, LagReply,
    LagRequest, ProposeRequest, ReadRequest, RenewReply, RenewRequest, WatchReply, WatchRequest,
};
use jaylock_rpc::{Channel, ChannelSettings};
use jaylock_types::boottime_now;
use prost::Message;
use tonic::{Code, Status, Streaming};

use crate::transport::{Channels, MAX_MESSAGE_BYTES, time_for};
use crate::{ClientSettings, Error, Result};

/// A client of the control replicas that finds the leader; clones share the known replicas.
#[derive(Clone)]
pub struct ControlClient {
    shared: Rc<Shared>,
}

struct Shared {
    channels: Channels,
    settings: ClientSettings,
    seeds: RefCell<Vec<SocketAddr>>,
    /// Addresses of the known replicas; the seeds until a configuration is known.
    replicas: RefCell<Vec<SocketAddr>>,
    /// Replica that sent the last reply, or that another replica named as the leader.
    leader: RefCell<Option<SocketAddr>>,
}

/// Reply of one replica.
enum Reply<T> {
    Success(T),
    /// The replica is not the leader; address of the leader if known.
    NotLeader(Option<SocketAddr>),
}

impl ControlClient {
    /// Creates a client that starts with the seed addresses; nothing is sent yet.
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

    /// Commits a command; it is sent under the same id until a reply arrives.
    ///
    /// # Errors
    /// [`Error::NoLeader`] after the timeout: the command may or may not have been applied, and may
    /// be sent again under the same id. [`Error::Refused`] if the command is malformed.
    pub async fn propose(&self, command: Command) -> Result<Applied> {
        let busy_delay = time_for(self.shared.settings.busy_delay, command.encoded_len());
        let call = async |mut stub: Stub<Channel>| {
            let request = ProposeRequest {
                command: Some(command.clone()),
            };
            let reply = stub.propose(request).await?.into_inner();
            Ok(to_reply(reply.applied, reply.leader_address))
        };
        self.call_leader_patiently(busy_delay, call).await
    }

    /// Commits a command like [`propose`](Self::propose), but sends it only until `last_sending`.
    ///
    /// # Errors
    /// The same as for `propose`, with [`Error::NoLeader`] also when the time is over.
    pub async fn propose_until(&self, command: Command, last_sending: Instant) -> Result<Applied> {
        let started = Instant::now();
        let call = async |mut stub: Stub<Channel>| {
            if boottime_now() > last_sending {
                return Ok(Reply::Success(None));
            }
            let request = ProposeRequest {
                command: Some(command.clone()),
            };
            let reply = stub.propose(request).await?.into_inner();
            Ok(to_reply(reply.applied.map(Some), reply.leader_address))
        };
        let applied = self.call_leader(call).await?;
        applied.ok_or_else(|| Error::NoLeader {
            waited: started.elapsed(),
            reason: "the command is too old to be sent again".into(),
        })
    }

    /// Reads the newest configuration.
    ///
    /// # Errors
    /// [`Error::NoLeader`] after the timeout.
    pub async fn read(&self) -> Result<Configuration> {
        let call = async |mut stub: Stub<Channel>| {
            let reply = stub.read(ReadRequest {}).await?.into_inner();
            let configuration = reply.configuration.map(Configuration::decode).transpose();
            let configuration = configuration.map_err(|e| Status::internal(e.to_string()))?;
            Ok(to_reply(configuration, reply.leader_address))
        };
        let configuration = self.call_leader(call).await?;
        self.update_replicas(&configuration);
        Ok(configuration)
    }

    /// Reads the source text of the newest document.
    ///
    /// # Errors
    /// [`Error::NoLeader`] after the timeout.
    pub async fn read_document(&self) -> Result<DocumentReply> {
        let call = async |mut stub: Stub<Channel>| {
            let mut reply = stub.read_document(ReadRequest {}).await?.into_inner();
            let leader_address = reply.leader_address.take();
            let value = leader_address.is_none().then_some(reply);
            Ok(to_reply(value, leader_address))
        };
        self.call_leader(call).await
    }

    /// Renews the lease of an instance.
    ///
    /// # Errors
    /// [`Error::NoLeader`] after the timeout; [`Error::Refused`] if a newer incarnation of the
    /// instance is known.
    pub async fn renew(&self, request: RenewRequest) -> Result<RenewReply> {
        Ok(self.renew_timed(request).await?.0)
    }

    /// Renews the lease of an instance and returns when the successful request was sent.
    pub(crate) async fn renew_timed(&self, request: RenewRequest) -> Result<(RenewReply, Instant)> {
        let call = async |mut stub: Stub<Channel>| {
            let sent_at = boottime_now();
            let reply = stub.renew(request.clone()).await?.into_inner();
            let leader_address = reply.leader_address.clone();
            let granted = (reply.lease_ms > 0).then_some((reply, sent_at));
            Ok(to_reply(granted, leader_address))
        };
        self.call_leader(call).await
    }

    /// Reads which configuration is active at each instance.
    ///
    /// # Errors
    /// [`Error::NoLeader`] after the timeout.
    pub async fn lag(&self) -> Result<LagReply> {
        let call = async |mut stub: Stub<Channel>| {
            let mut reply = stub.lag(LagRequest {}).await?.into_inner();
            let leader_address = reply.leader_address.take();
            let value = leader_address.is_none().then_some(reply);
            Ok(to_reply(value, leader_address))
        };
        self.call_leader(call).await
    }

    /// Reads the newest `max` events of the event log, oldest first.
    ///
    /// # Errors
    /// [`Error::NoLeader`] if no replica replies before the timeout.
    pub async fn events(&self, max: u32) -> Result<EventsReply> {
        let call = async |mut stub: Stub<Channel>| {
            let reply = stub.events(EventsRequest { most: max }).await?;
            Ok(Reply::Success(reply.into_inner()))
        };
        self.call_leader(call).await
    }

    /// Replaces the known replicas by the members of a configuration.
    pub fn update_replicas(&self, configuration: &Configuration) {
        let members = configuration.members.iter();
        let addresses = members.filter_map(|m| m.peer_address.parse().ok());
        let mut replicas: Vec<SocketAddr> = addresses.collect();
        // The seeds may be outdated, so they are used only while no member is known.
        if replicas.is_empty() {
            replicas.clone_from(&self.shared.seeds.borrow());
        }
        self.shared.channels.retain(&replicas);
        *self.shared.replicas.borrow_mut() = replicas;
    }

    /// Replaces the seeds, which are used until a configuration lists the replicas.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        if seeds.is_empty() {
            return;
        }
        self.shared.replicas.borrow_mut().extend(&seeds);
        *self.shared.seeds.borrow_mut() = seeds;
    }

    /// Settings of the connections.
    pub(crate) fn channel_settings(&self) -> ChannelSettings {
        self.shared.channels.settings().clone()
    }

    /// Opens a stream of the changes after an index, from the replica that `attempt` selects.
    ///
    /// With `is_full`, the stream starts with the full configuration.
    pub(crate) async fn watch(
        &self,
        index: u64,
        is_full: bool,
        attempt: usize,
    ) -> Result<Streaming<WatchReply>, Status> {
        let replicas = self.shared.replicas.borrow().clone();
        if replicas.is_empty() {
            return Err(Status::unavailable("no control replica is known"));
        }
        let address = replicas[attempt % replicas.len()];
        let mut stub = self.shared.stub(address);
        let opening = stub.watch(WatchRequest {
            index,
            whole: is_full,
        });
        let timeout = self.shared.settings.reply_timeout;
        Ok(jaylock_rpc::with_timeout(timeout, opening)
            .await?
            .into_inner())
    }

    /// Calls one replica after another until the leader replies.
    async fn call_leader<T>(
        &self,
        call: impl AsyncFn(Stub<Channel>) -> Result<Reply<T>, Status>,
    ) -> Result<T> {
        let busy_delay = self.shared.settings.busy_delay;
        self.call_leader_patiently(busy_delay, call).await
    }

    /// Calls one replica after another until the leader replies; a busy one again after a delay.
    async fn call_leader_patiently<T>(
        &self,
        busy_delay: Duration,
        call: impl AsyncFn(Stub<Channel>) -> Result<Reply<T>, Status>,
    ) -> Result<T> {
        let shared = &self.shared;
        let started = Instant::now();
        let mut reason = String::from("nobody leads");
        let mut attempt = rand::random_range(0..usize::MAX / 2);
        let mut redirects = 0;
        while started.elapsed() < shared.settings.timeout {
            let Some(address) = shared.next_replica(attempt) else {
                break;
            };
            let remaining = shared.settings.timeout.saturating_sub(started.elapsed());
            let timeout = shared.settings.reply_timeout.min(remaining);
            match jaylock_rpc::with_timeout(timeout, call(shared.stub(address))).await {
                Ok(Reply::Success(value)) => {
                    *shared.leader.borrow_mut() = Some(address);
                    return Ok(value);
                }
                Ok(Reply::NotLeader(Some(leader)))
                    if leader != address && redirects < MAX_REDIRECTS =>
                {
                    *shared.leader.borrow_mut() = Some(leader);
                    redirects += 1;
                    continue;
                }
                Ok(Reply::NotLeader(_)) => {}
                Err(status) if is_permanent(&status) => {
                    return Err(Error::Refused(status.message().into()));
                }
                Err(status) if status.code() == Code::ResourceExhausted => {
                    reason = status.message().into();
                    compio::time::sleep(busy_delay).await;
                    continue;
                }
                Err(status) => reason = status.message().into(),
            }
            *shared.leader.borrow_mut() = None;
            attempt += 1;
            redirects = 0;
            if attempt.is_multiple_of(shared.replicas.borrow().len().max(1)) {
                compio::time::sleep(shared.settings.retry_delay).await;
            }
        }
        let waited = started.elapsed();
        Err(Error::NoLeader { waited, reason })
    }
}

/// Maximum number of consecutive redirects to another leader.
const MAX_REDIRECTS: usize = 4;

impl Shared {
    fn next_replica(&self, attempt: usize) -> Option<SocketAddr> {
        if let Some(leader) = *self.leader.borrow() {
            return Some(leader);
        }
        let replicas = self.replicas.borrow();
        replicas.get(attempt % replicas.len().max(1)).copied()
    }

    fn stub(&self, address: SocketAddr) -> Stub<Channel> {
        Stub::new(self.channels.channel(address)).max_decoding_message_size(MAX_MESSAGE_BYTES)
    }
}

fn to_reply<T>(value: Option<T>, leader_address: Option<String>) -> Reply<T> {
    match value {
        Some(value) => Reply::Success(value),
        None => Reply::NotLeader(leader_address.and_then(|a| a.parse().ok())),
    }
}

/// Whether a retry can't succeed.
fn is_permanent(status: &Status) -> bool {
    matches!(
        status.code(),
        Code::InvalidArgument | Code::FailedPrecondition | Code::Unauthenticated
    )
}
