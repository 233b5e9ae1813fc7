//! Fakes that speak the platform's protocol, and instances of `jaylock-node`.

mod backend;
mod caller;
mod document;
mod reply;
mod request;
mod stalled;

pub use self::backend::FakeBackend;
pub use self::caller::{Caller, CallerResponse};
pub use self::document::{KEY, OTHER_KEY, document};
pub use self::reply::Reply;
pub use self::request::ReceivedRequest;
pub use self::stalled::StalledStart;

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

use jaylock_tests::Process;
use jaylock_tests::fleet::{HttpResponse, free_address, get, send_raw, send_raw_within};
use serde_json::Value;
use tempfile::TempDir;

/// Longest wait for an expected condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Size of a fleet and those settings of its instances that tests vary.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// Number of instances that serve control.
    pub control_count: usize,
    /// Number of instances that serve callers.
    pub router_count: usize,
    /// Time in which an instance must end after SIGTERM.
    pub stop: Duration,
    /// How long callers may keep a list of addresses.
    pub keep: Duration,
    /// Duration of the lease of an instance.
    pub lease: Duration,
    /// How long a heartbeat of a backend server is valid.
    pub backend_lease: Duration,
    /// How long an instance with a disk may be lost before another one takes its place.
    pub replace_after: Duration,
    /// Whether routers pass connections on to each other.
    pub relays: bool,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            control_count: 1,
            router_count: 1,
            stop: Duration::from_secs(8),
            keep: Duration::from_secs(1),
            lease: Duration::from_secs(3),
            backend_lease: Duration::from_secs(4),
            replace_after: Duration::from_secs(30),
            relays: false,
        }
    }
}

/// An address of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Endpoint {
    Peer,
    Caller,
    Ready,
    Control,
    Directory,
    Metrics,
}

/// Fleet of instances: first those that serve control, then those that serve callers.
pub struct TestFleet {
    folder: TempDir,
    instances: Vec<Instance>,
    settings: FleetSettings,
}

struct Instance {
    name: String,
    process: Option<Process>,
    addresses: Addresses,
}

#[derive(Clone, Copy)]
struct Addresses {
    peer: SocketAddr,
    caller: SocketAddr,
    ready: SocketAddr,
    control: SocketAddr,
    directory: SocketAddr,
    metrics: SocketAddr,
    relay: SocketAddr,
}

impl TestFleet {
    /// Starts a new fleet.
    pub fn start(control_count: usize, router_count: usize) -> Self {
        Self::start_with(FleetSettings {
            control_count,
            router_count,
            ..FleetSettings::default()
        })
    }

    /// Starts a new fleet with other settings.
    pub fn start_with(settings: FleetSettings) -> Self {
        let mut fleet = Self::stopped(settings);
        for at in 0..fleet.instances.len() {
            fleet.start_instance(at, true);
        }
        fleet
    }

    /// Creates a fleet none of whose instances has been started.
    pub fn stopped(settings: FleetSettings) -> Self {
        let count = settings.control_count + settings.router_count;
        let instances = (0..count).map(|at| Instance {
            name: format!("n{at}"),
            process: None,
            addresses: Addresses::allocate(),
        });
        Self {
            folder: tempfile::tempdir().expect("a folder"),
            instances: instances.collect(),
            settings,
        }
    }

    /// Starts one instance of each kind and submits the first document.
    pub fn minimal() -> Self {
        let fleet = Self::start(1, 1);
        fleet.configure(&document(1));
        fleet
    }

    /// The most memory that an instance has used, in KiB.
    pub fn peak_memory_kib(&mut self, at: usize) -> u64 {
        let pid = self.process(at).pid();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("a status");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let number = line.and_then(|l| l.split_whitespace().next()?.parse().ok());
        number.expect("a peak of memory")
    }

    /// Submits a document and waits until every router is ready.
    pub fn configure(&self, document: &Value) {
        wait_until("a document is acknowledged", || {
            self.put_document(0, document) == 200
        });
        for at in self.settings.control_count..self.instances.len() {
            wait_until("a router is ready", || self.is_ready(at));
        }
    }

    /// Starts an instance; `is_first` marks the first start of the whole fleet.
    pub fn start_instance(&mut self, at: usize, is_first: bool) {
        let text = self.settings_text(at, is_first);
        self.start_with_text(at, &text);
    }

    /// Starts an instance again that then waits for the content of its settings file.
    pub fn start_stalled(&mut self, at: usize) -> StalledStart {
        let text = self.settings_text(at, false);
        let mut start = StalledStart::new(&self.settings_path(at), text);
        self.start_process(at);
        start.wait_until_opened();
        start
    }

    /// Starts an instance with the given text as its settings file.
    pub fn start_with_text(&mut self, at: usize, text: &str) {
        fs::write(self.settings_path(at), text).expect("the settings are written");
        self.start_process(at);
    }

    fn start_process(&mut self, at: usize) {
        let name = self.instances[at].name.clone();
        let arguments = ["--settings".into(), format!("{name}.ini")];
        let log = format!("{name}.log");
        let process = Process::start("jaylock-node", &arguments, self.folder.path(), &log);
        self.instances[at].process = Some(process);
    }

    /// Returns the settings with which an instance is started again.
    pub fn settings_of(&self, at: usize) -> String {
        self.settings_text(at, false)
    }

    /// Starts an instance whose files are limited in size from the beginning.
    pub fn start_limited(&mut self, at: usize, is_first: bool, file_bytes: u64) {
        self.start_instance(at, is_first);
        self.process(at).limit_files(Some(file_bytes));
    }

    /// Time in which an instance must end after SIGTERM.
    pub fn stop_time(&self) -> Duration {
        self.settings.stop
    }

    /// Number of instances that serve control.
    pub fn control_count(&self) -> usize {
        self.settings.control_count
    }

    /// Edits the settings file of an instance, which may be running.
    pub fn edit_settings(&self, at: usize, change: impl FnOnce(String) -> String) {
        let path = self.settings_path(at);
        let text = fs::read_to_string(&path).expect("a settings file");
        fs::write(path, change(text)).expect("the settings are written");
    }

    /// Kills the process of an instance.
    pub fn kill(&mut self, at: usize) {
        if let Some(process) = self.instances[at].process.take() {
            process.kill();
        }
    }

    /// Takes the process of an instance, so that the test can stop it in another way.
    pub fn take_process(&mut self, at: usize) -> Process {
        self.instances[at]
            .process
            .take()
            .expect("a running process")
    }

    /// Returns the process of an instance.
    pub fn process(&mut self, at: usize) -> &mut Process {
        self.instances[at]
            .process
            .as_mut()
            .expect("a running process")
    }

    /// Removes an instance for good and starts an empty one in its place, under another name and at other addresses.
    pub fn replace_instance(&mut self, at: usize) {
        self.kill(at);
        self.lose_disk(at);
        let name = format!("{}-successor", self.instances[at].name);
        self.instances[at] = Instance {
            name,
            process: None,
            addresses: Addresses::allocate(),
        };
        self.start_instance(at, false);
    }

    /// Deletes the data folder of a stopped instance.
    pub fn lose_disk(&self, at: usize) {
        fs::remove_dir_all(self.data_folder(at)).expect("a data folder");
    }

    /// Returns the data folder of an instance.
    pub fn data_folder(&self, at: usize) -> PathBuf {
        let folder = self.folder.path().join("data");
        folder.join(&self.instances[at].name)
    }

    /// Returns the log of an instance.
    pub fn log(&self, at: usize) -> String {
        let path = self
            .folder
            .path()
            .join(format!("{}.log", self.instances[at].name));
        fs::read_to_string(path).unwrap_or_default()
    }

    /// Number of attempts whose answers an instance has counted as broken.
    pub fn broken_answers(&self, at: usize) -> usize {
        let metrics = get(self.metrics_address(at), "/metrics").expect("metrics");
        let lines = metrics.body.lines();
        let mut counts = lines.filter(|line| line.starts_with("jaylock_broken_answers_total{"));
        let number = counts
            .next()
            .and_then(|line| line.rsplit(' ').next()?.parse().ok());
        number.unwrap_or(0)
    }

    /// Submits a document to an instance; returns the status, or 0 without a response.
    pub fn put_document(&self, at: usize, document: &Value) -> u16 {
        self.put_text(at, &document.to_string())
    }

    /// Submits any text as a document; returns the status, or 0 without a response.
    pub fn put_text(&self, at: usize, text: &str) -> u16 {
        let address = self.instances[at].addresses.control;
        send_call(address, "PUT", "/-/config", text).map_or(0, |answer| answer.status)
    }

    /// Reads the document from an instance.
    pub fn read_document(&self, at: usize) -> Option<HttpResponse> {
        get(self.instances[at].addresses.control, "/-/config").ok()
    }

    /// Looks up the addresses of routers at an instance.
    pub fn look_up_addresses(&self, at: usize, query: &str) -> Option<HttpResponse> {
        let path = format!("/-/resolution?{query}");
        get(self.instances[at].addresses.directory, &path).ok()
    }

    /// Whether an instance reports that it accepts callers.
    pub fn is_ready(&self, at: usize) -> bool {
        let ready = self.instances[at].addresses.ready;
        get(ready, "/-/readiness").is_ok_and(|answer| answer.status == 200)
    }

    /// Folder of the settings, the logs and the data.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Keeps the folder after the end of the fleet.
    pub fn keep_folder(&mut self) {
        self.folder.disable_cleanup(true);
        eprintln!("the logs are in {}", self.folder.path().display());
    }

    /// Creates a caller of the first router.
    pub fn caller(&self) -> Caller {
        Caller::new(self.caller_address(self.settings.control_count))
    }

    /// Address of an instance for callers.
    pub fn caller_address(&self, at: usize) -> SocketAddr {
        self.instances[at].addresses.caller
    }

    /// Address of an instance for operators and backend servers.
    pub fn control_address(&self, at: usize) -> SocketAddr {
        self.instances[at].addresses.control
    }

    /// Address of an instance for other instances.
    pub fn peer_address(&self, at: usize) -> SocketAddr {
        self.instances[at].addresses.peer
    }

    /// Address of an instance for metrics.
    pub fn metrics_address(&self, at: usize) -> SocketAddr {
        self.instances[at].addresses.metrics
    }

    /// Address of an instance.
    pub fn address(&self, at: usize, endpoint: Endpoint) -> SocketAddr {
        let addresses = &self.instances[at].addresses;
        match endpoint {
            Endpoint::Peer => addresses.peer,
            Endpoint::Caller => addresses.caller,
            Endpoint::Ready => addresses.ready,
            Endpoint::Control => addresses.control,
            Endpoint::Directory => addresses.directory,
            Endpoint::Metrics => addresses.metrics,
        }
    }

    fn settings_path(&self, at: usize) -> PathBuf {
        let name = &self.instances[at].name;
        self.folder.path().join(format!("{name}.ini"))
    }

    fn settings_text(&self, at: usize, is_first: bool) -> String {
        let Instance {
            name, addresses, ..
        } = &self.instances[at];
        let Addresses {
            peer,
            caller,
            ready,
            control,
            directory,
            metrics,
            relay,
        } = addresses;
        let FleetSettings {
            stop,
            keep,
            lease,
            backend_lease,
            replace_after,
            ..
        } = &self.settings;
        let [stop, keep, lease, backend_lease, replace_after] =
            [stop, keep, lease, backend_lease, replace_after]
                .map(|time| format!("{}ms", time.as_millis()));
        let seeds = self.instances[..self.settings.control_count].iter().take(3);
        let seeds: Vec<String> = seeds.map(|n| n.addresses.peer.to_string()).collect();
        let seeds = seeds.join(",");
        let (own, calls) = if at < self.settings.control_count {
            let own = format!("caller_address = none\ndata = data/{name}");
            (own, format!("control = {control}\ndirectory = {directory}"))
        } else {
            let own = format!("caller_address = {caller}");
            let own = if self.settings.relays {
                format!("{own}\nrelay_address = {relay}")
            } else {
                own
            };
            (own, format!("ready = {ready}"))
        };
        format!(
            "[instance]\nid = {name}\ndomain = d{at}\npeer_address = {peer}\n\
             metrics_address = {metrics}\n{own}\n\
             [control]\nseeds = {seeds}\nfirst_start = {is_first}\nvoters = 9\nlease = {lease}\n\
             replace_after = {replace_after}\n\
             [security]\npeer_secret = instances-of-a-test\noperator_secret = operators-of-a-test\n\
             [limits]\nbody = 4MiB\nheaders = 32KiB\n[timeouts]\nbackend = {backend_lease}\nstop = {stop}\n\
             [addresses]\nkeep = {keep}\n[log]\nlevel = debug\n[platform]\n{calls}\n"
        )
    }
}

impl Drop for TestFleet {
    fn drop(&mut self) {
        if thread::panicking() {
            self.keep_folder();
        }
    }
}

impl Addresses {
    fn allocate() -> Self {
        Self {
            peer: free_address(),
            caller: free_address(),
            ready: free_address(),
            control: free_address(),
            directory: free_address(),
            metrics: free_address(),
            relay: free_address(),
        }
    }
}

/// Sends a call with a JSON body to an instance.
pub fn send_call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Option<HttpResponse> {
    send_raw(address, call_text(address, method, path, body).as_bytes()).ok()
}

/// Sends a call like [`send_call`], with another timeout.
pub fn send_call_within(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Option<HttpResponse> {
    let text = call_text(address, method, path, body);
    send_raw_within(address, text.as_bytes(), timeout).ok()
}

fn call_text(address: SocketAddr, method: &str, path: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Content-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    )
}

/// Waits until a condition holds.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < end,
            "timed out after {WAIT_TIMEOUT:?}: {what}"
        );
        thread::sleep(POLL_INTERVAL);
    }
}
