use std::net::SocketAddr;
use std::time::Duration;

use compio::runtime::Runtime;
use jaylock_rpc::v1::control_client::ControlClient;
use jaylock_rpc::{Channel, ChannelSettings, v1, with_timeout};
use jaylock_types::Secret;
use tonic::{Response, Status};

use super::{Fleet, PEER_SECRET};

/// Time for one replica to answer.
const LIMIT: Duration = Duration::from_millis(500);

impl Fleet {
    /// The instance that leads the replicated log, if one says so.
    #[must_use]
    pub fn leader(&self) -> Option<usize> {
        let up = (0..self.addresses.len()).filter(|place| self.processes[*place].is_some());
        let mut leads = up.filter(|place| {
            let reply = ask(self.listen(*place), async |mut client| {
                client.lag(v1::LagRequest {}).await
            });
            reply.is_some_and(|reply| reply.leader_address.is_none())
        });
        leads.next()
    }

    /// The newest configuration, if just this instance answers for it.
    #[must_use]
    pub fn read_at(&self, place: usize) -> Option<v1::Configuration> {
        let reply = ask(self.listen(place), async |mut client| {
            client.read(v1::ReadRequest {}).await
        });
        reply?.configuration
    }

    /// Commits a command at just this instance; `None` when it does not lead or gives no answer.
    #[must_use]
    pub fn propose_at(&self, place: usize, command: &v1::Command) -> Option<v1::Applied> {
        let request = v1::ProposeRequest {
            command: Some(command.clone()),
        };
        let reply = ask(self.listen(place), async |mut client| {
            client.propose(request.clone()).await
        });
        reply?.applied
    }
}

fn ask<T>(
    address: SocketAddr,
    call: impl AsyncFn(ControlClient<Channel>) -> Result<Response<T>, Status>,
) -> Option<T> {
    let settings = ChannelSettings {
        secret: Secret::new(PEER_SECRET),
        ..Default::default()
    };
    let runtime = Runtime::new().ok()?;
    runtime.block_on(async {
        let client = ControlClient::new(Channel::new(address, settings));
        let answer = with_timeout(LIMIT, call(client)).await;
        answer.ok().map(Response::into_inner)
    })
}
