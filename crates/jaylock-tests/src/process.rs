use std::fs::File;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use crate::program_path;

/// Pause between two looks at whether a process has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A process of one of the project's programs; dropping it kills the process.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program in a folder; what it prints goes to a file there.
    ///
    /// # Panics
    /// When it does not start.
    #[must_use]
    pub fn start(name: &str, arguments: &[String], folder: &Path, log: &str) -> Self {
        let log = File::options()
            .create(true)
            .append(true)
            .open(folder.join(log))
            .expect("a log file");
        let stderr = log.try_clone().expect("a log file");
        let child = Command::new(program_path(name))
            .args(arguments)
            .current_dir(folder)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(stderr)
            .spawn();
        Self {
            child: child.expect("a started process"),
        }
    }

    /// Its process id.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Stops the process where it is, as a frozen machine would.
    pub fn suspend(&self) {
        self.send(Signal::STOP);
    }

    /// Lets a frozen process go on.
    pub fn resume(&self) {
        self.send(Signal::CONT);
    }

    /// Tells the process that its settings have changed.
    pub fn reload(&self) {
        self.send(Signal::HUP);
    }

    /// Ends the process at once.
    pub fn kill(mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks the process to end, and waits for it.
    ///
    /// # Panics
    /// When it has not ended after `timeout`.
    pub async fn terminate(mut self, timeout: Duration) -> ExitStatus {
        self.send(Signal::TERM);
        let deadline = Instant::now() + timeout;
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status;
            }
            assert!(
                Instant::now() < deadline,
                "a process did not end within {timeout:?}"
            );
            compio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    fn send(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let result = pid.map(|pid| kill_process(pid, signal));
        assert!(matches!(result, Some(Ok(()))), "the signal was not taken");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
