use jaylock_control::PeerService;
use jaylock_observe::Observer;
use jaylock_rpc::local_value;
use jaylock_rpc::v1::peer_server::Peer;
use jaylock_rpc::v1::{
    BurnReply, BurnRequest, KeepReply, SyncReply, SyncRequest, TraceReply, TraceRequest,
};
use jaylock_types::InvalidId;
use send_wrapper::SendWrapper;
use tonic::{Request, Response, Status, async_trait};

/// gRPC service for the calls of other instances.
pub struct PeerEndpoint {
    state: SendWrapper<State>,
}

struct State {
    sync: PeerService,
    observer: Observer,
}

impl PeerEndpoint {
    /// Creates the service from the configuration exchange and the observer of this instance.
    #[must_use]
    pub fn new(sync: PeerService, observer: Observer) -> Self {
        let state = local_value(State { sync, observer });
        Self { state }
    }
}

#[async_trait]
impl Peer for PeerEndpoint {
    async fn sync(&self, request: Request<SyncRequest>) -> Result<Response<SyncReply>, Status> {
        Ok(Response::new(self.state.sync.sync(request.get_ref())))
    }

    async fn burn(&self, request: Request<BurnRequest>) -> Result<Response<BurnReply>, Status> {
        let minutes = self
            .state
            .observer
            .burn_minutes(request.get_ref().since_minute);
        Ok(Response::new(BurnReply { minutes }))
    }

    async fn keep(&self, request: Request<BurnReply>) -> Result<Response<KeepReply>, Status> {
        self.state
            .observer
            .store_minutes(request.into_inner().minutes);
        Ok(Response::new(KeepReply {}))
    }

    async fn trace(&self, request: Request<TraceRequest>) -> Result<Response<TraceReply>, Status> {
        let invalid = |e: InvalidId| Status::invalid_argument(e.to_string());
        let request = request.get_ref().request.parse().map_err(invalid)?;
        let steps = self.state.observer.trace(&request);
        Ok(Response::new(TraceReply { steps }))
    }
}
