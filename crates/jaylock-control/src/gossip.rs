use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use jaylock_rpc::ChannelSettings;
use jaylock_rpc::v1::peer_client::PeerClient;
use jaylock_rpc::v1::{SyncReply, SyncRequest};
use jaylock_types::boottime_now;
use rand::seq::IndexedRandom;
use tonic::Status;

use crate::transport::{Channels, MAX_MESSAGE_BYTES};
use crate::{ConfigView, FollowerSettings, InstanceLease};

/// Instances asked at once while control is not heard.
const WIDE_ROUND: usize = 8;

/// Rounds of which one asks a neighbour while control is heard; a watch brings changes sooner.
const QUIET_ROUNDS: usize = 4;

/// Rounds after which another neighbour is asked, so that few connections are open at once.
const NEIGHBOUR_ROUNDS: usize = 60;

/// Distances, in the sorted list of instances, of those asked while control is heard.
const NEIGHBOURS: [usize; 3] = [1, 2, 4];

/// Tells other instances what is in force here, and takes over what is newer there.
pub(crate) struct Gossip {
    instance: String,
    view: ConfigView,
    lease: InstanceLease,
    channels: Channels,
    settings: FollowerSettings,
}

impl Gossip {
    pub fn new(
        instance: String,
        view: ConfigView,
        lease: InstanceLease,
        channel: ChannelSettings,
        settings: FollowerSettings,
    ) -> Self {
        Self {
            instance,
            view,
            lease,
            channels: Channels::new(channel),
            settings,
        }
    }

    pub async fn run(&self) {
        let mut turn = 0_usize;
        loop {
            let started = boottime_now();
            if self.lease.is_valid_at(started + self.round()) {
                if turn.is_multiple_of(QUIET_ROUNDS) {
                    self.ask_neighbour(turn / NEIGHBOUR_ROUNDS).await;
                }
            } else if self.ask_many().await {
                self.view
                    .stay_connected(started + self.settings.connected_timeout);
            }
            turn += 1;
            let pause = self
                .settings
                .gossip_interval
                .saturating_sub(boottime_now() - started);
            compio::time::sleep(pause).await;
        }
    }

    /// Time until the next round has had answers.
    ///
    /// A lease that is renewed in time holds for longer, so that only a late renewal makes it ask many.
    fn round(&self) -> Duration {
        self.settings.gossip_interval + self.settings.reply_timeout / 2
    }

    async fn ask_neighbour(&self, turn: usize) {
        let near = self.neighbours();
        let Some(next) = near.get(turn % near.len().max(1)) else {
            return;
        };
        self.channels.keep(&[*next]);
        let _ = self.sync(*next).await;
    }

    /// Asks a sample of the others and says whether a majority, this instance included, is there.
    async fn ask_many(&self) -> bool {
        let others = self.others();
        let sample = others.choose_multiple(&mut rand::rng(), WIDE_ROUND);
        let replies = join_all(sample.map(|(_, address)| self.sync(*address))).await;
        let heard = replies.iter().filter(|r| r.is_ok()).count();
        let is_known = self.view.index().0 > 0;
        is_known && (heard + 1) * 2 > replies.len() + 1
    }

    async fn sync(&self, address: SocketAddr) -> Result<(), Status> {
        let channel = self.channels.to(address);
        let mut client = PeerClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
        let request = SyncRequest {
            instance: self.instance.clone(),
            index: self.view.index().0,
            heard_control: self.lease.is_valid(),
        };
        let call = client.sync(request);
        let reply = jaylock_rpc::with_timeout(self.settings.reply_timeout, call).await?;
        if let Some(configuration) = reply.into_inner().configuration {
            let _ = self.view.update(configuration);
        }
        Ok(())
    }

    fn neighbours(&self) -> Vec<SocketAddr> {
        let current = self.view.current();
        let all = &current.instances;
        let found = all.binary_search_by(|i| i.id.as_str().cmp(&self.instance));
        let own = found.unwrap_or_else(|at| at);
        let mut near = Vec::new();
        for distance in NEIGHBOURS {
            let other = all.get((own + distance) % all.len().max(1));
            let address = other
                .filter(|i| i.id != self.instance)
                .and_then(|i| i.peer_address.parse().ok());
            near.extend(address.filter(|a| !near.contains(a)));
        }
        near
    }

    fn others(&self) -> Vec<(String, SocketAddr)> {
        let current = self.view.current();
        let others = current.instances.iter().filter(|i| i.id != self.instance);
        let named = others.filter_map(|i| Some((i.id.clone(), i.peer_address.parse().ok()?)));
        named.collect()
    }
}

/// Answers the gossip of other instances; clones share the view.
#[derive(Clone)]
pub struct PeerService {
    view: ConfigView,
    lease: InstanceLease,
}

impl PeerService {
    /// Answers from a view.
    #[must_use]
    pub fn new(view: ConfigView, lease: InstanceLease) -> Self {
        Self { view, lease }
    }

    /// Gives the configuration in force here, if it is newer than the sender's.
    #[must_use]
    pub fn sync(&self, request: &SyncRequest) -> SyncReply {
        let current = self.view.current();
        let newer = (current.index > request.index).then(|| (*current).clone());
        SyncReply {
            index: current.index,
            configuration: newer,
            heard_control: self.lease.is_valid(),
        }
    }
}
