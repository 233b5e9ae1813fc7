mod backends;
mod control;
mod http;
mod permit;
mod ports;
mod proxy;
mod tool;

pub use self::backends::ORGANISATIONS;
pub use self::http::{HttpResponse, get, post, send_in_parts, send_raw, send_raw_within};
pub use self::ports::free_address;
pub use self::tool::{ToolOutput, run_tool};

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitStatus;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use tempfile::TempDir;

use self::permit::FleetPermit;
use self::proxy::{Network, start_proxy};
use crate::Process;

/// Secret of the operators of a test fleet.
pub const OPERATOR_SECRET: &str = "operators-of-a-test";

/// Timeout of a graceful stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// Secret of the instances of a test fleet.
pub const PEER_SECRET: &str = "instances-of-a-test";

/// Size and settings of a test fleet.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// Number of instances, named `i0`, `i1` and so on.
    pub instances: usize,
    /// Number of failure domains over which the instances are spread.
    pub domains: usize,
    /// Number of instances with a data folder, from the first on.
    pub disks: usize,
    /// Number of instances with a replica at the first start, from the first on.
    pub replicas: usize,
    /// Whether instances reach each other through proxies that can disconnect them.
    pub has_proxies: bool,
    /// Additional lines in the section `[control]` of every instance.
    pub control_lines: String,
    /// Additional lines at the end of the settings file of every instance.
    pub extra_lines: String,
}

impl FleetSettings {
    /// Returns the settings of a fleet of one instance with a replica.
    #[must_use]
    pub fn single() -> Self {
        Self {
            instances: 1,
            domains: 1,
            disks: 1,
            replicas: 1,
            ..Self::default()
        }
    }
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            instances: 4,
            domains: 3,
            disks: 3,
            replicas: 3,
            has_proxies: false,
            control_lines: String::new(),
            extra_lines: "[addresses]\nkeep = 1s\n".into(),
        }
    }
}

/// A fleet of `jaylockd` processes and backend servers, killed when dropped.
pub struct Fleet {
    folder: Option<TempDir>,
    addresses: Vec<Addresses>,
    processes: Vec<Option<Process>>,
    backends: Vec<Process>,
    network: Arc<Mutex<Network>>,
    // Declared last, so that the permit is released after the processes have ended.
    _permit: FleetPermit,
}

#[derive(Clone, Copy)]
struct Addresses {
    caller: SocketAddr,
    peer: SocketAddr,
    listen: SocketAddr,
}

impl Fleet {
    /// Starts the instances and configures organisations, model `dossier` and service `caseapp`.
    ///
    /// # Panics
    /// When a program does not start or the configuration is refused.
    #[must_use]
    pub fn start(settings: &FleetSettings) -> Self {
        let fleet = Self::start_empty(settings);
        fleet.configure();
        fleet
    }

    /// Starts the instances with an empty configuration.
    ///
    /// # Panics
    /// When a program does not start.
    #[must_use]
    pub fn start_empty(settings: &FleetSettings) -> Self {
        let permit = FleetPermit::acquire();
        let folder = tempfile::tempdir().expect("a folder");
        let all = 0..settings.instances;
        let addresses: Vec<Addresses> =
            all.clone().map(|_| Addresses::allocate(settings)).collect();
        for index in all.clone() {
            let text = settings_text(settings, &addresses, index);
            let path = folder.path().join(format!("i{index}.ini"));
            fs::write(path, text).expect("the settings are written");
        }
        let network = Arc::new(Mutex::new(Network::new(settings.instances)));
        if settings.has_proxies {
            for (index, instance) in addresses.iter().enumerate() {
                start_proxy(&network, instance.peer, instance.listen, index);
            }
        }
        let mut fleet = Self {
            folder: Some(folder),
            addresses,
            processes: all.clone().map(|_| None).collect(),
            backends: Vec::new(),
            network,
            _permit: permit,
        };
        all.for_each(|index| fleet.restart(index));
        fleet
    }

    /// Starts an instance that is down.
    pub fn restart(&mut self, index: usize) {
        let arguments = ["--settings".into(), format!("i{index}.ini")];
        let log = format!("i{index}.log");
        let process = Process::start("jaylockd", &arguments, self.folder(), &log);
        self.record_pid(index, process.pid());
        self.processes[index] = Some(process);
    }

    /// Kills an instance.
    pub fn kill(&mut self, index: usize) {
        self.record_pid(index, 0);
        if let Some(process) = self.processes[index].take() {
            process.kill();
        }
    }

    /// Stops an instance gracefully.
    pub async fn stop(&mut self, index: usize) -> Option<ExitStatus> {
        let process = self.processes[index].take()?;
        let status = process.terminate(STOP_TIMEOUT).await;
        self.record_pid(index, 0);
        Some(status)
    }

    /// Returns the process of an instance; `None` while the instance is down.
    #[must_use]
    pub fn process(&self, index: usize) -> Option<&Process> {
        self.processes[index].as_ref()
    }

    /// Suspends the process of an instance.
    ///
    /// # Panics
    /// When the instance is down.
    pub fn suspend(&self, index: usize) {
        self.process(index).expect("a running instance").suspend();
    }

    /// Resumes the process of a suspended instance.
    ///
    /// # Panics
    /// When the instance is down.
    pub fn resume(&self, index: usize) {
        self.process(index).expect("a running instance").resume();
    }

    /// Disconnects an instance from all others without a reset, or reconnects the instance.
    ///
    /// # Panics
    /// When another thread panicked while it held the lock.
    pub fn set_disconnected(&self, index: usize, is_disconnected: bool) {
        self.network
            .lock()
            .expect("the lock is not poisoned")
            .disconnected[index] = is_disconnected;
    }

    /// Deletes the data folder of an instance that is down.
    ///
    /// # Panics
    /// When the instance is running or has no data folder.
    pub fn delete_data(&self, index: usize) {
        assert!(self.processes[index].is_none(), "i{index} is still running");
        fs::remove_dir_all(self.data_folder(index)).expect("a data folder");
    }

    /// Returns the data folder of an instance.
    #[must_use]
    pub fn data_folder(&self, index: usize) -> PathBuf {
        self.folder().join(format!("data/i{index}"))
    }

    /// Returns the number of instances, running or down.
    #[must_use]
    #[allow(clippy::len_without_is_empty)]
    pub fn len(&self) -> usize {
        self.addresses.len()
    }

    /// Returns the address of each instance for callers.
    #[must_use]
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.addresses
            .iter()
            .map(|instance| instance.caller)
            .collect()
    }

    /// Returns the address of an instance for callers.
    #[must_use]
    pub fn caller_address(&self, index: usize) -> SocketAddr {
        self.addresses[index].caller
    }

    /// Returns the address at which other instances reach an instance, that of its proxy if it has one.
    #[must_use]
    pub fn peer_address(&self, index: usize) -> SocketAddr {
        self.addresses[index].peer
    }

    /// Returns the address on which an instance itself listens, behind its proxy if it has one.
    #[must_use]
    pub fn listen_address(&self, index: usize) -> SocketAddr {
        self.addresses[index].listen
    }

    /// Returns the working folder of the fleet.
    #[must_use]
    pub fn folder(&self) -> &Path {
        self.folder.as_ref().map_or(Path::new("."), TempDir::path)
    }

    /// Returns the output of an instance since its first start.
    #[must_use]
    pub fn read_log(&self, index: usize) -> String {
        let path = self.folder().join(format!("i{index}.log"));
        fs::read_to_string(path).unwrap_or_default()
    }

    /// Runs the tool `jaylock` against all instances.
    #[must_use]
    pub fn run_tool(&self, arguments: &[&str]) -> ToolOutput {
        let all: Vec<usize> = (0..self.addresses.len()).collect();
        self.run_tool_at(&all, arguments)
    }

    /// Runs the tool `jaylock` against the given instances.
    #[must_use]
    pub fn run_tool_at(&self, indices: &[usize], arguments: &[&str]) -> ToolOutput {
        // Operators bypass the proxies, so that a disconnection does not affect them.
        let addresses: Vec<SocketAddr> = indices.iter().map(|i| self.listen_address(*i)).collect();
        run_tool(&addresses, OPERATOR_SECRET, arguments)
    }

    /// Waits until every given instance has joined and the newest revision is active there.
    pub fn wait_until_active(&self, indices: &[usize]) {
        wait_until("the newest revision is active on all instances", || {
            let instances = self
                .run_tool_at(indices, &["--json", "instance", "list"])
                .json();
            let newest = self
                .run_tool_at(indices, &["--json", "config", "show"])
                .json();
            let newest = &newest["configuration"]["revision"];
            let is_active = |index: &usize| {
                let id = format!("i{index}");
                let rows = instances.as_array().map_or(&[][..], Vec::as_slice);
                rows.iter()
                    .any(|row| row["id"] == *id && row["revision"] == *newest)
            };
            newest.is_u64() && indices.iter().all(is_active)
        });
    }

    /// Waits until every running instance has joined and the newest revision is active there.
    pub fn wait_until_ready(&self) {
        let running = (0..self.processes.len()).filter(|index| self.processes[*index].is_some());
        self.wait_until_active(&running.collect::<Vec<_>>());
    }
}

impl Fleet {
    fn record_pid(&self, index: usize, pid: u32) {
        let mut network = self.network.lock().unwrap_or_else(PoisonError::into_inner);
        network.pids[index] = pid;
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if thread::panicking()
            && let Some(folder) = self.folder.take()
        {
            eprintln!("the logs are in {}", folder.keep().display());
        }
    }
}

impl Addresses {
    fn allocate(settings: &FleetSettings) -> Self {
        let peer = free_address();
        let listen = if settings.has_proxies {
            free_address()
        } else {
            peer
        };
        Self {
            caller: free_address(),
            peer,
            listen,
        }
    }
}

/// Waits until a condition is met.
///
/// # Panics
/// When the condition is not met within a minute.
pub fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_mins(1);
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "not met within a minute: {description}"
        );
        thread::sleep(Duration::from_millis(50));
    }
}

/// Returns the text of the settings file of one instance.
fn settings_text(settings: &FleetSettings, addresses: &[Addresses], index: usize) -> String {
    let domain = |index: usize| format!("d{}", index % settings.domains);
    let replicas = (0..settings.replicas)
        .map(|index| format!("i{index}@{}@{}", addresses[index].peer, domain(index)));
    let replicas = replicas.collect::<Vec<_>>().join(", ");
    let instance = addresses[index];
    let data = if index < settings.disks {
        format!("data = data/i{index}\n")
    } else {
        String::new()
    };
    format!(
        "[instance]\nid = i{index}\ndomain = {}\ncaller_address = {}\npeer_address = {}\n\
         peer_listen = {}\n{data}\n[control]\nreplicas = {replicas}\n{}\n\n[security]\n\
         peer_secret = {PEER_SECRET}\noperator_secret = {OPERATOR_SECRET}\n\n{}\n",
        domain(index),
        instance.caller,
        instance.peer,
        instance.listen,
        settings.control_lines,
        settings.extra_lines,
    )
}
