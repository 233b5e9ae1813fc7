use jaylock_rpc::v1::peer_server::Peer;
use jaylock_rpc::v1::{
    BurnReply, BurnRequest, KeepReply, SyncReply, SyncRequest, TraceReply, TraceRequest,
};
use tonic::{Request, Response, Status};

/// A peer service that implements only `sync`, by calling the function.
pub struct SyncOnlyPeer<F>(pub F);

#[tonic::async_trait]
impl<F> Peer for SyncOnlyPeer<F>
where
    F: Fn(&SyncRequest) -> Result<SyncReply, Status> + Send + Sync + 'static,
{
    async fn sync(&self, request: Request<SyncRequest>) -> Result<Response<SyncReply>, Status> {
        self.0(request.get_ref()).map(Response::new)
    }

    async fn burn(&self, _: Request<BurnRequest>) -> Result<Response<BurnReply>, Status> {
        Err(Status::unimplemented("only sync is implemented"))
    }

    async fn keep(&self, _: Request<BurnReply>) -> Result<Response<KeepReply>, Status> {
        Err(Status::unimplemented("only sync is implemented"))
    }

    async fn trace(&self, _: Request<TraceRequest>) -> Result<Response<TraceReply>, Status> {
        Err(Status::unimplemented("only sync is implemented"))
    }
}
