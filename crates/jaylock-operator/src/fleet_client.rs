use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use jaylock_control::ConfigView;
use jaylock_rpc::v1::peer_client::PeerClient;
use jaylock_rpc::v1::pool_client::PoolClient;
use jaylock_rpc::v1::{Configuration, Placement, PlacementRequest, PoolLease};
use jaylock_rpc::{Channel, ChannelSettings, v1, with_timeout};
use tonic::Status;

/// Replies to calls of several instances.
pub(crate) struct Replies<T> {
    /// Replies by name of the called instance or pool, in the order of the configuration.
    pub received: Vec<(String, T)>,
    /// Names of instances or pools that did not respond.
    pub unresponsive: Vec<String>,
}

/// Calls all instances or pool schedulers at once; clones share the connections.
#[derive(Clone)]
pub(crate) struct FleetClient {
    view: ConfigView,
    settings: ChannelSettings,
    /// Sorted by address.
    channels: Rc<RefCell<Vec<Channel>>>,
}

impl FleetClient {
    pub fn new(view: ConfigView, settings: ChannelSettings) -> Self {
        Self {
            view,
            settings,
            channels: Rc::default(),
        }
    }

    /// Reports from the scheduler of a pool, or of every pool when the name is empty.
    pub async fn pools(&self, pool: &str) -> Replies<v1::PoolReport> {
        let configuration = self.view.current();
        let leases = configuration
            .pools
            .iter()
            .filter(|lease| pool.is_empty() || lease.pool == pool);
        let calls = leases.map(|lease| {
            let address = scheduler_address(&configuration, lease);
            let name = lease.pool.clone();
            self.call(name.clone(), address, async move |channel| {
                let request = v1::DescribeRequest { pool: name };
                let reply = PoolClient::new(channel).describe(request).await?;
                Ok(reply.into_inner())
            })
        });
        collect_replies(join_all(calls).await)
    }

    /// What the schedulers of these pools would do with a request, each of which gets its own.
    pub async fn placements(&self, requests: Vec<PlacementRequest>) -> Replies<Placement> {
        let configuration = self.view.current();
        let calls = requests.into_iter().map(|request| {
            let mut leases = configuration.pools.iter();
            let lease = leases.find(|lease| lease.pool == request.pool);
            let address = lease.map_or_else(String::new, |l| scheduler_address(&configuration, l));
            self.call(request.pool.clone(), address, async move |channel| {
                let reply = PoolClient::new(channel).preview(request).await?;
                Ok(reply.into_inner())
            })
        });
        collect_replies(join_all(calls).await)
    }

    /// Burn minutes of every instance.
    pub async fn burn_minutes(&self, request: v1::BurnRequest) -> Replies<v1::BurnReply> {
        self.call_peers(async move |channel| {
            let mut client = PeerClient::new(channel).max_decoding_message_size(MAX_REPLY_BYTES);
            let reply = client.burn(request).await?;
            Ok(reply.into_inner())
        })
        .await
    }

    /// Trace of a request from every instance.
    pub async fn trace(&self, request: v1::TraceRequest) -> Replies<v1::TraceReply> {
        let request = &request;
        self.call_peers(async move |channel| {
            let reply = PeerClient::new(channel).trace(request.clone()).await?;
            Ok(reply.into_inner())
        })
        .await
    }

    /// Calls every instance of the configuration.
    async fn call_peers<T>(&self, call: impl AsyncFn(Channel) -> Result<T, Status>) -> Replies<T> {
        let configuration = self.view.current();
        let call = &call;
        let calls = configuration.instances.iter().map(|instance| {
            let address = instance.peer_address.clone();
            self.call(instance.id.clone(), address, async move |c| call(c).await)
        });
        collect_replies(join_all(calls).await)
    }

    async fn call<T>(
        &self,
        name: String,
        address: String,
        call: impl AsyncFnOnce(Channel) -> Result<T, Status>,
    ) -> (String, Result<T, Status>) {
        let outcome = match address.parse() {
            Ok(address) => with_timeout(REPLY_TIMEOUT, call(self.channel(address))).await,
            Err(_) => Err(Status::unavailable("no instance has this lease now")),
        };
        if let Err(status) = &outcome {
            log::warn!(target: "operator", "{name} did not respond: {}", status.message());
        }
        (name, outcome)
    }

    fn channel(&self, address: SocketAddr) -> Channel {
        let mut channels = self.channels.borrow_mut();
        match channels.binary_search_by_key(&address, Channel::address) {
            Ok(index) => channels[index].clone(),
            Err(index) => {
                let channel = Channel::new(address, self.settings.clone());
                channels.insert(index, channel.clone());
                channel
            }
        }
    }
}

/// Address of the instance with the lease of a pool; empty if there is none.
fn scheduler_address(configuration: &Configuration, lease: &PoolLease) -> String {
    let mut instances = configuration.instances.iter();
    let holder = instances.find(|instance| instance.id == lease.instance);
    holder.map_or_else(String::new, |holder| holder.peer_address.clone())
}

fn collect_replies<T>(outcomes: Vec<(String, Result<T, Status>)>) -> Replies<T> {
    let mut replies = Replies {
        received: Vec::new(),
        unresponsive: Vec::new(),
    };
    for (name, outcome) in outcomes {
        match outcome {
            Ok(reply) => replies.received.push((name, reply)),
            Err(_) => replies.unresponsive.push(name),
        }
    }
    replies
}

/// Timeout of a call to one instance.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a reply with burn minutes.
const MAX_REPLY_BYTES: usize = 32 << 20;
