//! One router with its fakes, and a caller.

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

use crate::port::{FakeCapacity, FakeClaims};

/// Longest wait for anything that must come.
const PATIENCE: Duration = Duration::from_secs(15);

/// Time for which the router under test may act, longer than any test.
const LEASE: Duration = Duration::from_hours(1);

/// First lines of a request for a model.
pub const CHAT_HEAD: &str =
    "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-1\r\n";

/// A router under test.
pub struct Fleet {
    pub router: Router,
    pub view: ConfigView,
    pub capacity: FakeCapacity,
    pub claims: FakeClaims,
    pub address: SocketAddr,
    client: cyper::Client,
    _serving: compio::runtime::JoinHandle<()>,
}

/// An answer as its caller saw it.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub run: String,
    pub retry: String,
    pub recorded: bool,
    pub body: String,
}

impl Fleet {
    /// Starts a router before the given backend servers.
    pub async fn start(backends: &[SocketAddr], settings: RouterSettings) -> Self {
        Self::with_claims(backends, settings, FakeClaims::default()).await
    }

    /// Starts a router that shares its claims with others.
    pub async fn with_claims(
        backends: &[SocketAddr],
        settings: RouterSettings,
        claims: FakeClaims,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("an address");
        let view = ConfigView::default();
        assert!(view.update(configuration(address)));
        view.set_connected(true);
        claims.0.views.borrow_mut().push(view.clone());
        let capacity = FakeCapacity::default();
        *capacity.0.backends.borrow_mut() = backends.to_vec();
        let identity = RouterIdentity {
            instance: "a".parse().expect("an instance"),
            incarnation: Incarnation(1),
            domain: "amman-a".parse().expect("a domain"),
        };
        let (ports, observer) = ((capacity.clone(), claims.clone()), Observer::default());
        let lease = InstanceLease::until(Instant::now() + LEASE);
        let router = Router::new(
            identity,
            view.clone(),
            lease,
            ports.0,
            ports.1,
            observer,
            settings,
        );
        let serving = router.clone();
        let serving = compio::runtime::spawn(async move { serving.serve(listener).await });
        let client = cyper::Client::new().expect("a client");
        Self {
            router,
            view,
            capacity,
            claims,
            address,
            client,
            _serving: serving,
        }
    }

    /// Sends a request with header fields.
    pub async fn send(
        &self,
        method: &str,
        path: &str,
        fields: &[(&str, &str)],
        body: &str,
    ) -> Answer {
        let exchange = self.exchange(method, path, fields, body);
        let outcome = compio::time::timeout(PATIENCE, exchange).await;
        outcome.expect("an answer in time")
    }

    async fn exchange(
        &self,
        method: &str,
        path: &str,
        fields: &[(&str, &str)],
        body: &str,
    ) -> Answer {
        let url = format!("http://{}{path}", self.address);
        let method = method.parse().expect("a method");
        let mut request = self.client.request(method, url).expect("a request");
        for (name, value) in fields {
            request = request.header(*name, *value).expect("a header");
        }
        let request = request.body(body.to_owned());
        let response = request.send().await.expect("an answer");
        let headers = response.headers().clone();
        let field = |n: &str| {
            headers
                .get(n)
                .map_or("", |v| v.to_str().unwrap_or("?"))
                .to_owned()
        };
        Answer {
            status: response.status().as_u16(),
            run: field("x-run"),
            retry: field("retry-after"),
            recorded: field("x-recorded") == "true",
            body: response
                .text()
                .await
                .unwrap_or_else(|e| format!("cut: {e}")),
        }
    }

    /// Sends bytes over a connection of their own, which stays open.
    pub async fn open(&self, bytes: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.address)
            .await
            .expect("a connection");
        let BufResult(sent, _) = stream.write_all(bytes.as_bytes().to_vec()).await;
        sent.expect("bytes are taken");
        stream
    }

    /// Asks for a model's answer over a connection that stays open, and reads nothing.
    pub async fn begin(&self, body: &str) -> TcpStream {
        let length = body.len();
        let head = format!("{CHAT_HEAD}content-length: {length}\r\n\r\n");
        self.open(&format!("{head}{body}")).await
    }

    /// Waits until something holds.
    pub async fn until(&self, what: &str, holds: impl Fn() -> bool) {
        for _ in 0..1000 {
            if holds() {
                return;
            }
            compio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("it never came that {what}");
    }

    /// Sends bytes over a connection of their own and reads until its end.
    pub async fn raw(&self, bytes: &str) -> String {
        let mut stream = self.open(bytes).await;
        let reading = compio::time::timeout(PATIENCE, read_all(&mut stream)).await;
        reading.expect("the end of the connection in time")
    }

    /// Asks for a model's answer.
    pub async fn chat(&self, body: &str) -> Answer {
        let key = ("authorization", "Bearer key-1");
        self.send("POST", "/v1/chat/completions", &[key], body)
            .await
    }

    /// Calls a plain service under an idempotency key.
    pub async fn once(&self, key: &str, body: &str) -> Answer {
        let fields = [("authorization", "Bearer key-1"), ("idempotency-key", key)];
        self.send("POST", "/services/caseapp/refund", &fields, body)
            .await
    }
}

/// Reads until the end of a connection.
pub async fn read_all(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    loop {
        let BufResult(count, chunk) = stream.read(Vec::with_capacity(4096)).await;
        if count.unwrap_or(0) == 0 {
            return String::from_utf8_lossy(&answer).into_owned();
        }
        answer.extend_from_slice(&chunk);
    }
}

/// The body of a request for a model.
pub fn ask(stream: bool) -> String {
    format!(
        "{{\"model\":\"m\",\"messages\":[{{\"role\":\"user\",\"content\":\"hi\"}}],\"stream\":{stream}}}"
    )
}

fn organisation(id: &str, key: &str) -> Organisation {
    Organisation {
        id: id.into(),
        weight: 1,
        key_hashes: vec![KeyHash::from_key(key).0.to_vec()],
        ..Organisation::default()
    }
}

fn configuration(address: SocketAddr) -> Configuration {
    let instance = |id: &str, caller: String, leaving| Instance {
        id: id.into(),
        domain: "amman-a".into(),
        caller_address: caller,
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
