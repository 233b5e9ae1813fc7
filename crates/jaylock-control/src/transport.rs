use std::cell::RefCell;
use std::net::SocketAddr;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use jaylock_rpc::v1::replica_client::ReplicaClient;
use jaylock_rpc::v1::{
    AppendReply, AppendRequest, GreetReply, GreetRequest, InstallReply, InstallRequest, Member,
    VoteReply, VoteRequest,
};
use jaylock_rpc::{Channel, ChannelSettings};
use tonic::Status;

/// Answer of another replica, under way.
pub type Answer<T> = LocalBoxFuture<'static, Result<T, Status>>;

/// Port to the other replicas.
pub trait Transport {
    /// Asks for a vote.
    fn vote(&self, to: &Member, request: VoteRequest) -> Answer<VoteReply>;

    /// Sends entries, or only shows that the leader lives.
    fn append(&self, to: &Member, request: AppendRequest) -> Answer<AppendReply>;

    /// Sends a piece of a snapshot.
    fn install(&self, to: &Member, request: InstallRequest) -> Answer<InstallReply>;

    /// Asks who an instance is.
    fn greet(&self, to: SocketAddr) -> Answer<GreetReply> {
        let unknown = Status::unimplemented(format!("nothing is known of the instance at {to}"));
        async move { Err(unknown) }.boxed_local()
    }
}

/// Reaches the other replicas by gRPC.
pub struct RpcTransport {
    channels: Channels,
}

impl RpcTransport {
    /// Connects when a replica is first asked.
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
        Ok(ReplicaClient::new(self.channels.to(address))
            .max_decoding_message_size(MAX_MESSAGE_BYTES))
    }
}

/// Largest message between instances, bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = 16 << 20;

macro_rules! call {
    ($client:expr, $method:ident, $request:expr) => {{
        let client = $client;
        async move { Ok(client?.$method($request).await?.into_inner()) }.boxed_local()
    }};
}

impl Transport for RpcTransport {
    fn vote(&self, to: &Member, request: VoteRequest) -> Answer<VoteReply> {
        call!(self.client(to), vote, request)
    }

    fn append(&self, to: &Member, request: AppendRequest) -> Answer<AppendReply> {
        call!(self.client(to), append, request)
    }

    fn install(&self, to: &Member, request: InstallRequest) -> Answer<InstallReply> {
        call!(self.client(to), install, request)
    }

    fn greet(&self, to: SocketAddr) -> Answer<GreetReply> {
        let mut client = ReplicaClient::new(self.channels.to(to));
        async move { Ok(client.greet(GreetRequest {}).await?.into_inner()) }.boxed_local()
    }
}

/// One channel for each address.
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

    /// The channel to an address; it opens when it is first used.
    pub fn to(&self, address: SocketAddr) -> Channel {
        let mut open = self.open.borrow_mut();
        match open.binary_search_by_key(&address, Channel::address) {
            Ok(at) => open[at].clone(),
            Err(at) => {
                let channel = Channel::new(address, self.settings.clone());
                open.insert(at, channel.clone());
                channel
            }
        }
    }

    /// Closes the channels to all but some addresses.
    pub fn keep(&self, wanted: &[SocketAddr]) {
        self.open
            .borrow_mut()
            .retain(|c| wanted.contains(&c.address()));
    }
}
