use std::net::SocketAddr;
use std::time::Duration;

use compio::runtime::Runtime;
use jaylock_rpc::v1::control_client::ControlClient;
use jaylock_rpc::{Channel, ChannelSettings, v1, with_timeout};
use jaylock_types::Secret;
use prost::Message;
use tonic::{Response, Status};

use super::{Fleet, PEER_SECRET};

/// Timeout of a call to one replica.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

impl Fleet {
    /// Returns the instance that reports itself as leader of the replicated log.
    #[must_use]
    pub fn leader(&self) -> Option<usize> {
        let running = (0..self.addresses.len()).filter(|index| self.processes[*index].is_some());
        let mut leaders = running.filter(|index| {
            let reply = call(self.listen_address(*index), async |mut client| {
                client.lag(v1::LagRequest {}).await
            });
            reply.is_some_and(|reply| reply.leader_address.is_none())
        });
        leaders.next()
    }

    /// Reads the newest configuration from this instance alone; `None` when it does not reply.
    #[must_use]
    pub fn read_at(&self, index: usize) -> Option<v1::Configuration> {
        let reply = call(self.listen_address(index), async |mut client| {
            client.read(v1::ReadRequest {}).await
        });
        v1::Configuration::decode(reply?.configuration?).ok()
    }

    /// Proposes a command to this instance alone; `None` without a reply or when another leads.
    #[must_use]
    pub fn propose_at(&self, index: usize, command: &v1::Command) -> Option<v1::Applied> {
        let request = v1::ProposeRequest {
            command: Some(command.clone()),
        };
        let reply = call(self.listen_address(index), async |mut client| {
            client.propose(request.clone()).await
        });
        reply?.applied
    }
}

fn call<T>(
    address: SocketAddr,
    method: impl AsyncFn(ControlClient<Channel>) -> Result<Response<T>, Status>,
) -> Option<T> {
    let settings = ChannelSettings {
        secret: Secret::new(PEER_SECRET),
        ..Default::default()
    };
    let runtime = Runtime::new().ok()?;
    runtime.block_on(async {
        let client = ControlClient::new(Channel::new(address, settings));
        let reply = with_timeout(CALL_TIMEOUT, method(client)).await;
        reply.ok().map(Response::into_inner)
    })
}
