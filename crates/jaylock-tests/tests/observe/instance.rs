use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use compio::net::TcpListener;
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use jaylock_standin::{Body, NoResponse, json_response};
use serde_json::json;

/// An instance that records the requested paths and answers with preset responses.
pub struct FakeInstance {
    pub address: SocketAddr,
    /// Paths of the requests so far.
    pub paths: RefCell<Vec<String>>,
    /// Whether the next heartbeat is accepted; a refused one sets this flag again.
    pub is_registered: Cell<bool>,
    /// Number of requests from callers to refuse before one is answered.
    pub remaining_refusals: Cell<u32>,
    /// Response to callers.
    pub response: RefCell<serde_json::Value>,
    /// Addresses of the other instances.
    others: Vec<SocketAddr>,
}

impl FakeInstance {
    /// Starts an instance that lists its own address and the others in `/v1/routers`.
    pub async fn start(others: Vec<SocketAddr>) -> Rc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let instance = Rc::new(Self {
            address: listener.local_addr().expect("an address"),
            paths: RefCell::default(),
            is_registered: Cell::new(true),
            remaining_refusals: Cell::new(0),
            response: RefCell::default(),
            others,
        });
        let shared = instance.clone();
        let handler = move |request| {
            let response = shared.handle(&request);
            async move { Ok::<_, NoResponse>(response) }
        };
        compio::runtime::spawn(jaylock_standin::serve(listener, handler)).detach();
        instance
    }

    /// Number of requests to a path.
    pub fn count_requests(&self, path: &str) -> usize {
        self.paths.borrow().iter().filter(|p| *p == path).count()
    }

    fn handle(&self, request: &Request<Incoming>) -> Response<Body> {
        let path = request.uri().path();
        self.paths.borrow_mut().push(path.into());
        match path {
            "/v1/routers" => json_response(StatusCode::OK, &self.routers()),
            "/v1/backends/heartbeat" if !self.is_registered.get() => {
                self.is_registered.set(true);
                json_response(StatusCode::NOT_FOUND, &json!({"error": "announce again"}))
            }
            path if path.starts_with("/v1/backends/") => {
                json_response(StatusCode::OK, &json!({"heartbeat_ms": 20, "lease_ms": 60}))
            }
            _ => self.respond_to_caller(),
        }
    }

    fn respond_to_caller(&self) -> Response<Body> {
        let remaining = self.remaining_refusals.get();
        if remaining == 0 {
            let mut response = json_response(StatusCode::OK, &*self.response.borrow());
            let ran = HeaderValue::from_static("ran");
            response.headers_mut().insert("x-run", ran);
            return response;
        }
        self.remaining_refusals.set(remaining - 1);
        let mut response = json_response(StatusCode::TOO_MANY_REQUESTS, &json!({}));
        let headers = response.headers_mut();
        headers.insert("x-run", HeaderValue::from_static("not-run"));
        headers.insert("retry-after", HeaderValue::from_static("1"));
        response
    }

    fn routers(&self) -> serde_json::Value {
        let all = self.others.iter().chain([&self.address]);
        let all = all.map(|address| json!({"address": address, "domain": "a"}));
        json!({"keep_ms": 60_000, "routers": all.collect::<Vec<_>>()})
    }
}
