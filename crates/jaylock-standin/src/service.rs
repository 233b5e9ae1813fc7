use std::cell::Cell;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::run_log::{RunLog, RunRecord, sha256_hex};
use crate::{
    Announcement, Backend, Body, Fault, Heartbeat, NoResponse, Server, json_response,
    not_run_response, read_body,
};

/// Settings of a stand-in plain service.
#[derive(Debug, Clone)]
pub struct ServiceSettings {
    /// Announcement of the service.
    pub announcement: Announcement,
    /// Duration of each call.
    pub delay: Duration,
    /// Whether words in a body cause faults.
    pub faults_enabled: bool,
    /// File to which each run is appended as one line of JSON.
    pub run_log: Option<PathBuf>,
}

/// A stand-in plain service that records each run and responds with the record.
pub struct PlainService {
    settings: ServiceSettings,
    run_log: RunLog,
    running: Cell<u32>,
    is_leaving: Cell<bool>,
}

impl PlainService {
    /// Creates the service and opens the run log.
    ///
    /// # Errors
    /// The run log can't be opened.
    pub fn open(settings: ServiceSettings) -> io::Result<Self> {
        Ok(Self {
            run_log: RunLog::open(settings.run_log.as_deref())?,
            running: Cell::new(0),
            is_leaving: Cell::new(false),
            settings,
        })
    }

    async fn run(&self, head: &Parts, body: &Bytes) -> Result<Response<Body>, NoResponse> {
        let text = String::from_utf8_lossy(body);
        let fault = Fault::from_text(&text).filter(|_| self.settings.faults_enabled);
        let record = self.run_record(head, body);
        if self.run_log.append(&record).is_err() {
            return Ok(not_run_response("the file of runs can't be written"));
        }
        if fault == Some(Fault::Crash) {
            std::process::exit(101);
        }
        compio::time::sleep(self.settings.delay).await;
        if fault == Some(Fault::DropResponse) {
            return Err(NoResponse);
        }
        let mut response = json_response(StatusCode::OK, &record);
        if let Some(id) = head.headers.get("x-request-id") {
            response.headers_mut().insert("x-request-id", id.clone());
        }
        Ok(response)
    }

    fn run_record(&self, head: &Parts, body: &Bytes) -> RunRecord {
        let header = |name: &str| {
            let value = head.headers.get(name).and_then(|v| v.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        RunRecord {
            service: self.settings.announcement.id.clone(),
            method: head.method.to_string(),
            path: head.uri.path_and_query().map_or("/", |p| p.as_str()).into(),
            request: header("x-request-id"),
            key: header("idempotency-key"),
            organisation: header("x-organisation"),
            digest: sha256_hex(body),
        }
    }
}

/// Counts a call as running until dropped.
struct RunningGuard<'a>(&'a Cell<u32>);

impl<'a> RunningGuard<'a> {
    fn new(running: &'a Cell<u32>) -> Self {
        running.set(running.get() + 1);
        Self(running)
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Server for PlainService {
    fn stop_accepting(&self) {
        self.is_leaving.set(true);
    }

    fn is_busy(&self) -> bool {
        self.running.get() > 0
    }

    async fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, NoResponse> {
        let (head, body) = request.into_parts();
        let body = read_body(body).await?;
        if self.is_leaving.get() {
            return Ok(not_run_response("the service leaves"));
        }
        // The guard also ends when the caller disconnects and this future is dropped.
        let _guard = RunningGuard::new(&self.running);
        self.run(&head, &body).await
    }
}

impl Backend for PlainService {
    fn announcement(&self) -> Announcement {
        self.settings.announcement.clone()
    }

    fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            id: self.settings.announcement.id.clone(),
            incarnation: self.settings.announcement.incarnation,
            running: self.running.get(),
            ..Heartbeat::default()
        }
    }
}
