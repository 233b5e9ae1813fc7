use std::net::SocketAddr;
use std::sync::mpsc;
use std::sync::{Arc, Mutex};
use std::thread;

use compio::net::TcpListener;
use jaylock_rpc::v1::operator_server::{Operator, OperatorServer};
use jaylock_rpc::{Access, Routes, ServerSettings, serve, v1};
use jaylock_tests::fleet::{ToolOutput, run_tool};
use jaylock_types::Secret;
use tonic::{Request, Response, Status};

pub const SECRET: &str = "operators-secret";

/// Reply to a change.
pub enum Reply {
    /// A result of the replicated log.
    Applied(v1::applied::Result),
    /// No reply; the change may have been made.
    Lost,
    /// A refusal by the service itself.
    Invalid,
}

/// Data of a fake service, and the commands sent to the service.
#[derive(Default)]
pub struct FakeState {
    pub config: v1::Configuration,
    /// Replies to changes, taken from the end; without one, a change is done.
    pub replies: Vec<Reply>,
    pub commands: Vec<v1::Command>,
    pub lagging: Vec<v1::InstanceLag>,
    pub backends: Vec<v1::BackendState>,
    /// Previews that were asked for.
    pub previews: Vec<v1::PreviewRequest>,
    pub preview_reply: v1::PreviewReply,
}

/// An operators' service without a fleet.
#[derive(Clone)]
pub struct FakeService {
    pub address: SocketAddr,
    pub state: Arc<Mutex<FakeState>>,
}

impl FakeService {
    /// Starts the service on a thread that ends with the test process.
    pub fn start(state: FakeState) -> Self {
        let state = Arc::new(Mutex::new(state));
        let (sender, receiver) = mpsc::channel();
        let shared = state.clone();
        thread::spawn(move || {
            let runtime = compio::runtime::Runtime::new().expect("a runtime");
            runtime.block_on(async move {
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
                let address = listener.local_addr().expect("its address");
                sender.send(address).expect("the test waits");
                let service = Self {
                    address,
                    state: shared,
                };
                let routes =
                    Routes::default().with(Access::Operators, OperatorServer::new(service));
                let settings = ServerSettings {
                    operator_secret: Secret::new(SECRET),
                    ..Default::default()
                };
                serve(listener, routes, settings).await;
            });
        });
        let address = receiver.recv().expect("an address");
        Self { address, state }
    }

    /// Runs the tool against this service.
    pub fn run(&self, arguments: &[&str]) -> ToolOutput {
        run(&[self.address], arguments)
    }
}

/// Runs the tool against the given addresses.
pub fn run(instances: &[SocketAddr], arguments: &[&str]) -> ToolOutput {
    run_tool(instances, SECRET, arguments)
}

#[tonic::async_trait]
impl Operator for FakeService {
    async fn change(
        &self,
        request: Request<v1::ProposeRequest>,
    ) -> Result<Response<v1::ChangeReply>, Status> {
        let command = request.into_inner().command.unwrap_or_default();
        let mut state = self.state.lock().expect("a lock");
        state.commands.push(command);
        let done = || Reply::Applied(v1::applied::Result::Done(v1::Done {}));
        let result = match state.replies.pop().unwrap_or_else(done) {
            Reply::Applied(result) => result,
            Reply::Lost => return Err(Status::unavailable("the connection broke")),
            Reply::Invalid => return Err(Status::invalid_argument("only the fleet may do this")),
        };
        let applied = v1::Applied {
            index: 9,
            revision: state.config.revision + 1,
            result: Some(result),
        };
        Ok(Response::new(v1::ChangeReply {
            applied: Some(applied),
        }))
    }

    async fn get_configuration(
        &self,
        _: Request<v1::ReadRequest>,
    ) -> Result<Response<v1::Configuration>, Status> {
        Ok(Response::new(
            self.state.lock().expect("a lock").config.clone(),
        ))
    }

    async fn get_document(
        &self,
        _: Request<v1::ReadRequest>,
    ) -> Result<Response<v1::DocumentReply>, Status> {
        Ok(Response::new(v1::DocumentReply {
            version: 7,
            source: b"{}".to_vec().into(),
            ..v1::DocumentReply::default()
        }))
    }

    async fn wait_revision(
        &self,
        request: Request<v1::WaitRequest>,
    ) -> Result<Response<v1::WaitReply>, Status> {
        let wanted = request.into_inner().revision;
        let mut lagging = self.state.lock().expect("a lock").lagging.clone();
        lagging.retain(|lag| lag.revision < wanted);
        let in_force = lagging.is_empty();
        Ok(Response::new(v1::WaitReply { in_force, lagging }))
    }

    async fn list_backends(
        &self,
        _: Request<v1::ListBackendsRequest>,
    ) -> Result<Response<v1::ListBackendsReply>, Status> {
        let unheard = vec![String::from("jaylock-pool")];
        Ok(Response::new(v1::ListBackendsReply {
            unheard,
            backends: self.state.lock().expect("a lock").backends.clone(),
        }))
    }

    async fn list_pools(
        &self,
        _: Request<v1::ListPoolsRequest>,
    ) -> Result<Response<v1::ListPoolsReply>, Status> {
        Ok(Response::new(v1::ListPoolsReply::default()))
    }

    async fn list_events(
        &self,
        _: Request<v1::EventsRequest>,
    ) -> Result<Response<v1::EventsReply>, Status> {
        Ok(Response::new(v1::EventsReply::default()))
    }

    async fn report_burn(
        &self,
        _: Request<v1::BurnRequest>,
    ) -> Result<Response<v1::BurnReport>, Status> {
        Ok(Response::new(v1::BurnReport::default()))
    }

    async fn explain(
        &self,
        _: Request<v1::TraceRequest>,
    ) -> Result<Response<v1::TraceReport>, Status> {
        Ok(Response::new(v1::TraceReport::default()))
    }

    async fn preview(
        &self,
        request: Request<v1::PreviewRequest>,
    ) -> Result<Response<v1::PreviewReply>, Status> {
        let mut state = self.state.lock().expect("a lock");
        state.previews.push(request.into_inner());
        Ok(Response::new(state.preview_reply.clone()))
    }
}
