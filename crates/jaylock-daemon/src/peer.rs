use jaylock_control::PeerService;
use jaylock_observe::Observer;
use jaylock_rpc::pinned;
use jaylock_rpc::v1::peer_server::Peer;
use jaylock_rpc::v1::{
    BurnReply, BurnRequest, KeepReply, SyncReply, SyncRequest, TraceReply, TraceRequest,
};
use jaylock_types::InvalidId;
use send_wrapper::SendWrapper;
use tonic::{Request, Response, Status, async_trait};

/// What other instances ask of this one.
pub struct PeerNotes {
    notes: SendWrapper<Notes>,
}

struct Notes {
    sync: PeerService,
    observer: Observer,
}

impl PeerNotes {
    /// Joins what is in force here with what the observer noted.
    #[must_use]
    pub fn new(sync: PeerService, observer: Observer) -> Self {
        let notes = pinned(Notes { sync, observer });
        Self { notes }
    }
}

#[async_trait]
impl Peer for PeerNotes {
    async fn sync(&self, request: Request<SyncRequest>) -> Result<Response<SyncReply>, Status> {
        Ok(Response::new(self.notes.sync.sync(request.get_ref())))
    }

    async fn burn(&self, request: Request<BurnRequest>) -> Result<Response<BurnReply>, Status> {
        let minutes = self
            .notes
            .observer
            .burn_minutes(request.get_ref().since_minute);
        Ok(Response::new(BurnReply { minutes }))
    }

    async fn keep(&self, request: Request<BurnReply>) -> Result<Response<KeepReply>, Status> {
        self.notes
            .observer
            .store_minutes(request.into_inner().minutes);
        Ok(Response::new(KeepReply {}))
    }

    async fn trace(&self, request: Request<TraceRequest>) -> Result<Response<TraceReply>, Status> {
        let invalid = |e: InvalidId| Status::invalid_argument(e.to_string());
        let request = request.get_ref().request.parse().map_err(invalid)?;
        let steps = self.notes.observer.trace(&request);
        Ok(Response::new(TraceReply { steps }))
    }
}
