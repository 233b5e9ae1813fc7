use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use compio::net::TcpListener;
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use jaylock_standin::{Body, Closed, json};
use serde_json::json;

/// An instance that writes down the paths it is asked for, and answers as it is told.
pub struct FakeInstance {
    pub address: SocketAddr,
    pub paths: RefCell<Vec<String>>,
    /// Whether heartbeats are taken.
    pub knows: Cell<bool>,
    /// Requests of callers that are refused before one is answered.
    pub refusals: Cell<u32>,
    /// Answer to callers.
    pub answer: RefCell<serde_json::Value>,
    others: Vec<SocketAddr>,
}

impl FakeInstance {
    /// Starts it; it names itself and the others to callers and backend servers.
    pub async fn start(others: Vec<SocketAddr>) -> Rc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let instance = Rc::new(Self {
            address: listener.local_addr().expect("an address"),
            paths: RefCell::default(),
            knows: Cell::new(true),
            refusals: Cell::new(0),
            answer: RefCell::default(),
            others,
        });
        let shared = instance.clone();
        let handler = move |request| {
            let answer = shared.handle(&request);
            async move { Ok::<_, Closed>(answer) }
        };
        compio::runtime::spawn(jaylock_standin::serve(listener, handler)).detach();
        instance
    }

    /// How often a path was asked for.
    pub fn count(&self, path: &str) -> usize {
        self.paths.borrow().iter().filter(|p| *p == path).count()
    }

    fn handle(&self, request: &Request<Incoming>) -> Response<Body> {
        let path = request.uri().path();
        self.paths.borrow_mut().push(path.into());
        match path {
            "/v1/routers" => json(StatusCode::OK, &self.routers()),
            "/v1/backends/heartbeat" if !self.knows.get() => {
                self.knows.set(true);
                json(StatusCode::NOT_FOUND, &json!({"error": "announce again"}))
            }
            path if path.starts_with("/v1/backends/") => {
                json(StatusCode::OK, &json!({"heartbeat_ms": 20, "lease_ms": 60}))
            }
            _ => self.serve(),
        }
    }

    fn serve(&self) -> Response<Body> {
        let left = self.refusals.get();
        if left == 0 {
            let mut response = json(StatusCode::OK, &*self.answer.borrow());
            let ran = HeaderValue::from_static("ran");
            response.headers_mut().insert("x-run", ran);
            return response;
        }
        self.refusals.set(left - 1);
        let mut response = json(StatusCode::TOO_MANY_REQUESTS, &json!({}));
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
