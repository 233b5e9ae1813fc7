use std::net::SocketAddr;
use std::time::Duration;

use jaylock_control::ConfigView;
use jaylock_observe::Observer;
use jaylock_rpc::v1::peer_client::PeerClient;
use jaylock_rpc::v1::{BurnMinute, BurnReply, Instance};
use jaylock_rpc::{Channel, ChannelSettings, with_timeout};
use jaylock_types::{DomainId, InstanceId};

/// Time between two checks for finished minutes.
const POLL_INTERVAL: Duration = Duration::from_secs(5);
/// Number of other instances that store a copy of each minute.
const MAX_COPIES: usize = 2;
/// Timeout of a call that sends minutes to another instance.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Copies finished minutes of service-level figures to other instances.
pub struct MinuteReplicator {
    /// Observer that collects the figures.
    pub observer: Observer,
    /// Configuration that lists the other instances.
    pub view: ConfigView,
    /// This instance.
    pub instance: InstanceId,
    /// Failure domain of this instance.
    pub domain: DomainId,
    /// Settings of the connections to other instances.
    pub channel: ChannelSettings,
}

impl MinuteReplicator {
    /// Replicates finished minutes until the future is dropped.
    pub async fn run(self) {
        loop {
            compio::time::sleep(POLL_INTERVAL).await;
            self.replicate().await;
        }
    }

    /// Replicates all minutes that are finished now.
    pub async fn replicate(&self) {
        let minutes = self.observer.take_finished_minutes();
        if minutes.is_empty() {
            return;
        }
        for address in self.recipients() {
            if let Err(error) = self.send(address, minutes.clone()).await {
                log::warn!(target: "observe", "can't replicate minutes to {address}: {}", error.message());
            }
        }
    }

    /// Peer addresses of the next instances by name, other failure domains first.
    fn recipients(&self) -> Vec<SocketAddr> {
        let configuration = self.view.current();
        let (id, domain) = (self.instance.as_str(), self.domain.as_str());
        let others = configuration
            .instances
            .iter()
            .filter(|i| i.id != id && !i.leaving);
        let mut others: Vec<&Instance> = others.collect();
        others.sort_by_key(|i| (i.domain == domain, i.id.as_str() < id));
        let addresses = others.iter().filter_map(|i| i.peer_address.parse().ok());
        addresses.take(MAX_COPIES).collect()
    }

    async fn send(&self, to: SocketAddr, minutes: Vec<BurnMinute>) -> Result<(), tonic::Status> {
        let mut client = PeerClient::new(Channel::new(to, self.channel.clone()));
        with_timeout(SEND_TIMEOUT, client.keep(BurnReply { minutes })).await?;
        Ok(())
    }
}
