mod backends;
mod control;
mod forward;
mod http;
mod ports;
mod tool;
mod turn;

pub use self::backends::ORGANISATIONS;
pub use self::http::{Answer, exchange, get, post};
pub use self::ports::free_address;
pub use self::tool::{Outcome, run_tool};

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitStatus;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use tempfile::TempDir;

use self::forward::{Network, forward};
use self::turn::Turn;
use crate::Process;

/// Secret of the operators of a test fleet.
pub const OPERATOR_SECRET: &str = "operators-of-a-test";

/// Time for a process to end gracefully.
const STOP_TIME: Duration = Duration::from_secs(30);

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
    pub is_forwarded: bool,
    /// More lines for the section `[control]` of every instance.
    pub control: String,
    /// More lines for the settings file of every instance.
    pub lines: String,
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
            is_forwarded: false,
            control: String::new(),
            lines: "[addresses]\nkeep = 1s\n".into(),
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
    _turn: Turn,
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
        let fleet = Self::bare(settings);
        fleet.configure();
        fleet
    }

    /// Starts the instances with an empty configuration.
    ///
    /// # Panics
    /// When a program does not start.
    #[must_use]
    pub fn bare(settings: &FleetSettings) -> Self {
        let turn = Turn::take();
        let folder = tempfile::tempdir().expect("a folder");
        let all = 0..settings.instances;
        let addresses: Vec<Addresses> = all.clone().map(|_| Addresses::pick(settings)).collect();
        for place in all.clone() {
            let text = written(settings, &addresses, place);
            let path = folder.path().join(format!("i{place}.ini"));
            fs::write(path, text).expect("the settings are written");
        }
        let network = Arc::new(Mutex::new(Network::new(settings.instances)));
        if settings.is_forwarded {
            for (place, own) in addresses.iter().enumerate() {
                forward(&network, own.peer, own.listen, place);
            }
        }
        let mut fleet = Self {
            folder: Some(folder),
            addresses,
            processes: all.clone().map(|_| None).collect(),
            backends: Vec::new(),
            network,
            _turn: turn,
        };
        all.for_each(|place| fleet.restart(place));
        fleet
    }

    /// Starts an instance, after it has ended.
    pub fn restart(&mut self, place: usize) {
        let arguments = ["--settings".into(), format!("i{place}.ini")];
        let log = format!("i{place}.log");
        let process = Process::start("jaylockd", &arguments, self.folder(), &log);
        self.note(place, process.pid());
        self.processes[place] = Some(process);
    }

    /// Ends an instance at once.
    pub fn kill(&mut self, place: usize) {
        self.note(place, 0);
        if let Some(process) = self.processes[place].take() {
            process.kill();
        }
    }

    /// Stops an instance gracefully.
    pub async fn stop(&mut self, place: usize) -> Option<ExitStatus> {
        let process = self.processes[place].take()?;
        let status = process.terminate(STOP_TIME).await;
        self.note(place, 0);
        Some(status)
    }

    /// The process of an instance, while it runs.
    #[must_use]
    pub fn instance(&self, place: usize) -> Option<&Process> {
        self.processes[place].as_ref()
    }

    /// Freezes an instance.
    ///
    /// # Panics
    /// When it is down.
    pub fn freeze(&self, place: usize) {
        self.instance(place).expect("a running instance").freeze();
    }

    /// Lets a frozen instance go on.
    ///
    /// # Panics
    /// When it is down.
    pub fn thaw(&self, place: usize) {
        self.instance(place).expect("a running instance").thaw();
    }

    /// Cuts an instance off from all others in silence, or ends the cut.
    ///
    /// # Panics
    /// When another thread failed.
    pub fn set_cut(&self, place: usize, is_cut: bool) {
        self.network.lock().expect("a lock").cut[place] = is_cut;
    }

    /// Deletes the data folder of an instance that is down.
    ///
    /// # Panics
    /// When there is none.
    pub fn lose_disk(&self, place: usize) {
        assert!(self.processes[place].is_none(), "i{place} is down");
        fs::remove_dir_all(self.data(place)).expect("a data folder");
    }

    /// The data folder of an instance.
    #[must_use]
    pub fn data(&self, place: usize) -> PathBuf {
        self.folder().join(format!("data/i{place}"))
    }

    /// Number of instances, up or down.
    #[must_use]
    #[allow(clippy::len_without_is_empty)]
    pub fn len(&self) -> usize {
        self.addresses.len()
    }

    /// Where callers reach the instances.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.addresses.iter().map(|own| own.caller).collect()
    }

    /// Where callers reach an instance.
    #[must_use]
    pub fn caller(&self, place: usize) -> SocketAddr {
        self.addresses[place].caller
    }

    /// Where other instances reach an instance.
    #[must_use]
    pub fn peer(&self, place: usize) -> SocketAddr {
        self.addresses[place].peer
    }

    /// Where an instance really listens for other instances and operators.
    #[must_use]
    pub fn listen(&self, place: usize) -> SocketAddr {
        self.addresses[place].listen
    }

    /// The folder of the fleet.
    #[must_use]
    pub fn folder(&self) -> &Path {
        self.folder.as_ref().map_or(Path::new("."), TempDir::path)
    }

    /// What an instance has printed over all its starts.
    #[must_use]
    pub fn log(&self, place: usize) -> String {
        let path = self.folder().join(format!("i{place}.log"));
        fs::read_to_string(path).unwrap_or_default()
    }

    /// Runs the tool against all instances.
    #[must_use]
    pub fn tool(&self, arguments: &[&str]) -> Outcome {
        let all: Vec<usize> = (0..self.addresses.len()).collect();
        self.tool_at(&all, arguments)
    }

    /// Runs the tool against some instances.
    #[must_use]
    pub fn tool_at(&self, places: &[usize], arguments: &[&str]) -> Outcome {
        // Operators come from outside, so no cut between the instances holds them up.
        let listens: Vec<SocketAddr> = places.iter().map(|p| self.listen(*p)).collect();
        run_tool(&listens, OPERATOR_SECRET, arguments)
    }

    /// Waits until every given instance is alive and has the newest revision in force.
    pub fn wait_in_force(&self, places: &[usize]) {
        wait_until("all instances have the newest revision", || {
            let listed = self.tool_at(places, &["--json", "instance", "list"]).json();
            let newest = self.tool_at(places, &["--json", "config", "show"]).json();
            let newest = &newest["configuration"]["revision"];
            let has_newest = |place: &usize| {
                let id = format!("i{place}");
                let rows = listed.as_array().map_or(&[][..], Vec::as_slice);
                rows.iter()
                    .any(|row| row["id"] == *id && row["revision"] == *newest)
            };
            newest.is_u64() && places.iter().all(has_newest)
        });
    }

    /// Waits until every instance is alive and has the newest revision in force.
    pub fn wait_ready(&self) {
        let up = (0..self.processes.len()).filter(|place| self.processes[*place].is_some());
        self.wait_in_force(&up.collect::<Vec<_>>());
    }
}

impl Fleet {
    fn note(&self, place: usize, pid: u32) {
        let mut network = self.network.lock().unwrap_or_else(PoisonError::into_inner);
        network.pids[place] = pid;
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
    fn pick(settings: &FleetSettings) -> Self {
        let peer = free_address();
        let listen = if settings.is_forwarded {
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
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_mins(1);
    while !holds() {
        assert!(Instant::now() < end, "in time: {what}");
        thread::sleep(Duration::from_millis(50));
    }
}

/// The settings file of one instance.
fn written(settings: &FleetSettings, addresses: &[Addresses], place: usize) -> String {
    let domain = |place: usize| format!("d{}", place % settings.domains);
    let replicas = (0..settings.replicas)
        .map(|place| format!("i{place}@{}@{}", addresses[place].peer, domain(place)));
    let replicas = replicas.collect::<Vec<_>>().join(", ");
    let own = addresses[place];
    let data = if place < settings.disks {
        format!("data = data/i{place}\n")
    } else {
        String::new()
    };
    format!(
        "[instance]\nid = i{place}\ndomain = {}\ncaller_address = {}\npeer_address = {}\n\
         peer_listen = {}\n{data}\n[control]\nreplicas = {replicas}\n{}\n\n[security]\n\
         peer_secret = {PEER_SECRET}\noperator_secret = {OPERATOR_SECRET}\n\n{}\n",
        domain(place),
        own.caller,
        own.peer,
        own.listen,
        settings.control,
        settings.lines,
    )
}
