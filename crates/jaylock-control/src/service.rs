use std::pin::Pin;
use std::rc::Rc;

use futures_util::{Stream, StreamExt};
use jaylock_rpc::v1::command::Body;
use jaylock_rpc::v1::control_server::Control;
use jaylock_rpc::v1::replica_server::Replica;
use jaylock_rpc::v1::{
    AppendReply, AppendRequest, Command, DocumentReply, EventsReply, EventsRequest, GreetReply,
    GreetRequest, InstallReply, InstallRequest, LagReply, LagRequest, ProposeReply, ProposeRequest,
    ReadReply, ReadRequest, RenewReply, RenewRequest, VoteReply, VoteRequest, WatchReply,
    WatchRequest,
};
use jaylock_rpc::{local_future, local_value};
use prost::Message;
use send_wrapper::SendWrapper;
use tonic::{Request, Response, Status};

use crate::leases;
use crate::replica::{RequestError, Shared, handlers};
use crate::transport::MAX_MESSAGE_BYTES;

/// Maximum length of a command id.
const MAX_ID_BYTES: usize = 64;

/// Maximum size of a command; a batch that ends with such an entry fits in one message to a replica.
const MAX_COMMAND_BYTES: usize = MAX_MESSAGE_BYTES / 2;

/// Result of a gRPC call.
type RpcResult<T> = Result<Response<T>, Status>;

/// The gRPC service for the other replicas.
#[derive(Clone)]
pub struct ReplicaService {
    shared: SendWrapper<Rc<Shared>>,
}

impl ReplicaService {
    pub(crate) fn new(shared: Rc<Shared>) -> Self {
        Self {
            shared: local_value(shared),
        }
    }
}

#[tonic::async_trait]
impl Replica for ReplicaService {
    async fn vote(&self, request: Request<VoteRequest>) -> RpcResult<VoteReply> {
        let handler = handlers::vote((*self.shared).clone(), request.into_inner());
        local_future(handlers::run_to_completion(handler))
            .await
            .map(Response::new)
    }

    async fn append(&self, request: Request<AppendRequest>) -> RpcResult<AppendReply> {
        let handler = handlers::append((*self.shared).clone(), request.into_inner());
        local_future(handlers::run_to_completion(handler))
            .await
            .map(Response::new)
    }

    async fn install(&self, request: Request<InstallRequest>) -> RpcResult<InstallReply> {
        let handler = handlers::install((*self.shared).clone(), request.into_inner());
        local_future(handlers::run_to_completion(handler))
            .await
            .map(Response::new)
    }

    async fn greet(&self, _: Request<GreetRequest>) -> RpcResult<GreetReply> {
        handlers::greet(&self.shared).map(Response::new)
    }
}

/// The gRPC service for instances and operators.
#[derive(Clone)]
pub struct ControlService {
    shared: SendWrapper<Rc<Shared>>,
}

impl ControlService {
    pub(crate) fn new(shared: Rc<Shared>) -> Self {
        Self {
            shared: local_value(shared),
        }
    }
}

#[tonic::async_trait]
impl Control for ControlService {
    type WatchStream = Pin<Box<dyn Stream<Item = Result<WatchReply, Status>> + Send>>;

    async fn propose(&self, request: Request<ProposeRequest>) -> RpcResult<ProposeReply> {
        let command = request.into_inner().command.unwrap_or_default();
        check_command(&command)?;
        let submitted = local_future(self.shared.submit(command)).await;
        let reply = match submitted {
            Ok(applied) => ProposeReply {
                applied: Some(applied),
                leader_address: None,
            },
            Err(error) => ProposeReply {
                applied: None,
                leader_address: Some(leader_address(error)?),
            },
        };
        Ok(Response::new(reply))
    }

    async fn read(&self, _: Request<ReadRequest>) -> RpcResult<ReadReply> {
        let reply = match self.shared.read_configuration() {
            Ok(_) => ReadReply {
                configuration: Some(self.shared.core.borrow().state.encoded_configuration()),
                leader_address: None,
            },
            Err(error) => ReadReply {
                configuration: None,
                leader_address: Some(leader_address(error)?),
            },
        };
        Ok(Response::new(reply))
    }

    async fn read_document(&self, _: Request<ReadRequest>) -> RpcResult<DocumentReply> {
        let reply = match self.shared.read_configuration() {
            Ok(configuration) => DocumentReply {
                version: configuration.document_version,
                source: self.shared.core.borrow().state.document_source().clone(),
                leader_address: None,
            },
            Err(error) => DocumentReply {
                leader_address: Some(leader_address(error)?),
                ..DocumentReply::default()
            },
        };
        Ok(Response::new(reply))
    }

    async fn watch(&self, request: Request<WatchRequest>) -> RpcResult<Self::WatchStream> {
        let WatchRequest { index, whole } = request.into_inner();
        let shared = (*self.shared).clone();
        let first = whole.then(|| full_configuration(&shared));
        let index = first.as_ref().map_or(index, |f| f.1);
        let later = futures_util::stream::unfold(index, move |index| {
            let shared = shared.clone();
            async move { next_watch_reply(&shared, index).await }
        });
        let stream = futures_util::stream::iter(first.map(|f| f.0)).chain(later);
        let stream = SendWrapper::new(stream.map(Ok));
        Ok(Response::new(Box::pin(stream)))
    }

    async fn renew(&self, request: Request<RenewRequest>) -> RpcResult<RenewReply> {
        let renewed = local_future(leases::renew(&self.shared, request.into_inner())).await;
        let reply = match renewed {
            Ok(reply) => reply,
            Err(error) => RenewReply {
                leader_address: Some(leader_address(error)?),
                ..RenewReply::default()
            },
        };
        Ok(Response::new(reply))
    }

    async fn lag(&self, _: Request<LagRequest>) -> RpcResult<LagReply> {
        let reply = match self.shared.read_configuration() {
            Ok(_) => LagReply {
                instances: self.shared.leases.borrow().lag(),
                leader_address: None,
            },
            Err(error) => LagReply {
                instances: Vec::new(),
                leader_address: Some(leader_address(error)?),
            },
        };
        Ok(Response::new(reply))
    }

    async fn events(&self, request: Request<EventsRequest>) -> RpcResult<EventsReply> {
        let most = request.into_inner().most;
        let events = self.shared.core.borrow().state.events(most);
        Ok(Response::new(EventsReply { events }))
    }
}

/// Waits for the changes after `index`; ends the watch if this replica is halted or disconnected.
async fn next_watch_reply(shared: &Shared, index: u64) -> Option<(WatchReply, u64)> {
    loop {
        let seen = shared.config_changed.count();
        let newest = shared.core.borrow().state.configuration().index;
        if newest > index {
            return Some((shared.core.borrow().state.watch_reply(index), newest));
        }
        if shared.is_halted() || is_disconnected(shared) {
            return None;
        }
        let poll_interval = shared.settings.election_timeout;
        let _ = compio::time::timeout(poll_interval, shared.config_changed.wait_past(seen)).await;
    }
}

/// The full configuration and its index.
fn full_configuration(shared: &Shared) -> (WatchReply, u64) {
    let state = &shared.core.borrow().state;
    (state.whole_reply(), state.configuration().index)
}

/// Election timeouts without contact to a leader after which a replica ends its watches.
const DISCONNECTED_ELECTION_TIMEOUTS: u32 = 4;

fn is_disconnected(shared: &Shared) -> bool {
    let timeout = shared.settings.election_timeout * DISCONNECTED_ELECTION_TIMEOUTS;
    let last_contact = shared.core.borrow().last_contact;
    !shared.holds_lease() && shared.now().duration_since(last_contact) > timeout
}

/// Address of the leader, or the status of an error that another replica can't resolve.
fn leader_address(error: RequestError) -> Result<String, Status> {
    match error {
        RequestError::NotLeader(address) => Ok(address),
        RequestError::Failed(status) => Err(status),
    }
}

fn check_command(command: &Command) -> Result<(), Status> {
    if command.id.is_empty() || command.id.len() > MAX_ID_BYTES {
        return Err(Status::invalid_argument("a command id has 1 to 64 bytes"));
    }
    let is_leader_only = matches!(
        command.body,
        None | Some(
            Body::PutMember(_) | Body::RemoveMember(_) | Body::AssignPool(_) | Body::Noop(_)
        )
    );
    if is_leader_only {
        return Err(Status::invalid_argument(
            "only the leader itself makes this change",
        ));
    }
    let bytes = command.encoded_len();
    if bytes > MAX_COMMAND_BYTES {
        return Err(Status::invalid_argument(format!(
            "the command has {bytes} bytes, and {MAX_COMMAND_BYTES} are allowed: send less at once"
        )));
    }
    Ok(())
}
