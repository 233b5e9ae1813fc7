use std::net::SocketAddr;
use std::sync::mpsc;
use std::sync::{Arc, Mutex};
use std::thread;

use compio::net::TcpListener;
use jaylock_rpc::v1::operator_server::{Operator, OperatorServer};
use jaylock_rpc::{Access, Routes, ServerSettings, serve, v1};
use jaylock_tests::fleet::{Outcome, run_tool};
use jaylock_types::Secret;
use tonic::{Request, Response, Status};

pub const SECRET: &str = "operators-secret";

/// What the fake answers to a change.
pub enum Answer {
    /// The log's answer.
    Applied(v1::applied::Result),
    /// No answer; the change may have been made.
    Lost,
    /// A refusal before the log was asked.
    Invalid,
}

/// What an operators' service of the tests knows and was asked.
#[derive(Default)]
pub struct Script {
    pub config: v1::Configuration,
    /// Answers to changes, last one first; when none is left, a change is done.
    pub answers: Vec<Answer>,
    pub commands: Vec<v1::Command>,
    pub lagging: Vec<v1::InstanceLag>,
}

/// An operators' service without a fleet behind it.
#[derive(Clone)]
pub struct Fake {
    pub address: SocketAddr,
    pub script: Arc<Mutex<Script>>,
}

impl Fake {
    /// Starts serving on a thread that ends with the test's process.
    pub fn start(script: Script) -> Self {
        let script = Arc::new(Mutex::new(script));
        let (sender, receiver) = mpsc::channel();
        let shared = script.clone();
        thread::spawn(move || {
            let runtime = compio::runtime::Runtime::new().expect("a runtime");
            runtime.block_on(async move {
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
                let address = listener.local_addr().expect("its address");
                sender.send(address).expect("the test waits");
                let fake = Self {
                    address,
                    script: shared,
                };
                let routes = Routes::default().with(Access::Operators, OperatorServer::new(fake));
                let settings = ServerSettings {
                    operator_secret: Secret::new(SECRET),
                    ..Default::default()
                };
                serve(listener, routes, settings).await;
            });
        });
        let address = receiver.recv().expect("an address");
        Self { address, script }
    }

    /// Runs the tool against this service.
    pub fn run(&self, arguments: &[&str]) -> Outcome {
        run(&[self.address], arguments)
    }
}

/// Runs the tool against some addresses.
pub fn run(instances: &[SocketAddr], arguments: &[&str]) -> Outcome {
    run_tool(instances, SECRET, arguments)
}

#[tonic::async_trait]
impl Operator for Fake {
    async fn change(
        &self,
        request: Request<v1::ProposeRequest>,
    ) -> Result<Response<v1::ChangeReply>, Status> {
        let command = request.into_inner().command.unwrap_or_default();
        let mut script = self.script.lock().expect("a lock");
        script.commands.push(command);
        let done = || Answer::Applied(v1::applied::Result::Done(v1::Done {}));
        let result = match script.answers.pop().unwrap_or_else(done) {
            Answer::Applied(result) => result,
            Answer::Lost => return Err(Status::unavailable("the connection broke")),
            Answer::Invalid => return Err(Status::invalid_argument("only the fleet may do this")),
        };
        let applied = v1::Applied {
            index: 9,
            revision: script.config.revision + 1,
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
            self.script.lock().expect("a lock").config.clone(),
        ))
    }

    async fn get_document(
        &self,
        _: Request<v1::ReadRequest>,
    ) -> Result<Response<v1::DocumentReply>, Status> {
        Ok(Response::new(v1::DocumentReply {
            version: 7,
            source: b"{}".to_vec(),
            ..v1::DocumentReply::default()
        }))
    }

    async fn wait_revision(
        &self,
        request: Request<v1::WaitRequest>,
    ) -> Result<Response<v1::WaitReply>, Status> {
        let wanted = request.into_inner().revision;
        let mut lagging = self.script.lock().expect("a lock").lagging.clone();
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
            ..Default::default()
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
}
