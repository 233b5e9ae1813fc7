use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::program;

/// A program of the project that runs beside a test; it is killed when dropped.
pub struct Process {
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts a program in a folder, with what it prints added to a file there.
    ///
    /// # Panics
    /// When it can't be started.
    #[must_use]
    pub fn start(name: &str, arguments: &[&str], folder: &Path, log: &str) -> Self {
        let log = folder.join(log);
        let file = File::options().create(true).append(true).open(&log);
        let file = file.expect("a log file");
        let child = Command::new(program(name))
            .args(arguments)
            .current_dir(folder)
            .stdin(Stdio::null())
            .stdout(file.try_clone().expect("a second handle"))
            .stderr(file)
            .spawn();
        Self {
            child: child.expect("the program starts"),
            log,
        }
    }

    /// Its process id.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// What it has printed so far, over all its starts.
    #[must_use]
    pub fn printed(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Ends it without warning.
    ///
    /// # Panics
    /// When it can't be killed.
    pub fn kill(mut self) {
        self.child.kill().expect("the process is killed");
        self.child.wait().expect("the process ends");
    }

    /// Sends it a signal by name, such as `STOP`.
    ///
    /// # Panics
    /// When the signal can't be sent.
    pub fn signal(&self, name: &str) {
        let pid = self.pid().to_string();
        let sent = Command::new("kill")
            .args([&format!("-{name}"), &pid])
            .status();
        assert!(
            sent.is_ok_and(|s| s.success()),
            "signal {name} reaches {pid}"
        );
    }

    /// Waits until it has ended by itself; `None` when it still runs after `limit`.
    ///
    /// # Panics
    /// When its state can't be read.
    pub fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if let Some(status) = self.child.try_wait().expect("a state") {
                return Some(status);
            }
            thread::sleep(Duration::from_millis(20));
        }
        None
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
