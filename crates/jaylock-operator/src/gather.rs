use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use jaylock_control::ConfigView;
use jaylock_rpc::v1::peer_client::PeerClient;
use jaylock_rpc::v1::pool_client::PoolClient;
use jaylock_rpc::{Channel, ChannelSettings, v1, with_timeout};
use tonic::Status;

/// What calls to several instances gave.
pub(crate) struct Gathered<T> {
    /// Answers with the name that was asked, in the order of the configuration.
    pub answers: Vec<(String, T)>,
    /// Names that did not answer.
    pub unheard: Vec<String>,
}

/// Asks other instances what they know; clones share the connections.
#[derive(Clone)]
pub(crate) struct Gatherer {
    view: ConfigView,
    settings: ChannelSettings,
    /// Sorted by address.
    channels: Rc<RefCell<Vec<Channel>>>,
}

impl Gatherer {
    pub fn new(view: ConfigView, settings: ChannelSettings) -> Self {
        Self {
            view,
            settings,
            channels: Rc::default(),
        }
    }

    /// Reports of the schedulers of the named pool, or of every pool when the name is empty.
    pub async fn pools(&self, pool: &str) -> Gathered<v1::PoolReport> {
        let config = self.view.current();
        let wanted = config
            .pools
            .iter()
            .filter(|lease| pool.is_empty() || lease.pool == pool);
        let calls = wanted.map(|lease| {
            let holder = config.instances.iter().find(|i| i.id == lease.instance);
            let address = holder.map_or("", |i| i.peer_address.as_str());
            let name = lease.pool.clone();
            self.ask(name.clone(), address.to_owned(), async move |channel| {
                let request = v1::DescribeRequest { pool: name };
                let reply = PoolClient::new(channel).describe(request).await?;
                Ok(reply.into_inner())
            })
        });
        split_outcomes(join_all(calls).await)
    }

    /// Service-level figures of every instance.
    pub async fn burn(&self, request: v1::BurnRequest) -> Gathered<v1::BurnReply> {
        self.peers(async move |channel| {
            let mut client = PeerClient::new(channel).max_decoding_message_size(LARGEST_REPLY);
            let reply = client.burn(request).await?;
            Ok(reply.into_inner())
        })
        .await
    }

    /// What every instance knows of a request.
    pub async fn trace(&self, request: v1::TraceRequest) -> Gathered<v1::TraceReply> {
        let request = &request;
        self.peers(async move |channel| {
            let reply = PeerClient::new(channel).trace(request.clone()).await?;
            Ok(reply.into_inner())
        })
        .await
    }

    async fn peers<T>(&self, call: impl AsyncFn(Channel) -> Result<T, Status>) -> Gathered<T> {
        let config = self.view.current();
        let call = &call;
        let calls = config.instances.iter().map(|instance| {
            let address = instance.peer_address.clone();
            self.ask(instance.id.clone(), address, async move |c| call(c).await)
        });
        split_outcomes(join_all(calls).await)
    }

    async fn ask<T>(
        &self,
        name: String,
        address: String,
        call: impl AsyncFnOnce(Channel) -> Result<T, Status>,
    ) -> (String, Result<T, Status>) {
        let outcome = match address.parse() {
            Ok(address) => with_timeout(ANSWER_TIMEOUT, call(self.channel(address))).await,
            Err(_) => Err(Status::unavailable("no instance has this lease now")),
        };
        if let Err(status) = &outcome {
            log::warn!(target: "operator", "{name} gave no answer: {}", status.message());
        }
        (name, outcome)
    }

    fn channel(&self, address: SocketAddr) -> Channel {
        let mut channels = self.channels.borrow_mut();
        match channels.binary_search_by_key(&address, Channel::address) {
            Ok(at) => channels[at].clone(),
            Err(at) => {
                let channel = Channel::new(address, self.settings.clone());
                channels.insert(at, channel.clone());
                channel
            }
        }
    }
}

fn split_outcomes<T>(outcomes: Vec<(String, Result<T, Status>)>) -> Gathered<T> {
    let mut gathered = Gathered {
        answers: Vec::new(),
        unheard: Vec::new(),
    };
    for (name, outcome) in outcomes {
        match outcome {
            Ok(answer) => gathered.answers.push((name, answer)),
            Err(_) => gathered.unheard.push(name),
        }
    }
    gathered
}

/// Time for one instance to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest reply with service-level figures, in bytes.
const LARGEST_REPLY: usize = 32 << 20;
