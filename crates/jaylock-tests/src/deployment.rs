use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Command, ExitStatus};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use tempfile::TempDir;

use crate::{Process, program};

/// Organisations of every fleet; the key of each is its name and `-key`.
pub const ORGANISATIONS: [&str; 3] = ["adala", "swanfold", "flood"];
/// Operators' secret of every fleet.
const SECRET: &str = "operators-of-a-test";
/// First port that tests use; below those that the system gives to outgoing connections.
const FIRST_PORT: u16 = 20_000;
/// Ports that one test process may use.
const PORTS: u16 = 240;
/// Time for a process to end gracefully.
const STOP_TIME: Duration = Duration::from_secs(30);

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Settings of a fleet of processes.
#[derive(Debug, Clone)]
pub struct DeploymentSettings {
    /// Instances.
    pub instances: usize,
    /// Of these, how many hold a replica of the log.
    pub replicas: usize,
    /// Failure domains over which the instances are spread.
    pub domains: usize,
    /// More lines for the settings file of every instance.
    pub lines: String,
}

impl Default for DeploymentSettings {
    fn default() -> Self {
        Self {
            instances: 4,
            replicas: 3,
            domains: 3,
            lines: "[addresses]\nkeep = 1s\n".into(),
        }
    }
}

/// A fleet of real processes on loopback; dropping it ends them all.
pub struct Deployment {
    folder: Option<TempDir>,
    members: Vec<Member>,
    backends: Vec<Process>,
}

struct Member {
    id: String,
    caller_address: SocketAddr,
    peer_address: SocketAddr,
    process: Option<Process>,
}

impl Deployment {
    /// Starts the instances and configures organisations, model `dossier` and service `caseapp`.
    ///
    /// # Panics
    /// When a program does not start or the configuration is not accepted.
    #[must_use]
    pub fn start(settings: &DeploymentSettings) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let members = (0..settings.instances).map(|number| Member {
            id: format!("instance-{number}"),
            caller_address: free_address(),
            peer_address: free_address(),
            process: None,
        });
        let mut fleet = Self {
            folder: Some(folder),
            members: members.collect(),
            backends: Vec::new(),
        };
        for number in 0..settings.instances {
            fleet.write_settings(number, settings);
            fleet.restart(number);
        }
        for name in ORGANISATIONS {
            let key = format!("{name}-key");
            fleet.operate(&["organisation", "create", name, "--key", &key]);
        }
        fleet.operate(&[
            "model",
            "create",
            "dossier",
            "--version",
            "1",
            "--pool",
            "jaylock-pool",
        ]);
        fleet.operate(&["service", "create", "caseapp"]);
        fleet
    }

    /// Where callers connect.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.members.iter().map(|m| m.caller_address).collect()
    }

    /// Runs the operators' tool to its end.
    ///
    /// # Panics
    /// When the tool fails.
    pub fn operate(&self, arguments: &[&str]) {
        let mut command = Command::new(program("jaylock"));
        for member in &self.members {
            command.args(["--instance", &member.peer_address.to_string()]);
        }
        let output = command
            .args(["--secret", SECRET, "--timeout", "30s"])
            .args(arguments)
            .output()
            .expect("the tool");
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "jaylock {arguments:?}: {errors}");
    }

    /// Starts a stand-in engine with a name; its runs go to `chats`.
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

    /// Starts a stand-in plain service with a name; its runs go to `calls`.
    pub fn service(&mut self, name: &str, more: &[&str]) {
        let own = ["--pool", "caseapp", "--runs", "calls"];
        self.backend("standin-service", name, &[&own, more].concat());
    }

    /// Lines that the backend servers wrote to a file of runs.
    #[must_use]
    pub fn runs(&self, file: &str) -> Vec<String> {
        let text = fs::read_to_string(self.path().join(file)).unwrap_or_default();
        text.lines().map(String::from).collect()
    }

    /// The process of an instance, while it runs.
    #[must_use]
    pub fn instance(&self, number: usize) -> Option<&Process> {
        self.members[number].process.as_ref()
    }

    /// Ends an instance at once.
    pub fn kill(&mut self, number: usize) {
        if let Some(process) = self.members[number].process.take() {
            process.kill();
        }
    }

    /// Stops an instance gracefully.
    pub async fn stop(&mut self, number: usize) -> Option<ExitStatus> {
        let process = self.members[number].process.take()?;
        Some(process.terminate(STOP_TIME).await)
    }

    /// Starts an instance, after it has ended.
    pub fn restart(&mut self, number: usize) {
        let folder = self.path();
        let member = &mut self.members[number];
        let arguments = ["--settings".into(), format!("{}.ini", member.id)];
        let log = format!("{}.log", member.id);
        member.process = Some(Process::start("jaylockd", &arguments, &folder, &log));
    }

    fn backend(&mut self, program: &str, name: &str, more: &[&str]) {
        let mut arguments = vec!["--id".to_owned(), name.to_owned()];
        for member in &self.members {
            arguments.push("--instance".into());
            arguments.push(member.caller_address.to_string());
        }
        arguments.extend(more.iter().map(|text| (*text).to_owned()));
        let process = Process::start(program, &arguments, &self.path(), &format!("{name}.log"));
        self.backends.push(process);
    }

    fn write_settings(&self, number: usize, settings: &DeploymentSettings) {
        let member = &self.members[number];
        let replicas = self.members.iter().take(settings.replicas).enumerate();
        let replicas: Vec<String> = replicas
            .map(|(place, m)| {
                format!(
                    "{}@{}@domain-{}",
                    m.id,
                    m.peer_address,
                    place % settings.domains
                )
            })
            .collect();
        let data = if number < settings.replicas {
            format!("data = data/{}\n", member.id)
        } else {
            String::new()
        };
        let text = format!(
            "[instance]\nid = {}\ndomain = domain-{}\ncaller_address = {}\npeer_address = {}\n{data}\
             [control]\nreplicas = {}\n[security]\npeer_secret = instances-of-a-test\n\
             operator_secret = {SECRET}\n{}",
            member.id,
            number % settings.domains,
            member.caller_address,
            member.peer_address,
            replicas.join(", "),
            settings.lines,
        );
        let path = self.path().join(format!("{}.ini", member.id));
        fs::write(path, text).expect("a settings file");
    }

    fn path(&self) -> PathBuf {
        let folder = self.folder.as_ref().expect("the folder of a running fleet");
        folder.path().to_owned()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if std::thread::panicking()
            && let Some(folder) = self.folder.take()
        {
            eprintln!("logs are kept in {}", folder.keep().display());
        }
    }
}

/// An address on loopback that nobody listens at.
fn free_address() -> SocketAddr {
    let own = u16::try_from(std::process::id() % 48).unwrap_or_default();
    loop {
        let next = NEXT_PORT.fetch_add(1, Ordering::Relaxed) % PORTS;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, FIRST_PORT + own * PORTS + next));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
