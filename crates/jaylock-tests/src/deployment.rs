use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

use tempfile::TempDir;

use crate::fleet::{Fleet, FleetSettings, Process};

/// Organisations of every deployment; the key of each is its name and `-key`.
pub const ORGANISATIONS: [&str; 3] = ["adala", "swanfold", "flood"];
/// Time for an instance to end gracefully.
const STOP_TIME: Duration = Duration::from_secs(40);

/// A fleet of real processes with stand-in backend servers; dropping it ends them all.
pub struct Deployment {
    /// The instances.
    pub fleet: Fleet,
    instances: usize,
    folder: Option<TempDir>,
    backends: Vec<Process>,
}

impl Deployment {
    /// Starts the instances and configures organisations, model `dossier` and service `caseapp`.
    ///
    /// # Panics
    /// When a program does not start or the configuration is not accepted.
    #[must_use]
    pub fn start(settings: &FleetSettings) -> Self {
        let deployment = Self {
            fleet: Fleet::start(settings),
            instances: settings.instances,
            folder: Some(tempfile::tempdir().expect("a folder")),
            backends: Vec::new(),
        };
        for name in ORGANISATIONS {
            let key = format!("{name}-key");
            deployment.operate(&["organisation", "create", name, "--key", &key]);
        }
        let pool = ["--version", "1", "--pool", "jaylock-pool"];
        deployment.operate(&[&["model", "create", "dossier"], &pool[..]].concat());
        deployment.operate(&["service", "create", "caseapp"]);
        deployment.fleet.wait_ready();
        deployment
    }

    /// Where callers connect.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        (0..self.instances).map(|n| self.fleet.caller(n)).collect()
    }

    /// Number of instances.
    #[must_use]
    pub fn instances(&self) -> usize {
        self.instances
    }

    /// Starts a stand-in engine; its runs go to `chats`.
    pub fn engine(&mut self, name: &str, more: &[&str]) {
        let own = [
            "--pool",
            "jaylock-pool",
            "--model",
            "dossier@1",
            "--runs",
            "chats",
        ];
        self.backend("standin-engine", name, &[&own, more].concat());
    }

    /// Starts a stand-in plain service; its runs go to `calls`.
    pub fn service(&mut self, name: &str, more: &[&str]) {
        let own = ["--pool", "caseapp", "--runs", "calls"];
        self.backend("standin-service", name, &[&own, more].concat());
    }

    /// Lines that the backend servers wrote to a file of runs.
    ///
    /// # Panics
    /// Never while the deployment lives.
    #[must_use]
    pub fn runs(&self, file: &str) -> Vec<String> {
        let folder = self.folder.as_ref().expect("a folder");
        let text = fs::read_to_string(folder.path().join(file)).unwrap_or_default();
        text.lines().map(String::from).collect()
    }

    /// Stops an instance gracefully; tells whether it ended in time and without an error.
    pub fn stop(&mut self, place: usize) -> bool {
        self.fleet.stop(place, STOP_TIME)
    }

    /// Runs the operators' tool, which must succeed.
    ///
    /// # Panics
    /// When it fails.
    pub fn operate(&self, arguments: &[&str]) {
        let outcome = self.fleet.tool(arguments);
        assert!(outcome.code == 0, "jaylock {arguments:?}: {}", outcome.err);
    }

    fn backend(&mut self, program: &str, name: &str, more: &[&str]) {
        let seeds: Vec<String> = self.addresses().iter().map(SocketAddr::to_string).collect();
        let seeds = seeds.iter().flat_map(|seed| ["--instance", seed]);
        let own = ["--id", name].into_iter().chain(seeds);
        let arguments: Vec<&str> = own.chain(more.iter().copied()).collect();
        let folder = self.folder.as_ref().expect("a folder");
        let log = format!("{name}.log");
        self.backends
            .push(Process::start(program, &arguments, folder.path(), &log));
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            return;
        }
        let Some(folder) = self.folder.take().map(TempDir::keep) else {
            return;
        };
        for place in 0..self.instances {
            let _ = fs::write(folder.join(format!("i{place}.log")), self.fleet.log(place));
        }
        eprintln!("logs are kept in {}", folder.display());
    }
}
