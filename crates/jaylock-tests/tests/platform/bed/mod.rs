//! Stand-ins that speak the platform's protocol, and instances of `jaylock-node`.

mod backend;
mod caller;
mod operator;

pub use self::backend::{Backend, Received, Reply};
pub use self::caller::Caller;
pub use self::operator::{KEY, OTHER_KEY, document};

use std::fs;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use jaylock_tests::Process;
use jaylock_tests::fleet::{Answer, exchange, free_address, get};
use serde_json::Value;
use tempfile::TempDir;

/// Longest wait for anything that must come.
const PATIENCE: Duration = Duration::from_secs(20);
/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(20);
/// Time between a termination and the end by force.
const GRACE: &str = "8s";

/// Instances of the fleet: some that serve control, some that serve callers.
pub struct Bed {
    folder: TempDir,
    nodes: Vec<Node>,
    controls: usize,
}

struct Node {
    name: String,
    process: Option<Process>,
    addresses: Addresses,
}

#[derive(Clone, Copy)]
struct Addresses {
    peer: SocketAddr,
    front: SocketAddr,
    ready: SocketAddr,
    control: SocketAddr,
    directory: SocketAddr,
    metrics: SocketAddr,
}

impl Bed {
    /// Starts the fleet for the first time.
    pub fn start(controls: usize, routers: usize) -> Self {
        let nodes = (0..controls + routers).map(|at| Node {
            name: format!("n{at}"),
            process: None,
            addresses: Addresses::pick(),
        });
        let mut bed = Self {
            folder: tempfile::tempdir().expect("a folder"),
            nodes: nodes.collect(),
            controls,
        };
        for at in 0..bed.nodes.len() {
            bed.restart(at, true);
        }
        bed
    }

    /// One instance of each kind, with the first document in force.
    pub fn small() -> Self {
        let bed = Self::start(1, 1);
        bed.configure(&document(1));
        bed
    }

    /// Puts a document in force and waits until every router is ready.
    pub fn configure(&self, document: &Value) {
        wait_until("a document is acknowledged", || {
            self.put(0, document) == 200
        });
        for at in self.controls..self.nodes.len() {
            wait_until("a router is ready", || self.is_ready(at));
        }
    }

    /// Starts an instance, which may be the first start of all.
    pub fn restart(&mut self, at: usize, is_first: bool) {
        let text = self.settings(at, is_first);
        let name = self.nodes[at].name.clone();
        let path = self.folder.path().join(format!("{name}.ini"));
        fs::write(path, text).expect("the settings are written");
        let arguments = ["--settings".into(), format!("{name}.ini")];
        let log = format!("{name}.log");
        let process = Process::start("jaylock-node", &arguments, self.folder.path(), &log);
        self.nodes[at].process = Some(process);
    }

    /// Changes the settings file of an instance that may be running.
    pub fn edit_settings(&self, at: usize, change: impl FnOnce(String) -> String) {
        let path = self
            .folder
            .path()
            .join(format!("{}.ini", self.nodes[at].name));
        let text = fs::read_to_string(&path).expect("a settings file");
        fs::write(path, change(text)).expect("the settings are written");
    }

    /// Ends an instance at once.
    pub fn kill(&mut self, at: usize) {
        if let Some(process) = self.nodes[at].process.take() {
            process.kill();
        }
    }

    /// Takes the process of an instance out, to end it in some other way.
    pub fn take(&mut self, at: usize) -> Process {
        self.nodes[at].process.take().expect("a running process")
    }

    /// The process of an instance.
    pub fn process(&mut self, at: usize) -> &mut Process {
        self.nodes[at].process.as_mut().expect("a running process")
    }

    /// Deletes the disk of an instance that is down.
    pub fn lose_disk(&self, at: usize) {
        let data = self.folder.path().join("data").join(&self.nodes[at].name);
        fs::remove_dir_all(data).expect("a data folder");
    }

    /// What an instance has printed.
    pub fn log(&self, at: usize) -> String {
        let path = self
            .folder
            .path()
            .join(format!("{}.log", self.nodes[at].name));
        fs::read_to_string(path).unwrap_or_default()
    }

    /// Sends a document to an instance; 0 when it does not answer.
    pub fn put(&self, at: usize, document: &Value) -> u16 {
        self.put_text(at, &document.to_string())
    }

    /// Sends any text as a document; 0 when the instance does not answer.
    pub fn put_text(&self, at: usize, text: &str) -> u16 {
        let address = self.nodes[at].addresses.control;
        send(address, "PUT", "/-/config", text).map_or(0, |answer| answer.status)
    }

    /// Reads the document at an instance.
    pub fn read(&self, at: usize) -> Option<Answer> {
        get(self.nodes[at].addresses.control, "/-/config").ok()
    }

    /// Asks an instance for the addresses of routers.
    pub fn addresses(&self, at: usize, query: &str) -> Option<Answer> {
        let path = format!("/-/resolution?{query}");
        get(self.nodes[at].addresses.directory, &path).ok()
    }

    /// Whether an instance says that it takes callers.
    pub fn is_ready(&self, at: usize) -> bool {
        let ready = self.nodes[at].addresses.ready;
        get(ready, "/-/readiness").is_ok_and(|answer| answer.status == 200)
    }

    /// A caller of the first router.
    pub fn caller(&self) -> Caller {
        Caller::new(self.front(self.controls))
    }

    /// Where an instance takes callers.
    pub fn front(&self, at: usize) -> SocketAddr {
        self.nodes[at].addresses.front
    }

    /// Where an instance takes calls of operators and backend servers.
    pub fn control(&self, at: usize) -> SocketAddr {
        self.nodes[at].addresses.control
    }

    /// Where an instance serves its metrics.
    pub fn metrics(&self, at: usize) -> SocketAddr {
        self.nodes[at].addresses.metrics
    }

    fn settings(&self, at: usize, is_first: bool) -> String {
        let Node {
            name, addresses, ..
        } = &self.nodes[at];
        let Addresses {
            peer,
            front,
            ready,
            control,
            directory,
            metrics,
        } = addresses;
        let seeds = self.nodes[..self.controls].iter().take(3);
        let seeds: Vec<String> = seeds.map(|n| n.addresses.peer.to_string()).collect();
        let seeds = seeds.join(",");
        let (own, calls) = if at < self.controls {
            let own = format!("caller_address = none\ndata = data/{name}");
            (own, format!("control = {control}\ndirectory = {directory}"))
        } else {
            let own = format!("caller_address = {front}");
            (own, format!("ready = {ready}"))
        };
        format!(
            "[instance]\nid = {name}\ndomain = d{at}\npeer_address = {peer}\n\
             metrics_address = {metrics}\n{own}\n\
             [control]\nseeds = {seeds}\nfirst_start = {is_first}\nvoters = 9\n\
             [security]\npeer_secret = instances-of-a-test\noperator_secret = operators-of-a-test\n\
             [limits]\nbody = 4MiB\nheaders = 32KiB\n[timeouts]\nbackend = 4s\nstop = {GRACE}\n\
             [addresses]\nkeep = 1s\n[log]\nlevel = debug\n[platform]\n{calls}\n"
        )
    }
}

impl Addresses {
    fn pick() -> Self {
        Self {
            peer: free_address(),
            front: free_address(),
            ready: free_address(),
            control: free_address(),
            directory: free_address(),
            metrics: free_address(),
        }
    }
}

/// Sends a call with a JSON body.
pub fn send(address: SocketAddr, method: &str, path: &str, body: &str) -> Option<Answer> {
    let length = body.len();
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Content-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    );
    exchange(address, text.as_bytes()).ok()
}

/// Waits until something holds.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "not in {PATIENCE:?}: {what}");
        thread::sleep(LOOK);
    }
}
