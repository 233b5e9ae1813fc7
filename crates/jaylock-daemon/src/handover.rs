use std::net::SocketAddr;
use std::time::Duration;

use jaylock_control::ConfigView;
use jaylock_observe::Observer;
use jaylock_rpc::v1::peer_client::PeerClient;
use jaylock_rpc::v1::{BurnMinute, BurnReply, Instance};
use jaylock_rpc::{Channel, ChannelSettings, within};
use jaylock_types::{DomainId, InstanceId};

/// Time between two looks for finished minutes.
const INTERVAL: Duration = Duration::from_secs(5);
/// Instances that keep a copy of each minute.
const COPIES: usize = 2;
/// Time for another instance to take the minutes.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Hands finished minutes of service-level figures to other instances.
pub struct Handover {
    /// Holder of the figures.
    pub observer: Observer,
    /// Names the other instances.
    pub view: ConfigView,
    /// This instance.
    pub instance: InstanceId,
    /// Failure domain of this instance.
    pub domain: DomainId,
    /// How others are reached.
    pub channel: ChannelSettings,
}

impl Handover {
    /// Hands minutes over until the future is dropped.
    pub async fn run(self) {
        loop {
            compio::time::sleep(INTERVAL).await;
            self.hand_over().await;
        }
    }

    /// Hands over all that is finished now.
    pub async fn hand_over(&self) {
        let minutes = self.observer.take_finished_minutes();
        if minutes.is_empty() {
            return;
        }
        for address in self.keepers() {
            if let Err(error) = self.send(address, minutes.clone()).await {
                log::warn!(target: "observe", "{address} kept no minutes: {}", error.message());
            }
        }
    }

    /// The next instances by name, those of other failure domains first.
    fn keepers(&self) -> Vec<SocketAddr> {
        let configuration = self.view.current();
        let (id, domain) = (self.instance.as_str(), self.domain.as_str());
        let others = configuration
            .instances
            .iter()
            .filter(|i| i.id != id && !i.leaving);
        let mut others: Vec<&Instance> = others.collect();
        others.sort_by_key(|i| (i.domain == domain, i.id.as_str() < id));
        let addresses = others.iter().filter_map(|i| i.peer_address.parse().ok());
        addresses.take(COPIES).collect()
    }

    async fn send(&self, to: SocketAddr, minutes: Vec<BurnMinute>) -> Result<(), tonic::Status> {
        let mut client = PeerClient::new(Channel::new(to, self.channel.clone()));
        within(TIMEOUT, client.keep(BurnReply { minutes })).await?;
        Ok(())
    }
}
