use std::fs::File;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Resource, Rlimit, Signal, getrlimit, kill_process, prlimit};

use crate::program_path;

/// Interval between checks for the end of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A process of one of the workspace's programs, killed when dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program in a folder and appends its output to a log file there.
    ///
    /// # Panics
    /// When the program does not start.
    #[must_use]
    pub fn start(name: &str, arguments: &[String], folder: &Path, log: &str) -> Self {
        let log = File::options()
            .create(true)
            .append(true)
            .open(folder.join(log))
            .expect("the log file opens");
        let stderr = log.try_clone().expect("the log file opens");
        let child = Command::new(program_path(name))
            .args(arguments)
            .current_dir(folder)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(stderr)
            .spawn();
        Self {
            child: child.expect("the program starts"),
        }
    }

    /// Returns the process id.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Suspends the process with SIGSTOP, as if its machine had frozen.
    pub fn suspend(&self) {
        self.send(Signal::STOP);
    }

    /// Resumes a suspended process with SIGCONT.
    pub fn resume(&self) {
        self.send(Signal::CONT);
    }

    /// Asks the process to reload its settings with SIGHUP.
    pub fn reload(&self) {
        self.send(Signal::HUP);
    }

    /// Asks the process to end with SIGTERM, without waiting for it.
    pub fn request_shutdown(&self) {
        self.send(Signal::TERM);
    }

    /// Sets the largest size of a file that the process can write, in bytes, or lifts the limit.
    ///
    /// # Panics
    /// When the process has ended, or the limit can't be set.
    pub fn limit_files(&self, bytes: Option<u64>) {
        self.limit(Resource::Fsize, bytes);
    }

    /// Sets the number below which new file descriptors of the process are, or lifts the limit.
    ///
    /// # Panics
    /// When the process has ended, or the limit can't be set.
    pub fn limit_descriptors(&self, end: Option<u64>) {
        self.limit(
            Resource::Nofile,
            end.or(getrlimit(Resource::Nofile).current),
        );
    }

    /// Sends a signal to the process.
    ///
    /// # Panics
    /// When the process has ended.
    pub fn send(&self, signal: Signal) {
        let pid = self.raw_pid().expect("a process id");
        let result = kill_process(pid, signal);
        assert!(result.is_ok(), "sending {signal:?} failed");
    }

    /// Kills the process.
    pub fn kill(mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks the process to end with SIGTERM and waits until it has ended.
    ///
    /// # Panics
    /// When the process has not ended after `timeout`.
    pub async fn terminate(self, timeout: Duration) -> ExitStatus {
        let status = self.terminate_or_kill(timeout).await;
        status.unwrap_or_else(|| panic!("the process did not end within {timeout:?}"))
    }

    /// Asks the process to end with SIGTERM and kills it, as the platform does, if it has not ended
    /// after `timeout`; returns `None` for a killed one.
    pub async fn terminate_or_kill(mut self, timeout: Duration) -> Option<ExitStatus> {
        self.request_shutdown();
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
        self.kill();
        None
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.exit_status().is_some()
    }

    /// Returns the status with which the process has ended; `None` while it runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    fn limit(&self, resource: Resource, current: Option<u64>) {
        let limit = Rlimit {
            current,
            ..getrlimit(resource)
        };
        prlimit(self.raw_pid(), resource, limit).expect("the limit is set");
    }

    fn raw_pid(&self) -> Option<Pid> {
        let pid = i32::try_from(self.child.id()).ok();
        pid.and_then(Pid::from_raw)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
