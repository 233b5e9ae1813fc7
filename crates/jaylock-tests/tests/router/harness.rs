//! A router under test with fakes of its ports, and a caller.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use jaylock_control::{ConfigView, InstanceLease};
use jaylock_observe::Observer;
use jaylock_router::{Router, RouterIdentity, RouterSettings};
use jaylock_rpc::v1::{
    Adapter, Configuration, Instance, Model, Organisation, RepeatableRoute, Service,
};
use jaylock_types::{Incarnation, KeyHash};

use crate::fakes::{FakeCommandLog, FakeSchedulers};

/// Time limit of each expected event.
const TIMEOUT: Duration = Duration::from_secs(15);

/// Duration of the router's lease, longer than any test.
const LEASE: Duration = Duration::from_hours(1);

/// Time for requests in progress in a shutdown, longer than any test and shorter than the default deadline.
const DRAIN_TIME: Duration = Duration::from_mins(1);

/// First lines of a chat completion request.
pub const CHAT_HEAD: &str =
    "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-1\r\n";

/// A router under test.
pub struct TestRouter {
    pub inner: Router,
    pub view: ConfigView,
    pub schedulers: FakeSchedulers,
    pub command_log: FakeCommandLog,
    pub observer: Observer,
    pub address: SocketAddr,
    /// Address for connections of other routers, if the settings let them pass any on.
    pub relay_address: Option<SocketAddr>,
    client: cyper::Client,
    _serving: compio::runtime::JoinHandle<()>,
}

/// A response as received by the caller.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerResponse {
    pub status: u16,
    pub run: String,
    pub retry_after: String,
    pub is_recorded: bool,
    pub body: String,
}

impl TestRouter {
    /// Starts a router with the given backend servers.
    pub async fn start(backends: &[SocketAddr], settings: RouterSettings) -> Self {
        Self::with_command_log(backends, settings, FakeCommandLog::default()).await
    }

    /// Starts a router that shares a command log with others.
    pub async fn with_command_log(
        backends: &[SocketAddr],
        settings: RouterSettings,
        command_log: FakeCommandLog,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("an address");
        let view = ConfigView::default();
        assert!(view.update(configuration(address)));
        view.set_connected(true);
        command_log.0.views.borrow_mut().push(view.clone());
        let schedulers = FakeSchedulers::default();
        *schedulers.0.backends.borrow_mut() = backends.to_vec();
        let relays = match settings.relay_proof {
            Some(_) => Some(TcpListener::bind("127.0.0.1:0").await.expect("a listener")),
            None => None,
        };
        let relay_address = relays.as_ref().map(TcpListener::local_addr);
        let identity = RouterIdentity {
            instance: "a".parse().expect("an instance"),
            incarnation: Incarnation(1),
            domain: "amman-a".parse().expect("a domain"),
        };
        let ports = (schedulers.clone(), command_log.clone());
        let observer = Observer::default();
        let lease = InstanceLease::until(Instant::now() + LEASE);
        let inner = Router::new(
            identity,
            view.clone(),
            lease,
            ports.0,
            ports.1,
            observer.clone(),
            settings,
        );
        let serving = inner.clone();
        let serving = compio::runtime::spawn(async move { serving.serve(listener, relays).await });
        let client = cyper::Client::new().expect("a client");
        Self {
            inner,
            view,
            schedulers,
            command_log,
            observer,
            address,
            relay_address: relay_address.map(|address| address.expect("an address")),
            client,
            _serving: serving,
        }
    }

    /// Starts a graceful shutdown that cancels requests after [`DRAIN_TIME`].
    pub fn shut_down(&self) {
        let drain_end = Instant::now() + DRAIN_TIME;
        self.inner.announce_shutdown(drain_end);
        self.inner.end_admission(drain_end);
    }

    /// Sends a request with the given headers.
    pub async fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> CallerResponse {
        let exchange = self.exchange(method, path, headers, body);
        let outcome = compio::time::timeout(TIMEOUT, exchange).await;
        outcome.expect("a response in time")
    }

    async fn exchange(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> CallerResponse {
        let url = format!("http://{}{path}", self.address);
        let method = method.parse().expect("a method");
        let mut request = self.client.request(method, url).expect("a request");
        for (name, value) in headers {
            request = request.header(*name, *value).expect("a header");
        }
        let request = request.body(body.to_owned());
        let response = request.send().await.expect("a response");
        let received = response.headers().clone();
        let field = |n: &str| {
            received
                .get(n)
                .map_or("", |v| v.to_str().unwrap_or("?"))
                .to_owned()
        };
        CallerResponse {
            status: response.status().as_u16(),
            run: field("x-run"),
            retry_after: field("retry-after"),
            is_recorded: field("x-recorded") == "true",
            body: response
                .text()
                .await
                .unwrap_or_else(|e| format!("interrupted: {e}")),
        }
    }

    /// Sends bytes over a new connection, which stays open.
    pub async fn open(&self, bytes: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.address)
            .await
            .expect("a connection");
        let BufResult(sent, _) = stream.write_all(bytes.as_bytes().to_vec()).await;
        sent.expect("bytes are sent");
        stream
    }

    /// Sends a chat completion request over a new connection and reads nothing.
    pub async fn start_chat(&self, body: &str) -> TcpStream {
        let length = body.len();
        let head = format!("{CHAT_HEAD}content-length: {length}\r\n\r\n");
        self.open(&format!("{head}{body}")).await
    }

    /// Waits until a condition holds.
    pub async fn wait_until(&self, description: &str, condition: impl Fn() -> bool) {
        for _ in 0..1000 {
            if condition() {
                return;
            }
            compio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("timed out waiting until {description}");
    }

    /// Sends bytes over a new connection and reads until the router closes it.
    pub async fn send_raw(&self, bytes: &str) -> String {
        let mut stream = self.open(bytes).await;
        let reading = compio::time::timeout(TIMEOUT, read_all(&mut stream)).await;
        reading.expect("the end of the connection in time")
    }

    /// Sends a chat completion request.
    pub async fn chat(&self, body: &str) -> CallerResponse {
        let key = ("authorization", "Bearer key-1");
        self.send("POST", "/v1/chat/completions", &[key], body)
            .await
    }

    /// Calls a plain service with an idempotency key.
    pub async fn call_once(&self, key: &str, body: &str) -> CallerResponse {
        let headers = [("authorization", "Bearer key-1"), ("idempotency-key", key)];
        self.send("POST", "/services/caseapp/refund", &headers, body)
            .await
    }
}

/// Reads until the end of a connection.
pub async fn read_all(stream: &mut TcpStream) -> String {
    let mut received = Vec::new();
    loop {
        let BufResult(count, chunk) = stream.read(Vec::with_capacity(4096)).await;
        if count.unwrap_or(0) == 0 {
            return String::from_utf8_lossy(&received).into_owned();
        }
        received.extend_from_slice(&chunk);
    }
}

/// Body of a chat completion request.
pub fn chat_body(stream: bool) -> String {
    format!(
        "{{\"model\":\"m\",\"messages\":[{{\"role\":\"user\",\"content\":\"hi\"}}],\"stream\":{stream}}}"
    )
}

fn organisation(id: &str, key: &str) -> Organisation {
    Organisation {
        id: id.into(),
        weight: 1,
        key_hashes: vec![KeyHash::from_key(key).0.to_vec().into()],
        ..Organisation::default()
    }
}

fn configuration(address: SocketAddr) -> Configuration {
    let instance = |id: &str, address: String, leaving| Instance {
        id: id.into(),
        domain: "amman-a".into(),
        caller_address: address,
        leaving,
        ..Instance::default()
    };
    let (model, version) = ("m".to_owned(), "1".to_owned());
    Configuration {
        revision: 1,
        index: 1,
        organisations: vec![
            organisation("shop", "key-1"),
            organisation("stall", "key-2"),
        ],
        models: vec![Model {
            id: model.clone(),
            version: version.clone(),
            pool: "p".into(),
            copies: 1,
        }],
        adapters: vec![Adapter {
            id: "x".into(),
            model,
            version,
            copies: 1,
        }],
        services: vec![Service {
            id: "caseapp".into(),
            repeatable: vec![RepeatableRoute {
                method: "GET".into(),
                prefix: "/look".into(),
            }],
            ..Service::default()
        }],
        instances: vec![
            instance("a", address.to_string(), false),
            instance("b", "127.0.0.1:1".into(), false),
            instance("c", "127.0.0.1:2".into(), true),
        ],
        ..Configuration::default()
    }
}
