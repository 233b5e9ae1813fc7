use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use jaylock_rpc::v1::replica_client::ReplicaClient;
use jaylock_rpc::v1::{
    AppendReply, AppendRequest, GreetReply, GreetRequest, InstallReply, InstallRequest, Member,
    VoteReply, VoteRequest,
};
use jaylock_rpc::{Channel, ChannelSettings};
use tonic::Status;

/// A pending reply of another replica.
pub type ReplyFuture<T> = LocalBoxFuture<'static, Result<T, Status>>;

/// Calls to the other replicas.
pub trait Transport {
    /// Asks for a vote.
    fn vote(&self, to: &Member, request: VoteRequest) -> ReplyFuture<VoteReply>;

    /// Sends entries, or none as a heartbeat.
    fn append(&self, to: &Member, request: AppendRequest) -> ReplyFuture<AppendReply>;

    /// Sends a chunk of a snapshot.
    fn install(&self, to: &Member, request: InstallRequest) -> ReplyFuture<InstallReply>;

    /// Asks an instance for its member record.
    fn greet(&self, to: SocketAddr) -> ReplyFuture<GreetReply> {
        let unknown = Status::unimplemented(format!("nothing is known of the instance at {to}"));
        async move { Err(unknown) }.boxed_local()
    }
}

/// Time for a message of some size, for which a small one has `base`: as much again for each MiB.
pub fn time_for(base: Duration, bytes: usize) -> Duration {
    let factor = 1 + bytes / BYTES_PER_TIME;
    base.saturating_mul(u32::try_from(factor).unwrap_or(u32::MAX))
}

/// Size of a message for each further time that it may take.
const BYTES_PER_TIME: usize = 1 << 20;

/// Calls the other replicas by gRPC.
pub struct RpcTransport {
    channels: Channels,
}

impl RpcTransport {
    /// Connects to a replica at the first call to it.
    #[must_use]
    pub fn new(settings: ChannelSettings) -> Self {
        Self {
            channels: Channels::new(settings),
        }
    }

    fn client(&self, to: &Member) -> Result<ReplicaClient<Channel>, Status> {
        let address = to.peer_address.parse().map_err(|_| {
            Status::invalid_argument(format!(
                "replica {} has the address {:?}: write IP:PORT",
                to.instance, to.peer_address
            ))
        })?;
        Ok(ReplicaClient::new(self.channels.channel(address))
            .max_decoding_message_size(MAX_MESSAGE_BYTES))
    }
}

/// Maximum size of a message between instances.
pub(crate) const MAX_MESSAGE_BYTES: usize = 64 << 20;

macro_rules! call {
    ($client:expr, $method:ident, $request:expr) => {{
        let client = $client;
        async move { Ok(client?.$method($request).await?.into_inner()) }.boxed_local()
    }};
}

impl Transport for RpcTransport {
    fn vote(&self, to: &Member, request: VoteRequest) -> ReplyFuture<VoteReply> {
        call!(self.client(to), vote, request)
    }

    fn append(&self, to: &Member, request: AppendRequest) -> ReplyFuture<AppendReply> {
        call!(self.client(to), append, request)
    }

    fn install(&self, to: &Member, request: InstallRequest) -> ReplyFuture<InstallReply> {
        call!(self.client(to), install, request)
    }

    fn greet(&self, to: SocketAddr) -> ReplyFuture<GreetReply> {
        let mut client = ReplicaClient::new(self.channels.channel(to));
        async move { Ok(client.greet(GreetRequest {}).await?.into_inner()) }.boxed_local()
    }
}

/// Channels to other instances, one for each address.
pub(crate) struct Channels {
    settings: ChannelSettings,
    /// Sorted by address.
    open: RefCell<Vec<Channel>>,
}

impl Channels {
    pub fn new(settings: ChannelSettings) -> Self {
        Self {
            settings,
            open: RefCell::default(),
        }
    }

    pub fn settings(&self) -> &ChannelSettings {
        &self.settings
    }

    /// The channel to an address, which connects at its first use.
    pub fn channel(&self, address: SocketAddr) -> Channel {
        let mut open = self.open.borrow_mut();
        match open.binary_search_by_key(&address, Channel::address) {
            Ok(index) => open[index].clone(),
            Err(index) => {
                let channel = Channel::new(address, self.settings.clone());
                open.insert(index, channel.clone());
                channel
            }
        }
    }

    /// Closes the channels to all addresses except the given ones.
    pub fn retain(&self, addresses: &[SocketAddr]) {
        self.open
            .borrow_mut()
            .retain(|c| addresses.contains(&c.address()));
    }
}
