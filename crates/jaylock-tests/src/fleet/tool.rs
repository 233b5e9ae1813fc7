use std::net::SocketAddr;
use std::process::{Command, Output};

use serde_json::Value;

use crate::program;

/// How the tool `jaylock` ended.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Exit code; -1 when it was killed.
    pub code: i32,
    /// What it printed.
    pub out: String,
    /// What it complained about.
    pub err: String,
}

impl Outcome {
    /// The output as JSON; null when it is none.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap_or_default()
    }
}

impl From<Output> for Outcome {
    fn from(output: Output) -> Self {
        Self {
            code: output.status.code().unwrap_or(-1),
            out: String::from_utf8_lossy(&output.stdout).into_owned(),
            err: String::from_utf8_lossy(&output.stderr).into_owned(),
        }
    }
}

/// Runs the tool `jaylock` against some instances.
///
/// # Panics
/// When it can't be started.
#[must_use]
pub fn run_tool(instances: &[SocketAddr], secret: &str, arguments: &[&str]) -> Outcome {
    let mut command = Command::new(program("jaylock"));
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
