use std::net::SocketAddr;
use std::process::{Command, Output};

use serde_json::Value;

use crate::program_path;

/// Exit code and output of the tool `jaylock`.
#[derive(Debug, Clone)]
pub struct ToolOutput {
    /// Exit code; -1 when the tool was killed.
    pub exit_code: i32,
    /// Standard output.
    pub stdout: String,
    /// Standard error.
    pub stderr: String,
}

impl ToolOutput {
    /// Parses the standard output as JSON; null when it is not valid.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.stdout).unwrap_or_default()
    }
}

impl From<Output> for ToolOutput {
    fn from(output: Output) -> Self {
        Self {
            exit_code: output.status.code().unwrap_or(-1),
            stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
            stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
        }
    }
}

/// Runs the tool `jaylock` against the given instances.
///
/// # Panics
/// When the tool can't be started.
#[must_use]
pub fn run_tool(instances: &[SocketAddr], secret: &str, arguments: &[&str]) -> ToolOutput {
    let mut command = Command::new(program_path("jaylock"));
    command.env("JAYLOCK_SECRET", secret);
    if !arguments.contains(&"--timeout") {
        command.args(["--timeout", "10s"]);
    }
    for instance in instances {
        command.arg("--instance").arg(instance.to_string());
    }
    let output = command.args(arguments).output();
    output.expect("the tool runs").into()
}
