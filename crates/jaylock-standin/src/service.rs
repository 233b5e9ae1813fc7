use std::cell::Cell;
use std::fmt::Write as _;
use std::fs::{File, OpenOptions};
use std::io::{self, Write as _};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{Announcement, Backend, Body, Closed, Fault, Heartbeat, Server, json, not_run, read};

/// Settings of a stand-in plain service.
#[derive(Debug, Clone)]
pub struct ServiceSettings {
    /// What it says of itself.
    pub announcement: Announcement,
    /// Time for each call.
    pub delay: Duration,
    /// Whether words in the body bring about faults.
    pub faults: bool,
    /// File to which each run is appended, one line of JSON.
    pub runs: Option<PathBuf>,
}

/// One run of a call, as the service writes it down.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunNote {
    /// Name of the backend server.
    pub service: String,
    /// Method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Id of the attempt.
    pub request: String,
    /// The caller's key, if the call came with one.
    pub key: String,
    /// Organisation, if the call names it.
    pub organisation: String,
    /// SHA-256 of the body, in hex.
    pub digest: String,
}

/// A plain service that writes down each run and answers with what it was asked.
pub struct PlainService {
    settings: ServiceSettings,
    runs: Option<File>,
    running: Cell<u32>,
    is_leaving: Cell<bool>,
}

impl PlainService {
    /// Makes the service and opens its file of runs.
    ///
    /// # Errors
    /// The file can't be opened.
    pub fn open(settings: ServiceSettings) -> io::Result<Self> {
        let mut options = OpenOptions::new();
        options.create(true).append(true);
        let runs = settings.runs.as_ref().map(|path| options.open(path));
        Ok(Self {
            runs: runs.transpose()?,
            running: Cell::new(0),
            is_leaving: Cell::new(false),
            settings,
        })
    }

    async fn run(&self, head: &Parts, body: &Bytes) -> Result<Response<Body>, Closed> {
        let text = String::from_utf8_lossy(body);
        let fault = Fault::of(&text).filter(|_| self.settings.faults);
        let note = self.note(head, body);
        if self.write_down(&note).is_err() {
            return Ok(not_run("the file of runs can't be written"));
        }
        if fault == Some(Fault::Crash) {
            std::process::exit(101);
        }
        compio::time::sleep(self.settings.delay).await;
        if fault == Some(Fault::Lose) {
            return Err(Closed);
        }
        let mut response = json(StatusCode::OK, &note);
        if let Some(id) = head.headers.get("x-request-id") {
            response.headers_mut().insert("x-request-id", id.clone());
        }
        Ok(response)
    }

    fn note(&self, head: &Parts, body: &Bytes) -> RunNote {
        let header = |name: &str| {
            let value = head.headers.get(name).and_then(|v| v.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        RunNote {
            service: self.settings.announcement.id.clone(),
            method: head.method.to_string(),
            path: head.uri.path_and_query().map_or("/", |p| p.as_str()).into(),
            request: header("x-request-id"),
            key: header("idempotency-key"),
            organisation: header("x-organisation"),
            digest: digest(body),
        }
    }

    fn write_down(&self, note: &RunNote) -> io::Result<()> {
        let Some(mut file) = self.runs.as_ref() else {
            return Ok(());
        };
        let mut line = serde_json::to_vec(note)?;
        line.push(b'\n');
        file.write_all(&line)
    }
}

impl Server for PlainService {
    fn leave(&self) {
        self.is_leaving.set(true);
    }

    fn is_busy(&self) -> bool {
        self.running.get() > 0
    }

    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Result<Response<Body>, Closed> {
        let (head, body) = request.into_parts();
        let body = read(body).await?;
        if self.is_leaving.get() {
            return Ok(not_run("the service leaves"));
        }
        self.running.set(self.running.get() + 1);
        let outcome = self.run(&head, &body).await;
        self.running.set(self.running.get() - 1);
        outcome
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

/// SHA-256 of a body, in hex.
#[must_use]
pub fn digest(body: &[u8]) -> String {
    let mut text = String::new();
    for byte in Sha256::digest(body) {
        // Writing to a string never fails.
        let _ = write!(text, "{byte:02x}");
    }
    text
}
