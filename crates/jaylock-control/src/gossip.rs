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

/// Number of instances called in each round while the lease from control is not valid.
const SAMPLE_SIZE: usize = 8;

/// Rounds per call to a neighbour while the lease is valid; the watch delivers changes sooner.
const NEIGHBOUR_INTERVAL_ROUNDS: usize = 4;

/// Rounds with the same neighbour, so that few connections are open at a time.
const NEIGHBOUR_SWITCH_ROUNDS: usize = 60;

/// Distances of the neighbours from this instance in the sorted list of instances.
const NEIGHBOUR_DISTANCES: [usize; 3] = [1, 2, 4];

/// Exchanges configurations with other instances and adopts newer ones.
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
        let mut round = 0_usize;
        loop {
            let started = boottime_now();
            if self.lease.is_valid_at(started + self.round_duration()) {
                if round.is_multiple_of(NEIGHBOUR_INTERVAL_ROUNDS) {
                    self.sync_with_neighbour(round / NEIGHBOUR_SWITCH_ROUNDS)
                        .await;
                }
            } else if self.sync_with_sample().await {
                self.view
                    .extend_connected(started + self.settings.connected_timeout);
            }
            round += 1;
            let delay = self
                .settings
                .gossip_interval
                .saturating_sub(boottime_now() - started);
            compio::time::sleep(delay).await;
        }
    }

    /// Time until the calls of the next round have finished.
    ///
    /// A lease that is renewed in time is valid for longer than that, so only a late renewal leads to
    /// calls to many instances.
    fn round_duration(&self) -> Duration {
        self.settings.gossip_interval + self.settings.reply_timeout / 2
    }

    async fn sync_with_neighbour(&self, number: usize) {
        let neighbours = self.neighbours();
        let Some(address) = neighbours.get(number % neighbours.len().max(1)) else {
            return;
        };
        self.channels.retain(&[*address]);
        let _ = self.sync(*address).await;
    }

    /// Calls a sample of the others; returns whether a majority replied, counting this instance.
    async fn sync_with_sample(&self) -> bool {
        let others = self.others();
        let sample = others.choose_multiple(&mut rand::rng(), SAMPLE_SIZE);
        let replies = join_all(sample.map(|(_, address)| self.sync(*address))).await;
        let reply_count = replies.iter().filter(|r| r.is_ok()).count();
        let has_configuration = self.view.index().0 > 0;
        has_configuration && (reply_count + 1) * 2 > replies.len() + 1
    }

    async fn sync(&self, address: SocketAddr) -> Result<(), Status> {
        let channel = self.channels.channel(address);
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
        let search = all.binary_search_by(|i| i.id.as_str().cmp(&self.instance));
        let own_index = search.unwrap_or_else(|position| position);
        let mut neighbours = Vec::new();
        for distance in NEIGHBOUR_DISTANCES {
            let neighbour = all.get((own_index + distance) % all.len().max(1));
            let address = neighbour
                .filter(|i| i.id != self.instance)
                .and_then(|i| i.peer_address.parse().ok());
            neighbours.extend(address.filter(|a| !neighbours.contains(a)));
        }
        neighbours
    }

    fn others(&self) -> Vec<(String, SocketAddr)> {
        let current = self.view.current();
        let others = current.instances.iter().filter(|i| i.id != self.instance);
        let addresses = others.filter_map(|i| Some((i.id.clone(), i.peer_address.parse().ok()?)));
        addresses.collect()
    }
}

/// Handles the gossip of other instances; clones share the view.
#[derive(Clone)]
pub struct PeerService {
    view: ConfigView,
    lease: InstanceLease,
}

impl PeerService {
    /// Creates a service that replies from `view`.
    #[must_use]
    pub fn new(view: ConfigView, lease: InstanceLease) -> Self {
        Self { view, lease }
    }

    /// Returns the active configuration of this instance if it is newer than that of the sender.
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
