mod backends;
mod control;
mod http;
mod permit;
mod ports;
mod proxy;
mod tool;

pub use self::backends::ORGANISATIONS;
pub use self::http::{HttpResponse, get, post, send_raw};
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

/// Time for a process to end gracefully.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// Secret of the instances of a test fleet.
pub const PEER_SECRET: &str = "instances-of-a-test";

/// What a test fleet looks like.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// Instances, named `i0`, `i1` and so on.
    pub instances: usize,
    /// Failure domains over which the instances are spread.
    pub domains: usize,
    /// The first so many instances have a data folder.
    pub disks: usize,
    /// The first so many instances hold a replica at the first start.
    pub replicas: usize,
    /// Whether instances reach each other through forwarders that can cut.
    pub has_proxies: bool,
    /// More lines for the section `[control]` of every instance.
    pub control_lines: String,
    /// More lines for the settings file of every instance.
    pub extra_lines: String,
}

impl FleetSettings {
    /// One instance that does everything.
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

/// Instances of `jaylockd` as processes of their own; dropping the fleet ends them all.
pub struct Fleet {
    folder: Option<TempDir>,
    addresses: Vec<Addresses>,
    processes: Vec<Option<Process>>,
    backends: Vec<Process>,
    network: Arc<Mutex<Network>>,
    // Dropped last, when the processes have ended.
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
    /// When a program does not start or the configuration is not accepted.
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

    /// Starts an instance, after it has ended.
    pub fn restart(&mut self, index: usize) {
        let arguments = ["--settings".into(), format!("i{index}.ini")];
        let log = format!("i{index}.log");
        let process = Process::start("jaylockd", &arguments, self.folder(), &log);
        self.record_pid(index, process.pid());
        self.processes[index] = Some(process);
    }

    /// Ends an instance at once.
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

    /// The process of an instance, while it runs.
    #[must_use]
    pub fn process(&self, index: usize) -> Option<&Process> {
        self.processes[index].as_ref()
    }

    /// Freezes an instance.
    ///
    /// # Panics
    /// When it is down.
    pub fn suspend(&self, index: usize) {
        self.process(index).expect("a running instance").suspend();
    }

    /// Lets a frozen instance go on.
    ///
    /// # Panics
    /// When it is down.
    pub fn resume(&self, index: usize) {
        self.process(index).expect("a running instance").resume();
    }

    /// Cuts an instance off from all others in silence, or ends the cut.
    ///
    /// # Panics
    /// When another thread failed.
    pub fn set_disconnected(&self, index: usize, is_disconnected: bool) {
        self.network.lock().expect("a lock").disconnected[index] = is_disconnected;
    }

    /// Deletes the data folder of an instance that is down.
    ///
    /// # Panics
    /// When there is none.
    pub fn delete_data(&self, index: usize) {
        assert!(self.processes[index].is_none(), "i{index} is down");
        fs::remove_dir_all(self.data_folder(index)).expect("a data folder");
    }

    /// The data folder of an instance.
    #[must_use]
    pub fn data_folder(&self, index: usize) -> PathBuf {
        self.folder().join(format!("data/i{index}"))
    }

    /// Number of instances, up or down.
    #[must_use]
    #[allow(clippy::len_without_is_empty)]
    pub fn len(&self) -> usize {
        self.addresses.len()
    }

    /// Where callers reach the instances.
    #[must_use]
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.addresses
            .iter()
            .map(|instance| instance.caller)
            .collect()
    }

    /// Where callers reach an instance.
    #[must_use]
    pub fn caller_address(&self, index: usize) -> SocketAddr {
        self.addresses[index].caller
    }

    /// Where other instances reach an instance.
    #[must_use]
    pub fn peer_address(&self, index: usize) -> SocketAddr {
        self.addresses[index].peer
    }

    /// Where an instance really listens for other instances and operators.
    #[must_use]
    pub fn listen_address(&self, index: usize) -> SocketAddr {
        self.addresses[index].listen
    }

    /// The folder of the fleet.
    #[must_use]
    pub fn folder(&self) -> &Path {
        self.folder.as_ref().map_or(Path::new("."), TempDir::path)
    }

    /// What an instance has printed over all its starts.
    #[must_use]
    pub fn read_log(&self, index: usize) -> String {
        let path = self.folder().join(format!("i{index}.log"));
        fs::read_to_string(path).unwrap_or_default()
    }

    /// Runs the tool against all instances.
    #[must_use]
    pub fn run_tool(&self, arguments: &[&str]) -> ToolOutput {
        let all: Vec<usize> = (0..self.addresses.len()).collect();
        self.run_tool_at(&all, arguments)
    }

    /// Runs the tool against some instances.
    #[must_use]
    pub fn run_tool_at(&self, indices: &[usize], arguments: &[&str]) -> ToolOutput {
        // Operators come from outside, so no cut between the instances holds them up.
        let addresses: Vec<SocketAddr> = indices.iter().map(|p| self.listen_address(*p)).collect();
        run_tool(&addresses, OPERATOR_SECRET, arguments)
    }

    /// Waits until every given instance is alive and has the newest revision in force.
    pub fn wait_until_active(&self, indices: &[usize]) {
        wait_until("all instances have the newest revision", || {
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

    /// Waits until every instance is alive and has the newest revision in force.
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
            eprintln!("logs are kept in {}", folder.keep().display());
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

/// Waits until something holds.
///
/// # Panics
/// When it does not within a minute.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_mins(1);
    while !condition() {
        assert!(Instant::now() < end, "in time: {what}");
        thread::sleep(Duration::from_millis(50));
    }
}

/// The settings file of one instance.
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
